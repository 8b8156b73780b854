package edgenode.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.BulkStringRedisContent;
import io.netty.handler.codec.redis.LastBulkStringRedisContent;

/**
 * Passes on values that are too long to be buffered in an endpoint's response. Of an array of three
 * whose first element is a bulk string of more than {@link RespCodec#MAX_VALUE_BYTES} it makes a
 * {@link ValueStart}, {@link ValueChunk}s as they are read, and an array of the two other elements.
 * All else passes unchanged. Stands between the decoder and the aggregators.
 */
public final class LongValueDecoder extends ChannelInboundHandlerAdapter {
  /**
   * A long value begins.
   *
   * @param lengthBytes of the whole value
   */
  public record ValueStart(int lengthBytes) {
    /** Bytes on the wire of the array's header and of the value's. */
    int headerBytes() {
      return ARRAY_HEADER_BYTES + Integer.toString(lengthBytes).length() + LINE_OVERHEAD_BYTES;
    }
  }

  /**
   * Some bytes of the value.
   *
   * @param bytes for the receiver to release
   * @param isLast whether the value, with its line end, has been read to its end
   */
  public record ValueChunk(ByteBuf bytes, boolean isLast) {}

  private static final int LINE_END_BYTES = 2;

  /** Type byte and line end of a header. */
  private static final int LINE_OVERHEAD_BYTES = 3;

  /** An array's header with a one-digit number of elements, as in {@code *3\r\n}. */
  private static final int ARRAY_HEADER_BYTES = 4;

  private final RespCodec.UndecodedByteCounter undecodedBytes;
  private final int maxValueBytes;
  private ArrayHeaderRedisMessage pendingHeader;
  private boolean isInsideMessage;
  private boolean isInsideValue;

  /**
   * @param maxValueBytes limit of a value; one that is announced as longer is malformed
   */
  LongValueDecoder(RespCodec.UndecodedByteCounter undecodedBytes, int maxValueBytes) {
    this.undecodedBytes = undecodedBytes;
    this.maxValueBytes = maxValueBytes;
  }

  /** A message has been read to its end. */
  void messageDecoded() {
    isInsideMessage = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (isInsideValue) {
      passValueChunk(ctx, (BulkStringRedisContent) msg);
    } else if (pendingHeader != null) {
      passFirstElement(ctx, msg);
    } else if (!isInsideMessage
        && msg instanceof ArrayHeaderRedisMessage header
        && header.length() == RespCodec.RESPONSE_ELEMENTS) {
      pendingHeader = header;
    } else {
      isInsideMessage = true;
      ctx.fireChannelRead(msg);
    }
  }

  /** The message is the first element of the array whose header was withheld. */
  private void passFirstElement(ChannelHandlerContext ctx, Object msg) {
    ArrayHeaderRedisMessage header = pendingHeader;
    pendingHeader = null;
    isInsideMessage = true;
    if (!(msg instanceof BulkStringHeaderRedisMessage bulk)
        || bulk.bulkStringLength() <= RespCodec.MAX_VALUE_BYTES) {
      ctx.fireChannelRead(header);
      ctx.fireChannelRead(msg);
      return;
    }
    if (bulk.bulkStringLength() > maxValueBytes) {
      throw new CodecException("a value of more than " + maxValueBytes);
    }
    isInsideValue = true;
    ValueStart start = new ValueStart(bulk.bulkStringLength());
    undecodedBytes.consumed(start.headerBytes());
    ctx.fireChannelRead(start);
  }

  private void passValueChunk(ChannelHandlerContext ctx, BulkStringRedisContent content) {
    boolean isLast = content instanceof LastBulkStringRedisContent;
    undecodedBytes.consumed(content.content().readableBytes() + (isLast ? LINE_END_BYTES : 0));
    isInsideValue = !isLast;
    ctx.fireChannelRead(new ValueChunk(content.content(), isLast));
    if (isLast) {
      ctx.fireChannelRead(new ArrayHeaderRedisMessage(RespCodec.RESPONSE_ELEMENTS - 1));
      undecodedBytes.consumed(-ARRAY_HEADER_BYTES); // this header was not on the wire
    }
  }
}
