package edgenode.net.counter;

import edgenode.net.resp.RespCodec;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.math.BigDecimal;
import java.util.regex.Pattern;

/** The counter's commands and responses as they are on the wire. */
public final class CounterCodec {
  /** The counter keeps a total no longer than this after the last call. */
  private static final double MAX_TIME_TO_LIVE_MS = 60_000;

  /** A decimal total, bounded so that a double holds it: an infinite one would stay in a quota. */
  private static final Pattern TOTAL_FORMAT =
      Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?(e[+-]?[0-9]{1,2})?");

  private CounterCodec() {}

  /**
   * The command that adds an amount to a name's total.
   *
   * @param amount units, rounded to thousandths
   * @param timeToLiveMs how long the counter keeps the total, bounded to 1 to 60,000
   */
  public static String[] addCommand(long counterName, double amount, double timeToLiveMs) {
    long boundedTimeToLiveMs = (long) Math.max(1, Math.min(MAX_TIME_TO_LIVE_MS, timeToLiveMs));
    return new String[] {
      "CNT.ADD",
      Long.toString(counterName),
      formatAmount(amount),
      Long.toString(boundedTimeToLiveMs)
    };
  }

  /** A number in the counter's form: decimal, rounded to thousandths, without an exponent. */
  public static String formatAmount(double amount) {
    return BigDecimal.valueOf(Math.rint(amount * 1000) / 1000).stripTrailingZeros().toPlainString();
  }

  /** Whether the counter has rejected a call: nothing was added. */
  static boolean isRejection(RedisMessage response) {
    return response instanceof ErrorRedisMessage error
        && (error.content().startsWith("BUSY") || error.content().startsWith("ERR"));
  }

  /** The total's text, or null where the response has none. */
  static String totalOf(RedisMessage response) {
    String text = RespCodec.isBulkString(response) ? RespCodec.textOf(response) : "";
    return TOTAL_FORMAT.matcher(text).matches() ? text : null;
  }
}
