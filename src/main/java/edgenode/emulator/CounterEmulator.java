package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.math.MathContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A stand-in for the shared counter, from the protocol page, on an event loop that is given: names
 * with a life, a bound of calls a second with a queue before it, answers in the order of the calls.
 * It can be full, fall silent, answer with noise, reset its connections, and start again empty. All
 * methods are for the loop's thread.
 */
public final class CounterEmulator {
  /** How it answers from now on. */
  public enum Mood {
    WELL,
    FULL,
    SILENT,
    NOISE
  }

  /**
   * @param perSecond calls that have their turn in a second
   * @param queue calls that wait for theirs; more are turned away
   * @param connections that it holds; one more is reset
   */
  public record Size(double perSecond, int queue, int connections) {
    public static final Size USUAL = new Size(1000, 200, 128);

    /** An edge node holds four, and four more while it moves to another address. */
    private static final int CONNECTIONS_A_NODE = 8;

    /** The usual one, with room for the connections of so many edge nodes. */
    public static Size of(int nodes) {
      return new Size(
          USUAL.perSecond, USUAL.queue, Math.max(USUAL.connections, CONNECTIONS_A_NODE * nodes));
    }

    public Size {
      if (!(perSecond > 0 && queue >= 0 && connections > 0)) {
        throw new IllegalArgumentException("a counter's size is out of range");
      }
    }
  }

  /** What passes on its sockets. */
  public interface Calls {
    void added(double now, String name, double amount, double total);
  }

  private static final int WORDS = 8;
  private static final int BACKLOG = 256;
  private static final int LONGEST_NAME = 64;
  private static final long LONGEST_LIFE = 60_000;
  private static final double MOST = 1e9;
  private static final double SWEEP = 1000;
  private static final Pattern NUMBER = Pattern.compile("-?[0-9]{1,10}(\\.[0-9]{1,9})?");
  private static final Pattern LIFE = Pattern.compile("[0-9]{1,12}");

  private static final class Total {
    double value;
    double until;
  }

  private record Turn(Call call, List<String> words) {}

  private final EdgeEventLoop loop;
  private final Size size;
  private final Calls calls;
  private final Map<String, Total> totals = new HashMap<>();
  private final ArrayDeque<Turn> queue = new ArrayDeque<>();
  private final Set<Peer> peers = new LinkedHashSet<>();
  private Channel listener;
  private InetSocketAddress address;
  private Mood mood = Mood.WELL;
  private double freeAt;
  private boolean turning;

  public CounterEmulator(EdgeEventLoop loop, Size size, Calls calls) {
    this.loop = loop;
    this.size = size;
    this.calls = calls;
  }

  /** Listens there; port 0 for any, where the kind of channel has such. */
  public CounterEmulator start(InetSocketAddress at) throws InterruptedException {
    ChannelFuture bound =
        loop.transport()
            .newServerBootstrap(loop.group(), BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    RespCodec.addCodec(channel.pipeline(), WORDS);
                    channel.pipeline().addLast(new Peer(channel));
                  }
                })
            .bind(loop.transport().toSocketAddress(at));
    address = at.getPort() == 0 ? (InetSocketAddress) bound.sync().channel().localAddress() : at;
    listener = bound.channel();
    loop.execute(() -> loop.schedule(SWEEP, this::sweep));
    return this;
  }

  public InetSocketAddress address() {
    return address;
  }

  // ---- faults ----

  public void mood(Mood now) {
    mood = now;
    turn();
  }

  /** All connections are reset; what was written may have been added. */
  public void reset() {
    for (Peer peer : peers.toArray(new Peer[0])) {
      peer.channel.config().setOption(ChannelOption.SO_LINGER, 0);
      peer.channel.close();
    }
  }

  /** Replaced by an empty one. */
  public void restart() {
    totals.clear();
    queue.clear();
    reset();
  }

  public void close() {
    listener.close();
    reset();
  }

  // ---- calls ----

  private void sweep() {
    loop.schedule(SWEEP, this::sweep);
    totals.values().removeIf(t -> t.until <= loop.nowMs());
  }

  /** One call in each 1/perSecond: the one that has waited longest. */
  private void turn() {
    if (turning || queue.isEmpty() || mood == Mood.SILENT) {
      return;
    }
    double wait = freeAt - loop.nowMs();
    if (wait > 0) {
      turning = true;
      loop.schedule(
          wait,
          () -> {
            turning = false;
            turn();
          });
      return;
    }
    freeAt = Math.max(freeAt, loop.nowMs() - 1000 / size.perSecond) + 1000 / size.perSecond;
    Turn turn = queue.poll();
    turn.call.answer(add(turn.words));
    turn();
  }

  private RedisMessage add(List<String> words) {
    String name = words.get(1);
    double amount = Double.parseDouble(words.get(2));
    long life = Math.min(LONGEST_LIFE, Long.parseLong(words.get(3)));
    Total total = totals.get(name);
    if (total == null || total.until <= loop.nowMs()) {
      total = new Total();
      total.until = loop.nowMs() + life;
      totals.put(name, total);
    }
    total.value += amount;
    calls.added(loop.nowMs(), name, amount, total.value);
    String text =
        new BigDecimal(total.value, new MathContext(12)).stripTrailingZeros().toPlainString();
    return RespCodec.bulkString(Unpooled.EMPTY_BUFFER.alloc(), text);
  }

  private static boolean wellFormed(List<String> words) {
    return words.size() == 4
        && !words.get(1).isEmpty()
        && words.get(1).getBytes(StandardCharsets.UTF_8).length <= LONGEST_NAME
        && NUMBER.matcher(words.get(2)).matches()
        && Math.abs(Double.parseDouble(words.get(2))) <= MOST
        && LIFE.matcher(words.get(3)).matches()
        && Long.parseLong(words.get(3)) >= 1;
  }

  /** One call's place on its connection. */
  private static final class Call {
    private final Peer peer;
    private RedisMessage message;

    Call(Peer peer) {
      this.peer = peer;
    }

    void answer(RedisMessage with) {
      if (!peer.channel.isActive()) {
        ReferenceCountUtil.release(with);
        return;
      }
      message = with;
      peer.drain();
    }
  }

  private final class Peer extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<Call> open = new ArrayDeque<>();

    Peer(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      peers.add(this);
      if (peers.size() > size.connections) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      peers.remove(this);
      open.forEach(c -> ReferenceCountUtil.release(c.message));
      open.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Call call = new Call(this);
      open.add(call);
      try {
        List<String> words = new ArrayList<>();
        if (msg instanceof ArrayRedisMessage command && !command.isNull()) {
          command.children().forEach(part -> words.add(String.valueOf(RespCodec.textOf(part))));
        }
        command(call, words);
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void command(Call call, List<String> words) {
      String verb = words.isEmpty() ? "" : words.get(0);
      if (mood == Mood.NOISE) {
        call.answer(new SimpleStringRedisMessage("noise"));
        return;
      }
      switch (verb) {
        case "PING" -> {
          if (mood != Mood.SILENT) {
            call.answer(new SimpleStringRedisMessage("PONG"));
          }
        }
        case "CLIENT", "SELECT" -> call.answer(new SimpleStringRedisMessage("OK"));
        case "CNT.ADD" -> {
          if (!wellFormed(words)) {
            call.answer(new ErrorRedisMessage("ERR no such call"));
          } else if (mood == Mood.FULL || queue.size() >= size.queue) {
            call.answer(new ErrorRedisMessage("BUSY"));
          } else {
            queue.add(new Turn(call, words));
            turn();
          }
        }
        default -> call.answer(new ErrorRedisMessage("ERR no such call"));
      }
    }

    private void drain() {
      boolean wrote = false;
      while (!open.isEmpty() && open.peek().message != null) {
        channel.write(open.poll().message);
        wrote = true;
      }
      if (wrote) {
        channel.flush();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
