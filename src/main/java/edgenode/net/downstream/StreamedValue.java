package edgenode.net.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;

/**
 * A value that arrives in chunks, and what of it is not written yet. It is streamed, or held back
 * until it is complete: see {@link ResponseQueue}. On the event loop only.
 */
final class StreamedValue {
  private static final int INITIAL_CHUNKS = 2;

  /** Size of the chunks in which a value is written that has been held back. */
  private static final int HELD_CHUNK_BYTES = 16 << 10;

  private final int lengthBytes;
  private final FlowControl source;
  private final double maxHoldMs;

  /** What came in before it was held back, or came after that. */
  private final ArrayDeque<ByteBuf> chunks = new ArrayDeque<>(INITIAL_CHUNKS);

  /** What came in while it was held back with a buffer of its own, or null. */
  private ByteBuf heldBytes;

  private boolean isHeaderWritten;
  private boolean isFinished;
  private boolean isHoldOver;

  /** Ends the time for which it is held back; null where that has not begun. */
  private Future<?> holdTimer;

  /**
   * @param source stopped while the client does not take more
   * @param maxHoldMs time (ms) for which it may be held back
   */
  StreamedValue(int lengthBytes, FlowControl source, double maxHoldMs) {
    this.lengthBytes = lengthBytes;
    this.source = source;
    this.maxHoldMs = maxHoldMs;
  }

  FlowControl source() {
    return source;
  }

  /** Bytes of the whole value. */
  int lengthBytes() {
    return lengthBytes;
  }

  double maxHoldMs() {
    return maxHoldMs;
  }

  /** Its length line, in RESP. */
  String header() {
    return "$" + lengthBytes + "\r\n";
  }

  boolean isHeaderWritten() {
    return isHeaderWritten;
  }

  void headerWritten() {
    isHeaderWritten = true;
  }

  /** The source has given all of it. */
  void finish() {
    isFinished = true;
  }

  boolean isFinished() {
    return isFinished;
  }

  /** Whether it is being held back: nothing of it is written. */
  boolean isHeld() {
    return holdTimer != null && !isHoldOver;
  }

  /** Whether it has been held back for as long as it may. */
  boolean isHoldOver() {
    return isHoldOver;
  }

  /**
   * Holds it back.
   *
   * @param timer ends that
   */
  void hold(Future<?> timer) {
    holdTimer = timer;
  }

  /** Whether the rest of it fits in a buffer of its own. */
  boolean hasHoldBuffer() {
    return heldBytes != null;
  }

  /** Collects it, with what has come already, in a buffer of its own size. */
  void allocateHoldBuffer() {
    heldBytes = Unpooled.buffer(lengthBytes, lengthBytes);
    while (!chunks.isEmpty()) {
      addHeld(chunks.poll());
    }
  }

  private void addHeld(ByteBuf chunk) {
    heldBytes.writeBytes(chunk);
    chunk.release();
  }

  /** It is not held back any more. */
  void endHold() {
    isHoldOver = true;
    if (holdTimer != null) {
      holdTimer.cancel(false);
    }
  }

  /**
   * Adds the next bytes.
   *
   * @param chunk released by this value
   */
  void add(ByteBuf chunk) {
    if (isHeld() && hasHoldBuffer()) {
      addHeld(chunk);
    } else {
      chunks.add(chunk);
    }
  }

  /** Whether it has a part that could be written. */
  boolean hasUnwrittenParts() {
    return !isHeaderWritten || isFinished || hasUnwrittenChunks();
  }

  boolean hasUnwrittenChunks() {
    return unwrittenHeldBytes() > 0 || !chunks.isEmpty();
  }

  int unwrittenHeldBytes() {
    return heldBytes == null ? 0 : heldBytes.readableBytes();
  }

  /** Returns the next chunk, which is the caller's to release; there has to be one. */
  ByteBuf takeChunk() {
    int heldChunkBytes = Math.min(HELD_CHUNK_BYTES, unwrittenHeldBytes());
    if (heldChunkBytes == 0) {
      return chunks.remove();
    }
    ByteBuf chunk = heldBytes.readRetainedSlice(heldChunkBytes);
    if (!heldBytes.isReadable()) {
      releaseHoldBuffer();
    }
    return chunk;
  }

  private void releaseHoldBuffer() {
    if (heldBytes != null) {
      heldBytes.release();
      heldBytes = null;
    }
  }

  /** Releases what is not written. */
  void release() {
    endHold();
    releaseHoldBuffer();
    while (!chunks.isEmpty()) {
      chunks.poll().release();
    }
  }
}
