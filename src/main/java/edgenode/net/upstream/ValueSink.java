package edgenode.net.upstream;

import io.netty.buffer.ByteBuf;

/**
 * Receives a long value as it is read. {@link #onComplete} or {@link #onAborted} ends it, unless
 * {@link ValueSource#cancel} was called.
 */
public interface ValueSink {
  /**
   * Some bytes of the value, in order.
   *
   * @param bytes released by the sink
   */
  void onData(ByteBuf bytes);

  /** The response is complete. */
  void onComplete();

  /** The connection failed or stalled: the rest of the value will not come. */
  void onAborted();
}
