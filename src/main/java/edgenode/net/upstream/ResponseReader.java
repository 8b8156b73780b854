package edgenode.net.upstream;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.EndpointHealthListener;
import edgenode.net.resp.RespCodec;
import edgenode.policy.CallOutcome;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/** Turns an endpoint's complete response into the outcome of its attempt, with the load report. */
final class ResponseReader {
  private static final int VALUE_INDEX = 0;
  private static final int LOAD_REPORT_INDEX = 2;

  /** Field names of the load reports that the settings call otherwise. */
  private static final Map<String, String> LOAD_FIELD_NAMES =
      Map.of(
          "inflight",
          "outstanding",
          "queue",
          "backlog",
          "util",
          "utilization",
          "latency_ms",
          "recent_ms",
          "qps",
          "throughput",
          "eps",
          "errors_per_s");

  private final UpstreamConnectionPool pool;
  private final EdgeEventLoop eventLoop;
  private final EndpointHealthListener health;
  private final List<String> loadReportFields;

  /**
   * @param loadReportFields the fields of a load report, in the settings' order
   */
  ResponseReader(
      UpstreamConnectionPool pool,
      EdgeEventLoop eventLoop,
      EndpointHealthListener health,
      List<String> loadReportFields) {
    this.pool = pool;
    this.eventLoop = eventLoop;
    this.health = health;
    this.loadReportFields = loadReportFields;
  }

  /**
   * Ends the attempt with the outcome that the message says.
   *
   * @return false where the message has none of the protocol's forms: the attempt is not ended, and
   *     may have run
   */
  boolean read(UpstreamAttempt attempt, RedisMessage message) {
    if (message instanceof ArrayRedisMessage array
        && !array.isNull()
        && array.children().size() == RespCodec.RESPONSE_ELEMENTS
        && RespCodec.isBulkString(array.children().get(VALUE_INDEX))
        && !attempt.isHealthCheck()) {
      readValue(attempt, array.children());
      return true;
    }
    if (message instanceof ErrorRedisMessage error) {
      return readError(attempt, error.content());
    }
    if (attempt.isHealthCheck() && RespCodec.isBulkString(message)) {
      pool.end(attempt, CallOutcome.OK, null, parseLoadReport(RespCodec.textOf(message)));
      return true;
    }
    return false;
  }

  private void readValue(UpstreamAttempt attempt, List<RedisMessage> elements) {
    health.responded(attempt.endpointId());
    pool.end(
        attempt,
        CallOutcome.OK,
        elements.get(VALUE_INDEX),
        parseLoadReport(RespCodec.textOf(elements.get(LOAD_REPORT_INDEX))));
  }

  /** A load report may stand behind the error's text, after the last space. */
  private boolean readError(UpstreamAttempt attempt, String text) {
    boolean isBusy = text.equals("BUSY") || text.startsWith("BUSY ");
    if (!isBusy && !text.startsWith("ERR ")) {
      eventLoop.logLine(
          "endpoint "
              + attempt.endpointId()
              + ": unknown error response '"
              + text
              + "'; its connection is closed");
      return false;
    }
    int space = text.lastIndexOf(' ');
    boolean hasReport = text.indexOf('=', space) > 0;
    pool.end(
        attempt,
        isBusy ? CallOutcome.FULL : CallOutcome.ERROR,
        null,
        hasReport
            ? parseLoadReport(text.substring(space + 1))
            : UpstreamConnectionPool.NO_LOAD_REPORT);
    return true;
  }

  /** The values in the order of the settings' fields; NaN for a field that the report lacks. */
  private double[] parseLoadReport(String report) {
    if (report == null || loadReportFields.isEmpty()) {
      return UpstreamConnectionPool.NO_LOAD_REPORT;
    }
    double[] values = new double[loadReportFields.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int equalsAt = pair.indexOf('=');
      int index = equalsAt > 0 ? fieldIndex(pair.substring(0, equalsAt)) : -1;
      if (index >= 0) {
        values[index] = parseLoadValue(pair.substring(equalsAt + 1));
      }
    }
    return values;
  }

  private int fieldIndex(String name) {
    int index = loadReportFields.indexOf(name);
    return index < 0 ? loadReportFields.indexOf(LOAD_FIELD_NAMES.getOrDefault(name, name)) : index;
  }

  private static double parseLoadValue(String text) {
    try {
      return Math.max(0, Double.parseDouble(text));
    } catch (NumberFormatException e) {
      return Double.NaN;
    }
  }
}
