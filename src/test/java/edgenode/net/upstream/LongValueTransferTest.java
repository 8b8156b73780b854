package edgenode.net.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.ManualEventLoop;
import edgenode.eventloop.Transport;
import edgenode.policy.CallOutcome;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a long value's transfer is given up, in manual time. */
class LongValueTransferTest {
  private static final int VALUE_BYTES = 4 << 20;
  private static final int CHUNK_BYTES = 2048;

  /** Longer than any time without progress that a peer is allowed (ms). */
  private static final double LONG_MS = 600_000;

  private static final class RecordingSink implements ValueSink {
    private int receivedBytes;
    private boolean isComplete;
    private boolean isAborted;

    @Override
    public void onData(ByteBuf bytes) {
      receivedBytes += bytes.readableBytes();
      bytes.release();
    }

    @Override
    public void onComplete() {
      isComplete = true;
    }

    @Override
    public void onAborted() {
      isAborted = true;
    }
  }

  /** A request whose value goes to the sink. */
  private record SinkRequest(ValueSink sink) implements UpstreamRequest {
    @Override
    public ArrayRedisMessage command(double nowMs, ByteBufAllocator alloc) {
      throw new UnsupportedOperationException("not sent");
    }

    @Override
    public boolean isClientWaiting() {
      return true;
    }

    @Override
    public void attemptWritten(UpstreamAttempt attempt) {}

    @Override
    public void attemptEnded(
        UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {}

    @Override
    public ValueSink valueStarted(UpstreamAttempt attempt, int lengthBytes, ValueSource source) {
      return sink;
    }
  }

  private final ManualEventLoop loop = new ManualEventLoop(Transport.SOCKETS);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final RecordingSink sink = new RecordingSink();
  private final LongValueTransfer transfer = new LongValueTransfer(loop, channel);

  @BeforeEach
  void startTransfer() {
    UpstreamAttempt attempt =
        new UpstreamAttempt(new SinkRequest(sink), 0, "s0", loop.nowMs(), Double.POSITIVE_INFINITY);
    assertTrue(transfer.start(attempt, VALUE_BYTES));
  }

  private void receiveChunk() {
    transfer.append(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
  }

  /**
   * Guards against a value that was cut off for a client that read slowly all the time: 60 s with
   * reading off were taken for a client that had stopped, but its kernel buffer of some MB had just
   * not fallen by a third.
   */
  @Test
  void timeInWhichReadingIsOffIsNoStall() {
    transfer.setReading(false);
    loop.advance(LONG_MS);
    assertFalse(sink.isAborted);
    assertTrue(channel.isOpen());
    transfer.setReading(true);
    receiveChunk();
    transfer.complete();
    assertEquals(CHUNK_BYTES, sink.receivedBytes);
    assertTrue(sink.isComplete);
  }

  /** A value whose endpoint gives a little now and then is not bounded in its total time. */
  @Test
  void slowEndpointIsNotCutOff() {
    for (int i = 0; i < 60; i++) {
      receiveChunk();
      loop.advance(10_000);
    }
    assertFalse(sink.isAborted);
  }

  /** An endpoint that gives nothing while it is read is given up, also after a pause of reading. */
  @Test
  void silentEndpointIsGivenUp() {
    transfer.setReading(false);
    loop.advance(LONG_MS);
    transfer.setReading(true);
    loop.advance(LONG_MS);
    assertTrue(sink.isAborted);
    assertFalse(channel.isOpen());
  }
}
