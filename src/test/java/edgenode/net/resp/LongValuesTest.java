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
 * Answers that come in pieces cut at any point: long values in parts, the others whole, and each
 * byte counted.
 */
class LongValuesTest {
  private static final int LONG = Resp.VALUE + 10;

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final Resp.Raw raw = Resp.answers(channel.pipeline(), 16);
  private final StringBuilder value = new StringBuilder();

  /** As a connection does: each message is told as whole before the next one is read. */
  @BeforeEach
  void connection() {
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object msg) {
                if (msg instanceof RedisMessage message) {
                  raw.whole(message);
                }
                ctx.fireChannelRead(msg);
              }
            });
  }

  /** What came, long values put together. */
  private List<String> read() {
    List<String> all = new ArrayList<>();
    for (Object o = channel.readInbound(); o != null; o = channel.readInbound()) {
      if (o instanceof LongValues.Begin begin) {
        all.add("begin " + begin.length());
      } else if (o instanceof LongValues.Part part) {
        value.append(part.bytes().toString(StandardCharsets.ISO_8859_1));
        part.bytes().release();
        if (part.last()) {
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
      text.append("*3\r\n$")
          .append(text.length())
          .append("\r\n"); // what looks like a message is none
    }
    text.setLength(length);
    return text.toString();
  }

  private static boolean inside(int at) {
    return at > 60 && at < LONG - 160;
  }

  /**
   * A long answer, a short one, an error and a long one, cut in two at every place where anything
   * begins or ends.
   */
  @Test
  void eachAnswerIsTheSameWhereverItIsCut() {
    String value = value(LONG);
    String whole =
        "*3\r\n$"
            + LONG
            + "\r\n"
            + value
            + "\r\n$1\r\n7\r\n$9\r\nutil=0.61\r\n"
            + "*3\r\n$5\r\nshort\r\n$-1\r\n$-1\r\n"
            + "-BUSY\r\n"
            + "*3\r\n$"
            + LONG
            + "\r\n"
            + value
            + "\r\n$-1\r\n*3\r\n$1\r\na\r\n$1\r\nb\r\n$1\r\nc\r\n";
    List<String> expected =
        List.of(
            "begin " + LONG,
            "value " + LONG + " " + value.hashCode(),
            "array 2",
            "array 3",
            "BUSY",
            "begin " + LONG,
            "value " + LONG + " " + value.hashCode(),
            "array 2");
    int cases = 0;
    int first = whole.indexOf(value);
    int second = whole.lastIndexOf(value);
    for (int cut = 1;
        cut < whole.length();
        cut += inside(cut - first) || inside(cut - second) ? 97 : 1) {
      channel.writeInbound(bytes(whole.substring(0, cut)));
      List<String> seen = read();
      channel.writeInbound(bytes(whole.substring(cut)));
      seen.addAll(read());
      assertEquals(expected, seen, "cut at " + cut);
      assertEquals(0, raw.pending(), "cut at " + cut);
      cases++;
    }
    assertTrue(cases > 1000, cases + " cuts");
  }

  @Test
  void bytesOfAHalfReadLongValueAreNotPending() {
    channel.writeInbound(bytes("*3\r\n$" + LONG + "\r\n" + value(1000)));
    assertEquals(List.of("begin " + LONG), read());
    assertEquals(0, raw.pending());
  }

  @Test
  void aValueThatIsSaidToBeEndlessIsMalformed() {
    assertThrows(
        CodecException.class,
        () -> channel.writeInbound(bytes("*3\r\n$" + (Resp.LONG_VALUE + 1) + "\r\n")));
  }

  /** Only the first of three is a value; a long one elsewhere is as malformed as ever. */
  @Test
  void aLongValueElsewhereIsMalformed() {
    assertThrows(
        CodecException.class,
        () -> channel.writeInbound(bytes("*3\r\n$1\r\na\r\n$" + LONG + "\r\n")));
  }
}
