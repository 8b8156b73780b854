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
public final class RespCodec {
  /**
   * The most of one value that is kept; the lists of names and values and inline answers are far
   * shorter.
   */
  public static final int MAX_VALUE_BYTES = 64 * 1024;

  /** The most that a value holds which is passed on as it comes. */
  public static final int MAX_LONG_VALUE_BYTES = 4 << 20;

  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_ARRAY_DEPTH = 4;

  private RespCodec() {}

  /**
   * Adds the codec: whole messages in, messages out; the largest array told bounds what is kept of
   * one.
   */
  public static UndecodedByteCounter addCodec(ChannelPipeline pipeline, int maxElements) {
    UndecodedByteCounter counter = new UndecodedByteCounter();
    pipeline.addLast(
        counter,
        new RedisDecoder(
            MAX_LINE_BYTES, io.netty.handler.codec.redis.FixedRedisMessagePool.INSTANCE),
        new LengthLimiter(),
        new RedisBulkStringAggregator(),
        new RedisArrayAggregator(maxElements, MAX_ARRAY_DEPTH),
        new RedisEncoder());
    return counter;
  }

  /** As {@link #addCodec}, for answers of app servers: long values come in parts. */
  public static UndecodedByteCounter addResponseCodec(ChannelPipeline pipeline, int maxElements) {
    UndecodedByteCounter counter = addCodec(pipeline, maxElements);
    counter.longValueDecoder = new LongValueDecoder(counter, MAX_LONG_VALUE_BYTES);
    pipeline.addAfter(pipeline.context(RedisDecoder.class).name(), null, counter.longValueDecoder);
    return counter;
  }

  /** Counts what comes in before it is decoded, as the decoder hides half a message. */
  public static final class UndecodedByteCounter extends ChannelInboundHandlerAdapter {
    private long pendingBytes;
    private LongValueDecoder longValueDecoder;

    /** Bytes that have come and belong to no whole message yet. */
    public long pendingBytes() {
      return pendingBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      pendingBytes += ((ByteBuf) msg).readableBytes();
      ctx.fireChannelRead(msg);
    }

    /**
     * A whole message has come: to be told as it arrives, before the next is read. One in another
     * than the shortest form leaves a difference for good.
     */
    public void messageDecoded(RedisMessage message) {
      pendingBytes -= encodedLength(message);
      if (longValueDecoder != null) {
        longValueDecoder.messageDecoded();
      }
    }

    /** So many bytes of a message have been passed on before it is whole. */
    void consumed(int bytes) {
      pendingBytes -= bytes;
    }
  }

  /** The bytes of a message in its shortest form. */
  private static long encodedLength(RedisMessage message) {
    if (message instanceof ArrayRedisMessage array) {
      return array.isNull()
          ? 5
          : digits(array.children().size())
              + 3
              + array.children().stream().mapToLong(RespCodec::encodedLength).sum();
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
  private static final class LengthLimiter extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (msg instanceof BulkStringHeaderRedisMessage header
          && header.bulkStringLength() > MAX_VALUE_BYTES) {
        throw new CodecException("a value of more than " + MAX_VALUE_BYTES);
      }
      ctx.fireChannelRead(msg);
    }
  }

  public static FullBulkStringRedisMessage bulkString(ByteBufAllocator alloc, String text) {
    return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
  }

  public static ArrayRedisMessage command(ByteBufAllocator alloc, String... arguments) {
    List<RedisMessage> elements = new ArrayList<>(arguments.length);
    for (String argument : arguments) {
      elements.add(bulkString(alloc, argument));
    }
    return new ArrayRedisMessage(elements);
  }

  /** The text of a bulk string, or null where the message is none. */
  public static String textOf(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
        ? bulk.content().toString(StandardCharsets.UTF_8)
        : null;
  }

  public static boolean isBulkString(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
  }
}
