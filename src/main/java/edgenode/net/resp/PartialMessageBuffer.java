package edgenode.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Holds what comes of a message after its first read, until the message is complete. The pieces are
 * copied into one buffer of about their size: each of them may be a byte in a read buffer of some
 * KB. On the event loop only.
 */
final class PartialMessageBuffer {
  private static final int INITIAL_BYTES = 256;

  /** The buffer grows by this part of its size at least: each byte is copied a few times. */
  private static final int GROWTH_DIVISOR = 4;

  private final RespMessageScanner scanner = new RespMessageScanner();
  private RespMessageScanner.State state = RespMessageScanner.State.COMPLETE;

  /** Null where nothing is held. */
  private ByteBuf held;

  /**
   * The decoder has read a message up to its end or a part of it.
   *
   * @param part what has been decoded of a message that is not complete
   */
  void messageBegun(ByteBuf part) {
    scanner.reset();
    state = scanner.scan(part);
  }

  /** Whether what comes next belongs to a message that is not complete. */
  boolean isWaiting() {
    return state == RespMessageScanner.State.INCOMPLETE;
  }

  /**
   * Adds the next bytes, while {@link #isWaiting}.
   *
   * @param bytes released by this buffer
   * @return all that is held, for the caller to release, once it can be decoded; null before
   */
  ByteBuf add(ByteBuf bytes) {
    state = scanner.scan(bytes);
    if (held == null && !isWaiting()) {
      return bytes;
    }
    hold(bytes);
    if (isWaiting()) {
      return null;
    }
    ByteBuf all = held;
    held = null;
    return all;
  }

  private void hold(ByteBuf bytes) {
    int addedBytes = bytes.readableBytes();
    if (held == null) {
      held = Unpooled.buffer(Math.max(INITIAL_BYTES, addedBytes));
    } else if (held.writableBytes() < addedBytes) {
      int minBytes = held.writerIndex() + addedBytes;
      held.capacity(Math.max(minBytes, held.capacity() + held.capacity() / GROWTH_DIVISOR));
    }
    held.writeBytes(bytes);
    bytes.release();
  }

  /** Releases what is held, which is not decoded any more. */
  void release() {
    state = RespMessageScanner.State.COMPLETE;
    if (held != null) {
      held.release();
      held = null;
    }
  }
}
