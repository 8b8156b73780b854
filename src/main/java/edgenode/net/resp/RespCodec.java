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
import io.netty.handler.codec.redis.FixedRedisMessagePool;
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

/** RESP2 on a channel: Netty's codec within this protocol's bounds, and helpers for messages. */
public final class RespCodec {
  /** Longest value that is buffered. */
  public static final int MAX_VALUE_BYTES = 64 * 1024;

  /** Longest value that is passed on in chunks. */
  public static final int MAX_LONG_VALUE_BYTES = 4 << 20;

  /** Elements of an endpoint's response: the value, the usage figures, the load report. */
  public static final int RESPONSE_ELEMENTS = 3;

  private static final int MAX_LINE_BYTES = 4096;
  private static final int MAX_ARRAY_DEPTH = 4;

  /** Length of a null array or null bulk string, as in {@code $-1\r\n}. */
  private static final int NULL_BYTES = 5;

  /** Type byte and line end of a line. */
  private static final int LINE_OVERHEAD_BYTES = 3;

  /** Type byte and two line ends of a bulk string. */
  private static final int BULK_STRING_OVERHEAD_BYTES = 5;

  private RespCodec() {}

  /**
   * Adds the codec to a pipeline, which then reads and writes complete {@link RedisMessage}s. A
   * message outside the bounds raises a {@link CodecException}.
   *
   * @param maxElements of an array; bounds what is buffered of one message
   * @return counts the bytes that are not decoded yet
   */
  public static UndecodedByteCounter addCodec(ChannelPipeline pipeline, int maxElements) {
    UndecodedByteCounter counter = new UndecodedByteCounter();
    pipeline.addLast(
        counter,
        new RedisDecoder(MAX_LINE_BYTES, FixedRedisMessagePool.INSTANCE),
        new LengthLimiter(),
        new RedisBulkStringAggregator(),
        new RedisArrayAggregator(maxElements, MAX_ARRAY_DEPTH),
        new RedisEncoder());
    return counter;
  }

  /**
   * Adds the codec for clients' commands: as {@link #addCodec}, but what comes of a command after
   * its first read is held in a buffer of its size, and decoded once the command is complete.
   */
  public static UndecodedByteCounter addCommandCodec(ChannelPipeline pipeline, int maxElements) {
    UndecodedByteCounter counter = addCodec(pipeline, maxElements);
    counter.partialMessage = new PartialMessageBuffer();
    return counter;
  }

  /**
   * Adds the codec for endpoints' responses: as {@link #addCodec}, but long values come in chunks,
   * see {@link LongValueDecoder}.
   */
  public static UndecodedByteCounter addResponseCodec(ChannelPipeline pipeline, int maxElements) {
    UndecodedByteCounter counter = addCodec(pipeline, maxElements);
    counter.longValueDecoder = new LongValueDecoder(counter, MAX_LONG_VALUE_BYTES);
    pipeline.addAfter(pipeline.context(RedisDecoder.class).name(), null, counter.longValueDecoder);
    return counter;
  }

  /**
   * Counts the bytes that have come and belong to no complete message yet. Netty's decoder does not
   * say whether it holds a part of a message.
   */
  public static final class UndecodedByteCounter extends ChannelInboundHandlerAdapter {
    private long pendingBytes;
    private long receivedBytes;
    private boolean isDiscarding;
    private LongValueDecoder longValueDecoder;

    /** Null where all that comes is decoded at once. */
    private PartialMessageBuffer partialMessage;

    /** The number of these bytes. */
    public long pendingBytes() {
      return pendingBytes;
    }

    /** All bytes that have been read from the channel. */
    public long receivedBytes() {
      return receivedBytes;
    }

    /** What comes from now on is not decoded, and so not buffered. */
    public void discardInput() {
      isDiscarding = true;
      releasePartialMessage();
    }

    private void releasePartialMessage() {
      if (partialMessage != null) {
        partialMessage.release();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ByteBuf bytes = (ByteBuf) msg;
      receivedBytes += bytes.readableBytes();
      if (isDiscarding) {
        bytes.release();
        return;
      }
      pendingBytes += bytes.readableBytes();
      if (partialMessage == null) {
        ctx.fireChannelRead(bytes);
        return;
      }
      ByteBuf decodable = partialMessage.isWaiting() ? partialMessage.add(bytes) : bytes;
      if (decodable != null) {
        decode(ctx, decodable);
      }
    }

    /** Decodes bytes, and scans what they hold of a message that is not complete. */
    private void decode(ChannelHandlerContext ctx, ByteBuf bytes) {
      int readBytes = bytes.readableBytes();
      int endIndex = bytes.writerIndex();
      bytes.retain();
      try {
        ctx.fireChannelRead(bytes);
        if (pendingBytes > 0 && pendingBytes <= readBytes && !isDiscarding) {
          int partBytes = (int) pendingBytes;
          partialMessage.messageBegun(bytes.slice(endIndex - partBytes, partBytes));
        }
      } finally {
        bytes.release();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      releasePartialMessage();
      ctx.fireChannelInactive();
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
      releasePartialMessage();
    }

    /**
     * A complete message has been read; to be called before the next one is read. A message that
     * was not sent in its shortest form leaves the count wrong for good; its connection is then
     * closed as if it had sent a partial message.
     */
    public void messageDecoded(RedisMessage message) {
      pendingBytes -= encodedLength(message);
      if (longValueDecoder != null) {
        longValueDecoder.messageDecoded();
      }
    }

    /** Bytes of a message were passed on before it was complete. */
    void consumed(int bytes) {
      pendingBytes -= bytes;
    }
  }

  /** Bytes of a message in its shortest form. */
  private static long encodedLength(RedisMessage message) {
    if (message instanceof ArrayRedisMessage array) {
      return array.isNull()
          ? NULL_BYTES
          : digits(array.children().size())
              + LINE_OVERHEAD_BYTES
              + array.children().stream().mapToLong(RespCodec::encodedLength).sum();
    }
    if (message instanceof FullBulkStringRedisMessage bulk) {
      int size = bulk.isNull() ? -1 : bulk.content().readableBytes();
      return size < 0 ? NULL_BYTES : digits(size) + BULK_STRING_OVERHEAD_BYTES + size;
    }
    if (message instanceof AbstractStringRedisMessage line) { // simple strings and errors
      return ByteBufUtil.utf8Bytes(line.content()) + LINE_OVERHEAD_BYTES;
    }
    return message instanceof IntegerRedisMessage number
        ? Long.toString(number.value()).length() + LINE_OVERHEAD_BYTES
        : 0;
  }

  private static int digits(int size) {
    return Integer.toString(size).length();
  }

  /** Guards against headers that announce huge values: Netty's own bound is 512 MB a value. */
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

  /** A new bulk string, for the caller to release. */
  public static FullBulkStringRedisMessage bulkString(ByteBufAllocator alloc, String text) {
    return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
  }

  /** A new command, an array of bulk strings, for the caller to release. */
  public static ArrayRedisMessage command(ByteBufAllocator alloc, String... arguments) {
    List<RedisMessage> elements = new ArrayList<>(arguments.length);
    for (String argument : arguments) {
      elements.add(bulkString(alloc, argument));
    }
    return new ArrayRedisMessage(elements);
  }

  /** The text of a bulk string; null where the message is null or of another type. */
  public static String textOf(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
        ? bulk.content().toString(StandardCharsets.UTF_8)
        : null;
  }

  /** Bytes of the value of a bulk string; 0 where the message is null or of another type. */
  public static int valueBytes(RedisMessage message) {
    return isBulkString(message)
        ? ((FullBulkStringRedisMessage) message).content().readableBytes()
        : 0;
  }

  /** Whether the message is a bulk string that is not null. */
  public static boolean isBulkString(RedisMessage message) {
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
  }
}
