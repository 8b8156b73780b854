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
 * is a bulk string of more than {@link Resp#VALUE} bytes comes as a {@link Begin}, its {@link *
 * Part}s as they are read, and then an array of the two elements behind it. All else passes
 * unchanged. Stands between the decoder and the aggregators.
 */
public final class LongValues extends ChannelInboundHandlerAdapter {
  /** A value of so many bytes begins. */
  public record Begin(int length) {
    /** The bytes of the array's head and of the value's. */
    int head() {
      return 4 + Integer.toString(length).length() + 3;
    }
  }

  /**
   * Some bytes of the value, for the receiver to release; with the last ones their end of line has
   * been read.
   */
  public record Part(ByteBuf bytes, boolean last) {}

  /** The value, the figures on use, the load report. */
  private static final int PARTS = 3;

  private static final int END_OF_LINE = 2;

  private final Resp.Raw raw;
  private final int longest;
  private ArrayHeaderRedisMessage held;
  private boolean inMessage;
  private boolean inValue;

  /**
   * @param longest bytes of a value; one that is said to be longer is malformed
   */
  LongValues(Resp.Raw raw, int longest) {
    this.raw = raw;
    this.longest = longest;
  }

  /** A message has come whole: the next one begins. */
  void whole() {
    inMessage = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object msg) {
    if (inValue) {
      value(ctx, (BulkStringRedisContent) msg);
    } else if (held != null) {
      ArrayHeaderRedisMessage head = held;
      held = null;
      inMessage = true;
      if (msg instanceof BulkStringHeaderRedisMessage bulk
          && bulk.bulkStringLength() > Resp.VALUE) {
        if (bulk.bulkStringLength() > longest) {
          throw new CodecException("a value of more than " + longest);
        }
        inValue = true;
        Begin begin = new Begin(bulk.bulkStringLength());
        raw.took(begin.head());
        ctx.fireChannelRead(begin);
      } else {
        ctx.fireChannelRead(head);
        ctx.fireChannelRead(msg);
      }
    } else if (!inMessage
        && msg instanceof ArrayHeaderRedisMessage head
        && head.length() == PARTS) {
      held = head;
    } else {
      inMessage = true;
      ctx.fireChannelRead(msg);
    }
  }

  private void value(ChannelHandlerContext ctx, BulkStringRedisContent content) {
    boolean last = content instanceof LastBulkStringRedisContent;
    raw.took(content.content().readableBytes() + (last ? END_OF_LINE : 0));
    inValue = !last;
    ctx.fireChannelRead(new Part(content.content(), last));
    if (last) {
      ctx.fireChannelRead(new ArrayHeaderRedisMessage(PARTS - 1));
      raw.took(-4); // that head was not on the wire, and is counted with its message
    }
  }
}
