package edgenode.net.upstream;

import edgenode.policy.CallOutcome;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;

/**
 * A client's request as the connection pool sees it: it provides the command to send and is
 * notified of what becomes of its attempts. All methods are called on the event loop thread.
 */
public interface UpstreamRequest {
  /**
   * The command to write now.
   *
   * @param nowMs the event loop's clock (ms)
   * @return a new message, released by the pool's encoder
   */
  ArrayRedisMessage command(double nowMs, ByteBufAllocator alloc);

  /**
   * Whether anybody still waits for the response. Asked before an attempt is written that had to
   * wait for a connection.
   */
  boolean isClientWaiting();

  /** The attempt's last byte has been written to the endpoint's connection. */
  void attemptWritten(UpstreamAttempt attempt);

  /**
   * The attempt has ended. Called once an attempt, after {@link UpstreamConnectionPool#send} has
   * returned, unless {@link #valueStarted} was called in its place.
   *
   * @param value the response's value where the outcome is OK, else null; released by the pool
   * @param load the endpoint's load report in the order of the settings' fields, NaN for a field
   *     that it lacks; empty where there is no report
   */
  void attemptEnded(
      UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load);

  /**
   * Called in place of {@link #attemptEnded} where the value is too long to be buffered: the
   * attempt has succeeded, and the value follows as it is read.
   *
   * @param lengthBytes length of the value
   * @param source controls the transfer
   * @return who takes the value, or null where nobody waits for it: the connection is closed
   */
  ValueSink valueStarted(UpstreamAttempt attempt, int lengthBytes, ValueSource source);
}
