package willowyoke.net;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.BulkStringHeaderRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisArrayAggregator;
import io.netty.handler.codec.redis.RedisBulkStringAggregator;
import io.netty.handler.codec.redis.RedisDecoder;
import io.netty.handler.codec.redis.RedisEncoder;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** RESP2 on a channel: the library's codec, held within this protocol's bounds. */
final class Resp {
    /** The most that one value holds; the lists of names and values and inline answers are far shorter. */
    static final int VALUE = 64 * 1024;
    private static final int LINE = 4096;
    private static final int DEPTH = 4;

    private Resp() { }

    /** Adds the codec: whole messages in, messages out; the largest array told bounds what is kept of one. */
    static void codec(ChannelPipeline pipeline, int mostElements) {
        pipeline.addLast(new RedisDecoder(LINE, io.netty.handler.codec.redis.FixedRedisMessagePool.INSTANCE),
            new Bounds(), new RedisBulkStringAggregator(), new RedisArrayAggregator(mostElements, DEPTH),
            new RedisEncoder());
    }

    /** Guards against headers that announce gigabytes: the library's own bound is 512 MB a value. */
    private static final class Bounds extends ChannelInboundHandlerAdapter {
        @Override public void channelRead(ChannelHandlerContext ctx, Object msg) {
            if (msg instanceof BulkStringHeaderRedisMessage header && header.bulkStringLength() > VALUE) {
                throw new CodecException("a value of more than " + VALUE);
            }
            ctx.fireChannelRead(msg);
        }
    }

    static FullBulkStringRedisMessage bulk(ByteBufAllocator alloc, String text) {
        return new FullBulkStringRedisMessage(ByteBufUtil.writeUtf8(alloc, text));
    }

    static ArrayRedisMessage command(ByteBufAllocator alloc, String... words) {
        List<RedisMessage> parts = new ArrayList<>(words.length);
        for (String word : words) {
            parts.add(bulk(alloc, word));
        }
        return new ArrayRedisMessage(parts);
    }

    /** The text of a bulk string, or null where the message is none. */
    static String text(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull()
            ? bulk.content().toString(StandardCharsets.UTF_8) : null;
    }

    static boolean isValue(RedisMessage message) {
        return message instanceof FullBulkStringRedisMessage bulk && !bulk.isNull();
    }
}
