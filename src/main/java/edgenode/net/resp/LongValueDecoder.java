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
 * Answers of app servers whose value is too long to be kept: an array of three whose first element
 * is a bulk string of more than {@link RespCodec#MAX_VALUE_BYTES} bytes comes as a {@link
 * ValueStart}, its {@link * Part}s as they are read, and then an array of the two elements behind
 * it. All else passes unchanged. Stands between the decoder and the aggregators.
 */
public final class LongValueDecoder extends ChannelInboundHandlerAdapter {
  /** A value of so many bytes begins. */
  public record ValueStart(int lengthBytes) {
    /** The bytes of the array's head and of the value's. */
    int headerBytes() {
      return 4 + Integer.toString(lengthBytes).length() + 3;
    }
  }

  /**
   * Some bytes of the value, for the receiver to release; with the last ones their end of line has
   * been read.
   */
  public record ValueChunk(ByteBuf bytes, boolean isLast) {}

  /** The value, the figures on use, the load report. */
  private static final int RESPONSE_ELEMENTS = 3;

  private static final int LINE_END_BYTES = 2;

  private final RespCodec.UndecodedByteCounter undecodedBytes;
  private final int maxValueBytes;
  private ArrayHeaderRedisMessage pendingHeader;
  private boolean isInsideMessage;
  private boolean isInsideValue;

  /**
   * @param maxValueBytes bytes of a value; one that is said to be longer is malformed
   */
  LongValueDecoder(RespCodec.UndecodedByteCounter undecodedBytes, int maxValueBytes) {
    this.undecodedBytes = undecodedBytes;
    this.maxValueBytes = maxValueBytes;
  }

  /** A message has come whole: the next one begins. */
  void messageDecoded() {
    isInsideMessage = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (isInsideValue) {
      passValueChunk(ctx, (BulkStringRedisContent) msg);
    } else if (pendingHeader != null) {
      ArrayHeaderRedisMessage header = pendingHeader;
      pendingHeader = null;
      isInsideMessage = true;
      if (msg instanceof BulkStringHeaderRedisMessage bulk
          && bulk.bulkStringLength() > RespCodec.MAX_VALUE_BYTES) {
        if (bulk.bulkStringLength() > maxValueBytes) {
          throw new CodecException("a value of more than " + maxValueBytes);
        }
        isInsideValue = true;
        ValueStart start = new ValueStart(bulk.bulkStringLength());
        undecodedBytes.consumed(start.headerBytes());
        ctx.fireChannelRead(start);
      } else {
        ctx.fireChannelRead(header);
        ctx.fireChannelRead(msg);
      }
    } else if (!isInsideMessage
        && msg instanceof ArrayHeaderRedisMessage header
        && header.length() == RESPONSE_ELEMENTS) {
      pendingHeader = header;
    } else {
      isInsideMessage = true;
      ctx.fireChannelRead(msg);
    }
  }

  private void passValueChunk(ChannelHandlerContext ctx, BulkStringRedisContent content) {
    boolean isLast = content instanceof LastBulkStringRedisContent;
    undecodedBytes.consumed(content.content().readableBytes() + (isLast ? LINE_END_BYTES : 0));
    isInsideValue = !isLast;
    ctx.fireChannelRead(new ValueChunk(content.content(), isLast));
    if (isLast) {
      ctx.fireChannelRead(new ArrayHeaderRedisMessage(RESPONSE_ELEMENTS - 1));
      undecodedBytes.consumed(-4); // that head was not on the wire, and is counted with its message
    }
  }
}
