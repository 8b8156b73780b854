package edgenode.net.resp;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a RESP2 message whose bytes come in pieces, without keeping any of them. Reads
 * lines byte by byte and skips values by their length: O(bytes of lines). On the event loop only.
 */
final class RespMessageScanner {
  /** What is known of the message. */
  enum State {
    /** More of it has to come. */
    INCOMPLETE,
    /** Its last byte has been scanned. */
    COMPLETE,
    /** It is malformed or outside the bounds: its decoder says how. */
    INVALID
  }

  private static final int LINE_END_BYTES = 2;
  private static final int RADIX = 10;

  /** Digits of a length; a longer one is outside the bounds. */
  private static final int MAX_LINE_CHARS = 4096;

  private static final int MAX_ELEMENTS = 1024;
  private static final char NO_TYPE = 0;

  private State state = State.INCOMPLETE;

  /** Messages, elements of arrays included, whose end has not been scanned. */
  private int remainingElements = 1;

  /** Type of the line that is being scanned, or {@link #NO_TYPE}. */
  private char lineType = NO_TYPE;

  private int lineChars;
  private boolean isNegative;
  private int length;

  /** Bytes of a value, with its line end, that have not been scanned. */
  private int remainingValueBytes;

  /** Begins with a new message. */
  void reset() {
    state = State.INCOMPLETE;
    remainingElements = 1;
    lineType = NO_TYPE;
    remainingValueBytes = 0;
  }

  /**
   * Scans the next bytes, up to the end of the message at most. Does not move the buffer's indexes.
   *
   * @return what is known now
   */
  State scan(ByteBuf bytes) {
    int at = bytes.readerIndex();
    int end = bytes.writerIndex();
    while (state == State.INCOMPLETE && at < end) {
      if (remainingValueBytes > 0) {
        int skippedBytes = Math.min(remainingValueBytes, end - at);
        at += skippedBytes;
        skipValue(skippedBytes);
      } else {
        scanChar((char) bytes.getByte(at));
        at++;
      }
    }
    return state;
  }

  private void skipValue(int skippedBytes) {
    remainingValueBytes -= skippedBytes;
    if (remainingValueBytes == 0) {
      elementEnded();
    }
  }

  private void elementEnded() {
    remainingElements--;
    if (remainingElements == 0) {
      state = State.COMPLETE;
    }
  }

  private void scanChar(char next) {
    if (lineType == NO_TYPE) {
      beginLine(next);
    } else if (next == '\n') {
      endLine();
    } else if (++lineChars > MAX_LINE_CHARS) {
      state = State.INVALID;
    } else if (hasLength() && next != '\r') {
      scanLengthChar(next);
    }
  }

  private boolean hasLength() {
    return lineType == '$' || lineType == '*';
  }

  private void beginLine(char type) {
    lineType = type;
    lineChars = 0;
    length = 0;
    isNegative = false;
    if (!hasLength() && type != '+' && type != '-' && type != ':') {
      state = State.INVALID;
    }
  }

  private void scanLengthChar(char next) {
    if (next == '-' && lineChars == 1) {
      isNegative = true;
    } else if (next < '0' || next > '9' || length > RespCodec.MAX_VALUE_BYTES) {
      state = State.INVALID;
    } else {
      length = length * RADIX + next - '0';
    }
  }

  private void endLine() {
    char type = lineType;
    lineType = NO_TYPE;
    if (type == '$' && !isNegative) {
      remainingValueBytes = length + LINE_END_BYTES;
      state = length > RespCodec.MAX_VALUE_BYTES ? State.INVALID : state;
      return;
    }
    if (type == '*' && !isNegative) {
      remainingElements += length;
      state = remainingElements > MAX_ELEMENTS ? State.INVALID : state;
    }
    if (state == State.INCOMPLETE) {
      elementEnded();
    }
  }
}
