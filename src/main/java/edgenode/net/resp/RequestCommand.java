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
 * A client's call as read: what the module is told of it, and its list of names and values round d.
 *
 * @param idempotencyKey the idempotency key, or null where it has none
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

  private static final int CUSTOMER_INDEX = 1;
  private static final int REQUEST_ID_INDEX = 2;
  private static final int FIELD_LIST_INDEX = 3;
  private static final int BODY_INDEX = 4;

  /** 16 hex digits, below 2^33. */
  private static final Pattern CUSTOMER_FORMAT = Pattern.compile("0{7}[01][0-9a-f]{8}");

  /**
   * Java's own reading takes NaN, 1e30 and 0x1p3 too: units of any of them would go off a quota.
   */
  private static final Pattern INTEGER_FORMAT = Pattern.compile("[0-9]{1,9}");

  private static final Pattern DURATION_FORMAT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

  /**
   * Throws IllegalArgumentException with what is wrong; sets and units are held against the
   * settings.
   */
  public static RequestCommand parse(ArrayRedisMessage command, PolicySettings settings) {
    List<RedisMessage> elements = command.children();
    if (elements.size() <= FIELD_LIST_INDEX || elements.size() > BODY_INDEX + 1) {
      throw new IllegalArgumentException("wrong number of arguments");
    }
    for (RedisMessage element : elements) {
      if (!(element instanceof FullBulkStringRedisMessage bulkString) || bulkString.isNull()) {
        throw new IllegalArgumentException("bulk strings expected");
      }
    }
    String customer = RespCodec.textOf(elements.get(CUSTOMER_INDEX));
    String requestId = RespCodec.textOf(elements.get(REQUEST_ID_INDEX));
    if (!CUSTOMER_FORMAT.matcher(customer).matches()
        || requestId.isEmpty()
        || requestId.length() > 64) {
      throw new IllegalArgumentException("customer or id is malformed");
    }
    String fieldList = RespCodec.textOf(elements.get(FIELD_LIST_INDEX));
    String className = null;
    String planName = null;
    double remainingMs = Double.NaN;
    int units = 1;
    int nodeSpread = 1;
    int firstNode = 0;
    int remainingFrom = -1;
    int remainingTo = -1;
    boolean isClientRetry = false;
    String idempotencyKey = null;
    for (int from = 0; from < fieldList.length(); ) {
      int comma = fieldList.indexOf(',', from);
      int to = comma < 0 ? fieldList.length() : comma;
      int equalsAt = fieldList.indexOf('=', from);
      if (equalsAt < 0 || equalsAt >= to) {
        throw new IllegalArgumentException("name=value expected");
      }
      String value = fieldList.substring(equalsAt + 1, to);
      switch (fieldList.substring(from, equalsAt)) {
        case "c" -> className = value;
        case "t" -> planName = value;
        case "d" -> {
          remainingMs = Double.parseDouble(requireFormat(DURATION_FORMAT, value));
          remainingFrom = equalsAt + 1;
          remainingTo = to;
        }
        case "units" -> units = Integer.parseInt(requireFormat(INTEGER_FORMAT, value));
        case "spread" -> nodeSpread = Integer.parseInt(requireFormat(INTEGER_FORMAT, value));
        case "first" -> firstNode = Integer.parseInt(requireFormat(INTEGER_FORMAT, value));
        case "k" -> idempotencyKey = value.isEmpty() ? null : value;
        case "r" -> isClientRetry = value.equals("1");
        default -> {} // passed on as it is
      }
      from = to + 1;
    }
    if (className == null || planName == null || remainingFrom < 0) {
      throw new IllegalArgumentException("c, t and d are needed");
    }
    if (units < 1
        || units > settings.maxRequestUnits()
        || nodeSpread < 1
        || nodeSpread > settings.nodeCount()
        || firstNode >= settings.nodeCount()) {
      throw new IllegalArgumentException("units or set out of range");
    }
    boolean isGet = RespCodec.textOf(elements.get(0)).endsWith("GET");
    for (RequestClass requestClass : settings.requestClasses()) {
      if (requestClass.name().equals(className)
          && (isGet != (requestClass.idempotency() == Idempotency.IDEMPOTENT)
              || requestClass.idempotency() == Idempotency.KEYED && idempotencyKey == null)) {
        throw new IllegalArgumentException("not the command of this class, or no k");
      }
    }
    return new RequestCommand(
        customer,
        requestId,
        className,
        planName,
        remainingMs,
        units,
        nodeSpread,
        firstNode,
        isClientRetry,
        idempotencyKey,
        fieldList.substring(0, remainingFrom),
        fieldList.substring(remainingTo));
  }

  private static String requireFormat(Pattern format, String value) {
    if (!format.matcher(value).matches()) {
      throw new IllegalArgumentException("a number is malformed");
    }
    return value;
  }

  /** The command as it goes on: unchanged, but d tells what is left. */
  public ArrayRedisMessage forwardedCommand(
      ArrayRedisMessage command, double remainingMs, ByteBufAllocator alloc) {
    List<RedisMessage> elements = new ArrayList<>(command.children().size());
    for (int i = 0; i < command.children().size(); i++) {
      elements.add(
          i == FIELD_LIST_INDEX
              ? RespCodec.bulkString(
                  alloc,
                  fieldsBeforeRemaining + Math.max(1, (long) remainingMs) + fieldsAfterRemaining)
              : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
    }
    return new ArrayRedisMessage(elements);
  }
}
