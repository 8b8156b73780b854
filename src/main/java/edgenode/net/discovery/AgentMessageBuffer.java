package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * The bytes of one message of the agent: the body of a response, or a JSON object on the lines of a
 * watch. An object may come indented, on many lines.
 */
final class AgentMessageBuffer {
  /** No message is as long as this. */
  static final int MAX_BYTES = 8 << 20;

  private static final int INITIAL_BYTES = 512;

  /** A larger buffer is released after a message of the watch: such messages are rare. */
  private static final int MAX_IDLE_BYTES = AgentSource.MAX_POLLED_LIST_BYTES;

  private byte[] bytes = new byte[INITIAL_BYTES];
  private int size;

  /** How far the bytes were scanned for the end of the object, and in how many it is there. */
  private int scannedBytes;

  private int depth;
  private boolean isQuoted;

  int size() {
    return size;
  }

  void clear() {
    size = 0;
  }

  /**
   * Appends bytes.
   *
   * @return false where the message would be too long; then nothing is appended
   */
  boolean append(ByteBuf in, int length) {
    if (size + length > MAX_BYTES) {
      return false;
    }
    if (size + length > bytes.length) {
      int capacity = Math.max(2 * bytes.length, size + length);
      bytes = Arrays.copyOf(bytes, Math.min(MAX_BYTES, capacity));
    }
    in.readBytes(bytes, size, length);
    size += length;
    return true;
  }

  /** Whether an object has begun and not ended; each byte is looked at once. */
  boolean isInsideObject() {
    scannedBytes = scannedBytes > size ? 0 : scannedBytes;
    if (scannedBytes == 0) {
      depth = 0;
      isQuoted = false;
    }
    for (; scannedBytes < size; scannedBytes++) {
      byte next = bytes[scannedBytes];
      if (next == '\\' && isQuoted) {
        scannedBytes++; // an escaped character ends nothing
      } else if (next == '"') {
        isQuoted = !isQuoted;
      } else if (!isQuoted) {
        depth += next == '{' ? 1 : next == '}' ? -1 : 0;
      }
    }
    boolean isOpen = depth > 0;
    scannedBytes = isOpen ? scannedBytes : 0;
    return isOpen;
  }

  /** Ends the message: returns its length, and the next one begins. */
  int endMessage() {
    int length = size;
    size = 0;
    return length;
  }

  /** Whether the message that has just ended is empty or white space. */
  boolean isBlank(int length) {
    for (int i = 0; i < length; i++) {
      if (bytes[i] > ' ') {
        return false;
      }
    }
    return true;
  }

  /**
   * Parses the message that has just ended.
   *
   * @param skipped is given the reason for each endpoint that was left out
   * @throws IOException where it is no JSON or no list
   */
  EndpointListJson parse(int length, Consumer<String> skipped) throws IOException {
    return EndpointListJson.parse(bytes, length, skipped);
  }

  /** Releases the memory of a long message. */
  void shrink() {
    if (bytes.length > MAX_IDLE_BYTES) {
      bytes = new byte[INITIAL_BYTES];
    }
  }
}
