package edgenode.net.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Commands whose bytes arrive in pieces, cut anywhere: each is decoded once, as it was sent. */
class PartialCommandProperties {
  private static final int MAX_ELEMENTS = 16;
  private static final int MAX_TEST_VALUE_CHARS = 300;

  /** What a message is, as text. */
  private static String describe(RedisMessage message) {
    if (message instanceof ArrayRedisMessage array) {
      StringBuilder text = new StringBuilder("[");
      array.children().forEach(child -> text.append(describe(child)).append(','));
      return text.append(']').toString();
    }
    return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
        ? bulk.content().toString(StandardCharsets.ISO_8859_1)
        : message.getClass().getSimpleName();
  }

  private static String randomMessage(Random random, int depth) {
    return switch (random.nextInt(depth > 0 ? 6 : 5)) {
      case 0 -> "+simple\r\n";
      case 1 -> ":" + (random.nextInt(200) - 100) + "\r\n";
      case 2 -> "$-1\r\n";
      case 3, 4 -> {
        String value = "\r\n$*x5".repeat(50).substring(0, random.nextInt(MAX_TEST_VALUE_CHARS));
        yield "$" + value.length() + "\r\n" + value + "\r\n";
      }
      default -> {
        int elements = random.nextInt(4);
        StringBuilder text = new StringBuilder("*" + elements + "\r\n");
        for (int i = 0; i < elements; i++) {
          text.append(randomMessage(random, depth - 1));
        }
        yield text.toString();
      }
    };
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  /** The scanner finds the end of a message at its last byte, and not before. */
  @Property(tries = 500, seed = "1")
  void messageEndsAtItsLastByte(@ForAll long seed) {
    Random random = new Random(seed);
    String message = randomMessage(random, 3);
    RespMessageScanner scanner = new RespMessageScanner();
    for (int at = 0; at < message.length(); ) {
      int to = Math.min(message.length(), at + 1 + random.nextInt(40));
      RespMessageScanner.State expected =
          to < message.length()
              ? RespMessageScanner.State.INCOMPLETE
              : RespMessageScanner.State.COMPLETE;
      assertEquals(expected, scanner.scan(bytes(message.substring(at, to))), message);
      at = to;
    }
  }

  /** The codec that holds partial commands decodes the same as the one that does not. */
  @Property(tries = 500, seed = "2")
  void commandsInPiecesAreDecodedAsSent(@ForAll long seed) {
    Random random = new Random(seed);
    StringBuilder text = new StringBuilder();
    for (int i = random.nextInt(6); i >= 0; i--) {
      text.append(randomMessage(random, 2));
    }
    String input = text.toString();
    List<String> whole = decode(input, new Random(0), input.length());
    assertEquals(whole, decode(input, random, 1 + random.nextInt(60)), input);
  }

  private static List<String> decode(String input, Random random, int maxPieceChars) {
    EmbeddedChannel channel = new EmbeddedChannel();
    RespCodec.UndecodedByteCounter counter =
        RespCodec.addCommandCodec(channel.pipeline(), MAX_ELEMENTS);
    List<String> decoded = new ArrayList<>();
    channel
        .pipeline()
        .addLast(
            new ChannelInboundHandlerAdapter() {
              @Override
              public void channelRead(ChannelHandlerContext ctx, Object msg) {
                counter.messageDecoded((RedisMessage) msg);
                decoded.add(describe((RedisMessage) msg));
                ReferenceCountUtil.release(msg);
              }
            });
    for (int at = 0; at < input.length(); ) {
      int to = Math.min(input.length(), at + maxPieceChars - random.nextInt(maxPieceChars));
      channel.writeInbound(bytes(input.substring(at, to)));
      at = to;
    }
    assertEquals(0, counter.pendingBytes());
    channel.finishAndReleaseAll();
    return decoded;
  }
}
