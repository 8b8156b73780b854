package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * A stand-in for an app server, from the protocol page, on an event loop that is given: its {@link
 * * * Capacity}, repeats dropped in its {@link IdempotencyGroupModel}, load reports that are late
 * and noisy, a bound of connections and idle ones closed. It can die and come back cold, vanish,
 * stall, lose cores, answer with noise, stop reading and fall silent. All methods are for the
 * loop's thread.
 */
public final class AppServerEmulator {
  /** How it answers from now on. */
  public enum Mood {
    /** As it should. */
    WELL,
    /** Takes what comes and never answers. */
    SILENT,
    /** Reads nothing more. */
    DEAF,
    /** Answers with bytes that are no message. */
    NOISE,
    /** Fails everything that it has run. */
    FAILING,
    /** Finishes what it has, turns away the rest. */
    DRAINING
  }

  /**
   * @param connections that it holds; one more is closed as it comes
   * @param idleMs after which one that rests is closed
   * @param reportEveryMs how old a load report may be
   * @param noise by what share (0 to 1) a report's figures may be off
   */
  public record Habits(int connections, double idleMs, double reportEveryMs, double noise) {
    public static final Habits USUAL = new Habits(64, 15_000, 200, 0.1);
  }

  private static final int WORDS = 8;
  private static final int BACKLOG = 256;
  private static final double SWEEP = 500;

  private final EdgeEventLoop loop;
  private final String id;
  private final IdempotencyGroupModel rack;
  private final CapacityModel.Size size;
  private final Habits habits;
  private final Effects effects;
  private final Random random;
  private final Set<Peer> peers = new LinkedHashSet<>();
  private InetSocketAddress address;
  private Channel listener;
  private CapacityModel capacity;
  private Mood mood = Mood.WELL;
  private double bornAt;
  private Future<?> timer;
  private double timerAt = Double.POSITIVE_INFINITY;
  private String report = "";
  private double reportedAt = Double.NEGATIVE_INFINITY;
  private long lives;

  public AppServerEmulator(
      EdgeEventLoop loop,
      String id,
      IdempotencyGroupModel rack,
      CapacityModel.Size size,
      Habits habits,
      Effects effects,
      long seed) {
    this.loop = loop;
    this.id = id;
    this.rack = rack;
    this.size = size;
    this.habits = habits;
    this.effects = effects;
    random = new Random(seed);
  }

  /** Starts long warm and listens there; port 0 for any, where the kind of channel has such. */
  public AppServerEmulator start(InetSocketAddress at) throws InterruptedException {
    capacity = new CapacityModel(size, random.nextLong(), loop.nowMs(), Double.NEGATIVE_INFINITY);
    address = at;
    ChannelFuture bound = bind(at);
    if (at.getPort() == 0) {
      address = (InetSocketAddress) bound.sync().channel().localAddress();
    }
    listener = bound.channel();
    loop.execute(() -> loop.schedule(SWEEP, this::sweep));
    return this;
  }

  private ChannelFuture bind(InetSocketAddress at) {
    return loop.transport()
        .newServerBootstrap(loop.group(), BACKLOG)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                Peer peer = new Peer(channel);
                channel.pipeline().addLast(peer.first);
                RespCodec.addCodec(channel.pipeline(), WORDS);
                channel.pipeline().addLast(peer);
              }
            })
        .bind(loop.transport().toSocketAddress(at));
  }

  public String id() {
    return id;
  }

  public InetSocketAddress address() {
    return address;
  }

  /** As a list names it, with this health. */
  public DiscoveryAgentEmulator.Host entry(String health) {
    return new DiscoveryAgentEmulator.Host(
        id,
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        health,
        bornAt,
        rack.site(),
        rack.block());
  }

  public IdempotencyGroupModel rack() {
    return rack;
  }

  // ---- faults ----

  public void mood(Mood now) {
    mood = now;
    for (Peer peer : peers) {
      peer.channel.config().setAutoRead(now != Mood.DEAF);
    }
  }

  /** A neighbour takes this share of its cores, 0 to below 1. */
  public void neighbour(double share) {
    capacity.neighbour(loop.nowMs(), share);
    arm();
  }

  /**
   * The process dies: connections are reset, what ran in it may have had its effect, new ones are
   * refused.
   */
  public void die() {
    lives++;
    listener.close();
    for (Peer peer : peers.toArray(new Peer[0])) {
      peer.channel.config().setOption(ChannelOption.SO_LINGER, 0);
      peer.channel.close();
    }
    capacity = new CapacityModel(size, random.nextLong(), loop.nowMs(), loop.nowMs());
    timerAt = Double.POSITIVE_INFINITY;
  }

  /** It starts again, cold, at its address or another. */
  public void back(InetSocketAddress at) {
    bornAt = loop.nowMs();
    mood = Mood.WELL;
    capacity = new CapacityModel(size, random.nextLong(), bornAt, bornAt);
    address = at;
    bind(at)
        .addListener(
            (ChannelFuture f) -> {
              if (f.isSuccess()) {
                listener = f.channel();
              } else {
                loop.logLine(
                    "stand-in " + id + " cannot listen at " + at + ": " + f.cause().getMessage());
              }
            });
  }

  // ---- work ----

  private void sweep() {
    loop.schedule(SWEEP, this::sweep);
    for (Peer peer : peers.toArray(new Peer[0])) {
      if (peer.open.isEmpty() && loop.nowMs() - peer.usedAt > habits.idleMs) {
        peer.channel.close();
      }
    }
  }

  /** One timer for what ends next. */
  private void arm() {
    double at = capacity.next();
    if (at >= timerAt) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    timerAt = at;
    long life = lives;
    timer =
        loop.schedule(
            Math.max(0, at - loop.nowMs()),
            () -> {
              if (life == lives) {
                timerAt = Double.POSITIVE_INFINITY;
                finish();
              }
            });
  }

  private void finish() {
    for (CapacityModel.Job job : capacity.done(loop.nowMs())) {
      Ask ask = (Ask) job.what;
      if (mood == Mood.FAILING) {
        ask.answer("ERR", new ErrorRedisMessage("ERR failed"));
      } else {
        ask.answer("value", value(ask));
      }
    }
    arm();
  }

  private RedisMessage value(Ask ask) {
    List<RedisMessage> parts = new ArrayList<>(3);
    Channel channel = ask.peer.channel;
    parts.add(RespCodec.bulkString(channel.alloc(), "ok " + ask.requestId + " by " + id));
    parts.add(FullBulkStringRedisMessage.NULL_INSTANCE);
    parts.add(RespCodec.bulkString(channel.alloc(), report()));
    return new ArrayRedisMessage(parts);
  }

  /** Late and noisy, as real ones. */
  private String report() {
    if (loop.nowMs() - reportedAt >= habits.reportEveryMs) {
      reportedAt = loop.nowMs();
      report =
          "inflight="
              + noisy(capacity.running())
              + ",queue="
              + noisy(capacity.waiting())
              + ",util="
              + noisy(100 * capacity.utilization()) / 100.0;
    }
    return report;
  }

  private long noisy(double figure) {
    return Math.max(0, Math.round(figure * (1 + habits.noise * (2 * random.nextDouble() - 1))));
  }

  /** One command, until its answer is written: answers go in the order of the commands. */
  private final class Ask {
    private final Peer peer;
    private final String requestId;
    private final long life = lives;
    private RedisMessage message;

    Ask(Peer peer, String requestId) {
      this.peer = peer;
      this.requestId = requestId;
    }

    void answer(String kind, RedisMessage with) {
      if (life != lives || mood == Mood.SILENT || !peer.channel.isActive()) {
        ReferenceCountUtil.release(with);
        return;
      }
      if (requestId != null) {
        effects.answered(loop.nowMs(), id, requestId, kind);
      }
      message = with;
      peer.drain();
    }
  }

  private final class Peer extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<Ask> open = new ArrayDeque<>();
    private final First first = new First();
    private double usedAt = loop.nowMs();

    Peer(Channel channel) {
      this.channel = channel;
    }

    /** Ahead of the codec: when the first byte of a command came. */
    private final class First extends ChannelInboundHandlerAdapter {
      private boolean begun;

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!begun && ((ByteBuf) msg).isReadable()) {
          begun = true;
          effects.began(loop.nowMs(), id);
        }
        ctx.fireChannelRead(msg);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (peers.size() >= habits.connections) {
        ctx.close();
        return;
      }
      peers.add(this);
      channel.config().setAutoRead(mood != Mood.DEAF);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      peers.remove(this);
      open.forEach(ask -> ReferenceCountUtil.release(ask.message));
      open.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      first.begun = false;
      usedAt = loop.nowMs();
      try {
        if (msg instanceof ArrayRedisMessage command
            && !command.isNull()
            && !command.children().isEmpty()) {
          List<String> words = new ArrayList<>();
          command.children().forEach(part -> words.add(String.valueOf(RespCodec.textOf(part))));
          command(words);
        } else {
          effects.malformed(loop.nowMs(), id, "no command");
          ctx.close();
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void command(List<String> words) {
      String verb = words.get(0);
      if (mood == Mood.NOISE) {
        channel
            .writeAndFlush(RespCodec.bulkString(channel.alloc(), "\u0001noise"))
            .addListener(f -> channel.close());
        return;
      }
      if (verb.equals("CALL.GET") || verb.equals("CALL.POST")) {
        call(words);
        return;
      }
      Ask ask = new Ask(this, null);
      open.add(ask);
      switch (verb) {
        case "PING" -> ask.answer("", new SimpleStringRedisMessage("PONG"));
        case "INFO" -> ask.answer("", RespCodec.bulkString(channel.alloc(), report()));
        case "CLIENT", "SELECT" -> ask.answer("", new SimpleStringRedisMessage("OK"));
        default -> ask.answer("", new ErrorRedisMessage("ERR unknown command"));
      }
    }

    private void call(List<String> words) {
      if (words.size() < 4 || words.size() > 5) {
        effects.malformed(loop.nowMs(), id, String.join(" ", words));
        Ask ask = new Ask(this, null);
        open.add(ask);
        ask.answer("", new ErrorRedisMessage("SYNTAX"));
        return;
      }
      String customer = words.get(1);
      String key = value(words.get(3), "k");
      Ask ask = new Ask(this, words.get(2));
      open.add(ask);
      boolean full = mood == Mood.DRAINING;
      CapacityModel.Job job = full ? null : capacity.offer(loop.nowMs(), ask);
      boolean repeat = job != null && key != null && rack.repeated(loop.nowMs(), customer, key);
      effects.came(
          loop.nowMs(),
          id,
          words.get(0),
          customer,
          words.get(2),
          words.get(3),
          key,
          job != null && !repeat);
      if (job == null) {
        ask.answer("BUSY", new ErrorRedisMessage("BUSY"));
      }
      arm();
    }

    private void drain() {
      boolean wrote = false;
      while (!open.isEmpty() && open.peek().message != null) {
        channel.write(open.poll().message);
        wrote = true;
      }
      if (wrote) {
        usedAt = loop.nowMs();
        channel.flush();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        effects.malformed(loop.nowMs(), id, String.valueOf(cause.getMessage()));
      }
      ctx.close();
    }
  }

  /** The value of a name in a list of names and values, or null. */
  public static String value(String list, String name) {
    for (String pair : list.split(",")) {
      if (pair.startsWith(name)
          && pair.length() > name.length()
          && pair.charAt(name.length()) == '=') {
        return pair.substring(name.length() + 1);
      }
    }
    return null;
  }
}
