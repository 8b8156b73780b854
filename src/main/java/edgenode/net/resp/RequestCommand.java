package edgenode.net.resp;

import edgenode.policy.Idempotency;
import edgenode.policy.PolicySettings;
import edgenode.policy.RequestClass;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/**
 * A client's request as parsed from its command.
 *
 * @param remainingMs how long the client still waits
 * @param units what the request takes of its customer's quota
 * @param nodeSpread over how many nodes the customer's requests are spread
 * @param firstNode index of the first of these nodes
 * @param idempotencyKey or null where the request has none
 * @param fieldsBeforeRemaining text of the field list before the value of the remaining time
 * @param fieldsAfterRemaining text of the field list after it
 */
public record RequestCommand(
    String customer,
    String requestId,
    String className,
    String planName,
    double remainingMs,
    int units,
    int nodeSpread,
    int firstNode,
    boolean isClientRetry,
    String idempotencyKey,
    String fieldsBeforeRemaining,
    String fieldsAfterRemaining) {

  // Positions of the command's arguments; the body is optional.
  private static final int NAME_INDEX = 0;
  private static final int CUSTOMER_INDEX = 1;
  private static final int REQUEST_ID_INDEX = 2;
  private static final int FIELD_LIST_INDEX = 3;
  private static final int BODY_INDEX = 4;

  private static final int MAX_REQUEST_ID_CHARS = 64;
  private static final long MIN_FORWARDED_REMAINING_MS = 1;

  /** 16 hex digits, below 2^33. */
  private static final Pattern CUSTOMER_FORMAT = Pattern.compile("0{7}[01][0-9a-f]{8}");

  /**
   * Parses a client's command.
   *
   * @param settings bounds of units and nodes, and the request classes
   * @throws IllegalArgumentException whose message says what is wrong
   */
  public static RequestCommand parse(ArrayRedisMessage command, PolicySettings settings) {
    List<RedisMessage> arguments = command.children();
    requireBulkStrings(arguments);
    String customer = RespCodec.textOf(arguments.get(CUSTOMER_INDEX));
    String requestId = RespCodec.textOf(arguments.get(REQUEST_ID_INDEX));
    if (!CUSTOMER_FORMAT.matcher(customer).matches()
        || requestId.isEmpty()
        || requestId.length() > MAX_REQUEST_ID_CHARS) {
      throw new IllegalArgumentException("customer or id is malformed");
    }
    RequestFieldList fields =
        RequestFieldList.parse(RespCodec.textOf(arguments.get(FIELD_LIST_INDEX)));
    requireInRange(fields, settings);
    requireMatchingClass(RespCodec.textOf(arguments.get(NAME_INDEX)), fields, settings);
    return new RequestCommand(
        customer,
        requestId,
        fields.className,
        fields.planName,
        fields.remainingMs,
        fields.units,
        fields.nodeSpread,
        fields.firstNode,
        fields.isClientRetry,
        fields.idempotencyKey,
        fields.textBeforeRemaining,
        fields.textAfterRemaining);
  }

  private static void requireBulkStrings(List<RedisMessage> arguments) {
    if (arguments.size() <= FIELD_LIST_INDEX || arguments.size() > BODY_INDEX + 1) {
      throw new IllegalArgumentException("wrong number of arguments");
    }
    for (RedisMessage argument : arguments) {
      if (!RespCodec.isBulkString(argument)) {
        throw new IllegalArgumentException("bulk strings expected");
      }
    }
  }

  private static void requireInRange(RequestFieldList fields, PolicySettings settings) {
    if (fields.units < 1
        || fields.units > settings.maxRequestUnits()
        || fields.nodeSpread < 1
        || fields.nodeSpread > settings.nodeCount()
        || fields.firstNode >= settings.nodeCount()) {
      throw new IllegalArgumentException("units or set out of range");
    }
  }

  /** A class that the settings do not have is not checked here. */
  private static void requireMatchingClass(
      String commandName, RequestFieldList fields, PolicySettings settings) {
    boolean isGet = commandName.endsWith("GET");
    for (RequestClass requestClass : settings.requestClasses()) {
      if (requestClass.name().equals(fields.className)
          && (isGet != (requestClass.idempotency() == Idempotency.IDEMPOTENT)
              || requestClass.idempotency() == Idempotency.KEYED
                  && fields.idempotencyKey == null)) {
        throw new IllegalArgumentException("not the command of this class, or no k");
      }
    }
  }

  /**
   * The command to send to an endpoint: as the client sent it, but with the time that remains now.
   *
   * @param command the client's command, whose arguments are shared and not released
   * @param remainingMs how long the client still waits; at least 1 is sent
   * @return a new message for the caller to release
   */
  public ArrayRedisMessage forwardedCommand(
      ArrayRedisMessage command, double remainingMs, ByteBufAllocator alloc) {
    List<RedisMessage> arguments = new ArrayList<>(command.children().size());
    for (int i = 0; i < command.children().size(); i++) {
      arguments.add(
          i == FIELD_LIST_INDEX
              ? RespCodec.bulkString(alloc, fieldsWithRemaining(remainingMs))
              : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
    }
    return new ArrayRedisMessage(arguments);
  }

  private String fieldsWithRemaining(double remainingMs) {
    return fieldsBeforeRemaining
        + Math.max(MIN_FORWARDED_REMAINING_MS, (long) remainingMs)
        + fieldsAfterRemaining;
  }
}
