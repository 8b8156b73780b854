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
 * @param key the idempotency key, or null where it has none
 */
public record Call(
    String customer,
    String id,
    String type,
    String plan,
    double patience,
    int units,
    int spread,
    int first,
    boolean again,
    String key,
    String beforeWait,
    String afterWait) {

  private static final int CUSTOMER = 1;
  private static final int ID = 2;
  private static final int LIST = 3;
  private static final int BODY = 4;

  /** 16 hex digits, below 2^33. */
  private static final Pattern KEY = Pattern.compile("0{7}[01][0-9a-f]{8}");

  /**
   * Java's own reading takes NaN, 1e30 and 0x1p3 too: units of any of them would go off a quota.
   */
  private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");

  private static final Pattern WAIT = Pattern.compile("[0-9]{1,9}(\\.[0-9]{1,9})?");

  /**
   * Throws IllegalArgumentException with what is wrong; sets and units are held against the
   * settings.
   */
  public static Call of(ArrayRedisMessage command, PolicySettings settings) {
    List<RedisMessage> parts = command.children();
    if (parts.size() <= LIST || parts.size() > BODY + 1) {
      throw new IllegalArgumentException("wrong number of arguments");
    }
    for (RedisMessage part : parts) {
      if (!(part instanceof FullBulkStringRedisMessage bulk) || bulk.isNull()) {
        throw new IllegalArgumentException("bulk strings expected");
      }
    }
    String customer = Resp.text(parts.get(CUSTOMER));
    String id = Resp.text(parts.get(ID));
    if (!KEY.matcher(customer).matches() || id.isEmpty() || id.length() > 64) {
      throw new IllegalArgumentException("customer or id is malformed");
    }
    String list = Resp.text(parts.get(LIST));
    String type = null;
    String plan = null;
    double wait = Double.NaN;
    int units = 1;
    int spread = 1;
    int first = 0;
    int waitFrom = -1;
    int waitTo = -1;
    boolean again = false;
    String key = null;
    for (int from = 0; from < list.length(); ) {
      int comma = list.indexOf(',', from);
      int to = comma < 0 ? list.length() : comma;
      int eq = list.indexOf('=', from);
      if (eq < 0 || eq >= to) {
        throw new IllegalArgumentException("name=value expected");
      }
      String value = list.substring(eq + 1, to);
      switch (list.substring(from, eq)) {
        case "c" -> type = value;
        case "t" -> plan = value;
        case "d" -> {
          wait = Double.parseDouble(matching(WAIT, value));
          waitFrom = eq + 1;
          waitTo = to;
        }
        case "units" -> units = Integer.parseInt(matching(WHOLE, value));
        case "spread" -> spread = Integer.parseInt(matching(WHOLE, value));
        case "first" -> first = Integer.parseInt(matching(WHOLE, value));
        case "k" -> key = value.isEmpty() ? null : value;
        case "r" -> again = value.equals("1");
        default -> {} // passed on as it is
      }
      from = to + 1;
    }
    if (type == null || plan == null || waitFrom < 0) {
      throw new IllegalArgumentException("c, t and d are needed");
    }
    if (units < 1
        || units > settings.maxRequestUnits()
        || spread < 1
        || spread > settings.nodeCount()
        || first >= settings.nodeCount()) {
      throw new IllegalArgumentException("units or set out of range");
    }
    boolean get = Resp.text(parts.get(0)).endsWith("GET");
    for (RequestClass c : settings.requestClasses()) {
      if (c.name().equals(type)
          && (get != (c.idempotency() == Idempotency.IDEMPOTENT)
              || c.idempotency() == Idempotency.KEYED && key == null)) {
        throw new IllegalArgumentException("not the command of this class, or no k");
      }
    }
    return new Call(
        customer,
        id,
        type,
        plan,
        wait,
        units,
        spread,
        first,
        again,
        key,
        list.substring(0, waitFrom),
        list.substring(waitTo));
  }

  private static String matching(Pattern form, String value) {
    if (!form.matcher(value).matches()) {
      throw new IllegalArgumentException("a number is malformed");
    }
    return value;
  }

  /** The command as it goes on: unchanged, but d tells what is left. */
  public ArrayRedisMessage forward(ArrayRedisMessage command, double left, ByteBufAllocator alloc) {
    List<RedisMessage> parts = new ArrayList<>(command.children().size());
    for (int i = 0; i < command.children().size(); i++) {
      parts.add(
          i == LIST
              ? Resp.bulk(alloc, beforeWait + Math.max(1, (long) left) + afterWait)
              : ((FullBulkStringRedisMessage) command.children().get(i)).retainedDuplicate());
    }
    return new ArrayRedisMessage(parts);
  }
}
