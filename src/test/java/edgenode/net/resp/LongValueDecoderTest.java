package edgenode.net.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Responses whose bytes arrive in two parts, cut anywhere: long values, others, and byte counts.
 */
class LongValueDecoderTest {
  private static final int LONG_VALUE_BYTES = RespCodec.MAX_VALUE_BYTES + 10;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final RespCodec.UndecodedByteCounter undecodedBytes =
      RespCodec.addResponseCodec(channel.pipeline(), 16);
  private final StringBuilder value = new StringBuilder();

  /** As a connection does, reports each message as decoded before the next one is read. */
  @BeforeEach
  void addMessageReader() {
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object msg) {
                if (msg instanceof RedisMessage message) {
                  undecodedBytes.messageDecoded(message);
                }
                ctx.fireChannelRead(msg);
              }
            });
  }

  /** All that was decoded, with the chunks of long values put together. */
  private List<String> read() {
    List<String> all = new ArrayList<>();
    for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
      if (o instanceof LongValueDecoder.ValueStart begin) {
        all.add("begin " + begin.lengthBytes());
      } else if (o instanceof LongValueDecoder.ValueChunk part) {
        value.append(part.bytes().toString(StandardCharsets.ISO_8859_1));
        part.bytes().release();
        if (part.isLast()) {
          all.add("value " + value.length() + " " + value.toString().hashCode());
          value.setLength(0);
        }
      } else {
        all.add(
            o instanceof ArrayRedisMessage array
                ? "array " + array.children().size()
                : o instanceof ErrorRedisMessage error ? error.content() : o.toString());
        ReferenceCountUtil.release(o);
      }
    }
    return all;
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  private static String value(int length) {
    StringBuilder text = new StringBuilder();
    while (text.length() < length) {
      text.append("*3\r\n$").append(text.length()).append("\r\n"); // bytes that look like a message
    }
    text.setLength(length);
    return text.toString();
  }

  private static boolean isInsideLongValue(int at) {
    return at > 60 && at < LONG_VALUE_BYTES - 160;
  }

  /**
   * A long value, a short one, an error and a long value, cut in two at every place where an
   * element begins or ends.
   */
  @Test
  void responsesDecodeTheSameWhereverTheBytesAreCut() {
    String value = value(LONG_VALUE_BYTES);
    String whole =
        "*3\r\n$"
            + LONG_VALUE_BYTES
            + "\r\n"
            + value
            + "\r\n$1\r\n7\r\n$9\r\nutil=0.61\r\n"
            + "*3\r\n$5\r\nshort\r\n$-1\r\n$-1\r\n"
            + "-BUSY\r\n"
            + "*3\r\n$"
            + LONG_VALUE_BYTES
            + "\r\n"
            + value
            + "\r\n$-1\r\n*3\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n";
    List<String> expected =
        List.of(
            "begin " + LONG_VALUE_BYTES,
            "value " + LONG_VALUE_BYTES + " " + value.hashCode(),
            "array 2",
            "array 3",
            "BUSY",
            "begin " + LONG_VALUE_BYTES,
            "value " + LONG_VALUE_BYTES + " " + value.hashCode(),
            "array 2");
    int cases = 0;
    int first = whole.indexOf(value);
    int second = whole.lastIndexOf(value);
    for (int cut = 1;
        cut < whole.length();
        cut += isInsideLongValue(cut - first) || isInsideLongValue(cut - second) ? 97 : 1) {
      channel.writeInbound(bytes(whole.substring(0, cut)));
      List<String> seen = read();
      channel.writeInbound(bytes(whole.substring(cut)));
      seen.addAll(read());
      assertEquals(expected, seen, "cut at " + cut);
      assertEquals(0, undecodedBytes.pendingBytes(), "cut at " + cut);
      cases++;
    }
    assertTrue(cases > 1000, cases + " cuts");
  }

  @Test
  void bytesOfAPartlyReadLongValueAreNotPending() {
    channel.writeInbound(bytes("*3\r\n$" + LONG_VALUE_BYTES + "\r\n" + value(1000)));
    assertEquals(List.of("begin " + LONG_VALUE_BYTES), read());
    assertEquals(0, undecodedBytes.pendingBytes());
  }

  @Test
  void aValueOverTheLongLimitIsMalformed() {
    assertThrows(
        CodecException.class,
        () ->
            channel.writeInbound(bytes("*3\r\n$" + (RespCodec.MAX_LONG_VALUE_BYTES + 1) + "\r\n")));
  }

  /** Guards the limit of what is buffered: only the first element may be long. */
  @Test
  void aLongValueOutsideTheFirstElementIsMalformed() {
    assertThrows(
        CodecException.class,
        () -> channel.writeInbound(bytes("*3\r\n$1\r\na\r\n$" + LONG_VALUE_BYTES + "\r\n")));
  }
}
