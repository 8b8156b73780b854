package edgenode.net.resp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.AbstractStringRedisMessage;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.IntegerRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 on a channel: the library's codec, held within this protocol's bounds. */
public final class Resp {
  /**
   * The most of one value that is kept; the lists of names and values and inline answers are far
   * shorter.
   */
  public static final int VALUE = 64 * 1024;

  /** The most that a value holds which is passed on as it comes. */
  public static final int LONG_VALUE = 4 << 20;

  private static final int LINE = 4096;
  private static final int DEPTH = 4;

  private Resp() {}

  /**
   * Adds the codec: whole messages in, messages out; the largest array told bounds what is kept of
   * one.
   */
  public static Raw codec(ChannelPipeline pipeline, int mostElements) {
    Raw raw = new Raw();
    pipeline.addLast(
        raw,
        new RedisDecoder(LINE, io.netty.handler.codec.redis.FixedRedisMessagePool.INSTANCE),
        new Bounds(),
        new RedisBulkStringAggregator(),
        new RedisArrayAggregator(mostElements, DEPTH),
        new RedisEncoder());
    return raw;
  }

  /** As {@link #codec}, for answers of app servers: long values come in parts. */
  public static Raw answers(ChannelPipeline pipeline, int mostElements) {
    Raw raw = codec(pipeline, mostElements);
    raw.longValues = new LongValues(raw, LONG_VALUE);
    pipeline.addAfter(pipeline.context(RedisDecoder.class).name(), null, raw.longValues);
    return raw;
  }

  /** Counts what comes in before it is decoded, as the decoder hides half a message. */
  public static final class Raw extends ChannelInboundHandlerAdapter {
    private long pending;
    private LongValues longValues;

    /** Bytes that have come and belong to no whole message yet. */
    public long pending() {
      return pending;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      pending += ((ByteBuf) msg).readableBytes();
      ctx.fireChannelRead(msg);
    }

    /**
     * A whole message has come: to be told as it arrives, before the next is read. One in another
     * than the shortest form leaves a difference for good.
     */
    public void whole(RedisMessage message) {
      pending -= length(message);
      if (longValues != null) {
        longValues.whole();
      }
    }

    /** So many bytes of a message have been passed on before it is whole. */
    void took(int bytes) {
      pending -= bytes;
    }
  }

  /** The bytes of a message in its shortest form. */
  private static long length(RedisMessage message) {
    if (message instanceof ArrayRedisMessage array) {
      return array.isNull()
          ? 5
          : digits(array.children().size())
              + 3
              + array.children().stream().mapToLong(Resp::length).sum();
    }
    if (message instanceof FullBulkStringRedisMessage bulk) {
      int size = bulk.isNull() ? -1 : bulk.content().readableBytes();
      return size < 0 ? 5 : digits(size) + 5 + size;
    }
    if (message instanceof AbstractStringRedisMessage line) { // simple strings and errors
      return ByteBufUtil.utf8Bytes(line.content()) + 3;
    }
    return message instanceof IntegerRedisMessage number
        ? Long.toString(number.value()).length() + 3
        : 0;
  }

  private static int digits(int size) {
    return Integer.toString(size).length();
  }

  /** Guards against headers that announce gigabytes: the library's own bound is 512 MB a value. */
  private static final class Bounds extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (msg instanceof BulkStringHeaderRedisMessage header && header.bulkStringLength() > VALUE) {
        throw new CodecException("a value of more than " + VALUE);
      }
      ctx.fireChannelRead(msg);
    }
  }

  public static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
    return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
  }

  public static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
    List<RedisMessage> parts = new ArrayList<>(words.length);
    for (String word : words) {
      parts.add(bulk(alloc, word));
    }
    return new ArrayRedisMessage(parts);
  }

  /** The text of a bulk string, or null where the message is none. */
  public static String text(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
        ? bulk.content().toString(StandardCharsets.UTF_8)
        : null;
  }

  public static boolean isValue(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
  }
}
