package edgenode.simulation;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.emulator.AppServerEmulator;
import edgenode.emulator.CapacityModel;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.emulator.IdempotencyGroupModel;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.net.resp.RespCodec;
import edgenode.node.EdgeNode;
import edgenode.policy.PolicyEngine;
import edgenode.simulation.invariants.DrainInvariant;
import edgenode.simulation.invariants.Event;
import edgenode.simulation.invariants.InvariantChecker;
import edgenode.simulation.invariants.InvariantTerms;
import edgenode.simulation.invariants.SingleExecutionInvariant;
import edgenode.simulation.invariants.SingleResponseInvariant;
import edgenode.simulation.invariants.Violation;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalServerChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some seconds of one edge node in virtual time, all of whose moments are drawn from one seed:
 * clients that leave, ask behind each other, stop within a command or ask on to the end; servers
 * that die, come back, fall silent, drain or talk nonsense; connects that come up late; a watch
 * that stalls, discovery and counter that fall silent or move; SIGTERM. One in two clients that
 * leave is seen to have left late, as on a busy loop. It is judged by what passed on the sockets,
 * and by three rules of its own: no attempt, first or further, begins for a client that has left,
 * nothing taken is unanswered when the process ends, and nothing is when it may be killed.
 */
final class RaceScenarios {
  /** What is wrong on purpose, to see that it is found. */
  enum Planted {
    NOTHING,
    /** The node's process ends a fixed time after SIGTERM. */
    AN_EARLY_END,
    /** What is written on a new connection stays in a queue until it would have come up. */
    LEFT_QUEUED,
    /** Whether a client has left is known once that has been read, and not before. */
    ENDS_READ_LATE
  }

  /** A first attempt for a client that has left. */
  static final String GONE_FIRST = "gone-is-not-sent";

  /** A further one. */
  static final String GONE_FURTHER = "gone-is-not-sent-again";

  private static final AtomicLong WORLDS = new AtomicLong();
  private static final int SERVERS = 5;
  private static final int PORT = 7000;
  private static final double LENGTH = 5000;
  private static final double GRANTED = 700;

  /** Ends that are seen late are within this (ms): three times what the page allows. */
  private static final double SEEN_WITHIN = 300;

  private static final CapacityModel.Size SIZE = new CapacityModel.Size(2, 8, 16, 12, 0.3, 1500);
  private static final String CONFIG =
      """
        {"name":"n0","listen":"10.3.0.1:7000","discovery":"10.1.0.%d:7000","counter":"10.1.0.%d:7000","seed":"%x",
         "limits":{"sockets":256},
         "settings":{"rank":0,"group_size":%d,"tick":4,
          "limits":{"cancelling":%b,"parallel_tries":false,"retry_after":true,"send_cap":%d,"max_retry_after":500,
           "keepalive":%d,"connect_timeout":250},
          "family_info":{"shared_counter":true,"most_units":1,"count_limit":80},
          "contract":{"drain_grace":250,"cold_share":0.2,"warm_after":1500,"overload_factor":3,"overload_for":2000,
           "grace_to_answer":16},
          "request_classes":[{"name":"saldo","effect":"read_like","aim":300,"hard_limit":%d,"worth":1},
           {"name":"reserva","effect":"idempotency_key","group":"cell","aim":900,"hard_limit":%d,"worth":2,
            "repeat_window":%d},
           {"name":"cobro","effect":"non_idempotent","aim":240,"hard_limit":480,"worth":3}],
          "tariffs":[{"name":"todo","per_second":200,"depth":400,"price":1}]}}""";

  /**
   * Not DEAF: what is written to a deaf one comes when it reads again, whatever has become of it
   * meanwhile.
   */
  private static final List<AppServerEmulator.FaultMode> MOODS =
      List.of(
          AppServerEmulator.FaultMode.SILENT,
          AppServerEmulator.FaultMode.NOISE,
          AppServerEmulator.FaultMode.FAILING,
          AppServerEmulator.FaultMode.DRAINING);

  private static final String[] TYPES = {"saldo", "reserva", "cobro"};

  private final long seed;
  private final Planted planted;
  private final Random chance;
  private final VirtualLoop loop = new VirtualLoop();
  private final LocalTransport network = new LocalTransport("crossings" + WORLDS.incrementAndGet());
  private final NettyEdgeEventLoop shared = new NettyEdgeEventLoop(loop, network, loop, line -> {});
  private final List<InvariantChecker> judges;
  private final List<Violation> own = new ArrayList<>();
  private final List<String> story = new ArrayList<>();
  private final Map<String, Double> left = new HashMap<>();
  private final Set<String> sentOn = new HashSet<>();

  /** Addresses of clients that have closed and are not seen to have. */
  private final Set<SocketAddress> unseen = new HashSet<>();

  /** Its own, so that a seed's other moments stay as they are. */
  private final Random lateness;

  private final Set<Caller> callers = new LinkedHashSet<>();
  private final List<AppServerEmulator> servers = new ArrayList<>();
  private final boolean[] dead = new boolean[SERVERS];
  private final DiscoveryEmulator discovery;
  private final CounterEmulator counter;
  private final EdgeNode node;
  private final NodeConfig told;
  private final int keepAlive;
  private final int nodes;
  private final int attempts;
  private final boolean cancels;

  /**
   * Watches stall; else discovery falls silent. What a stalled watch has missed cannot be asked of
   * a silent one.
   */
  private final boolean stalls;

  private final int window;
  private final int[] deadlines;
  private boolean moved;
  private boolean over;
  private long ids;
  private int answered;
  private double began;

  RaceScenarios(long seed, Planted planted) throws IOException, InterruptedException {
    this.seed = seed;
    this.planted = planted;
    chance = new Random(seed * 0x9e3779b97f4a7c15L);
    lateness = new Random(~seed * 0x9e3779b97f4a7c15L);
    nodes = chance.nextBoolean() ? 2 : 12;
    cancels = chance.nextBoolean();
    stalls = chance.nextBoolean();
    attempts = 2 + chance.nextInt(4);
    keepAlive = chance.nextBoolean() ? 800 : 15_000;
    window = 400 + chance.nextInt(1200);
    deadlines = new int[] {400 + chance.nextInt(1500), 900 + chance.nextInt(2500), 480};
    told = configuration();
    InvariantTerms terms = new InvariantTerms(told.settings());
    judges =
        List.of(
            new SingleResponseInvariant(terms),
            new SingleExecutionInvariant(terms),
            new DrainInvariant(terms));
    Recorder recorder = new Recorder(this::see, this::day);
    discovery = new DiscoveryEmulator(shared, 0, recorder).start(at(1, 1));
    discovery.start(at(1, 3));
    counter =
        new CounterEmulator(shared, CounterEmulator.Limits.DEFAULT, new Trace()).start(at(1, 2));
    counter.start(at(1, 4));
    IdempotencyGroupModel[] racks = {
      new IdempotencyGroupModel("a", 0, window), new IdempotencyGroupModel("b", 1, window)
    };
    for (int index = 0; index < SERVERS; index++) {
      servers.add(
          new AppServerEmulator(
                  shared,
                  "s" + index,
                  racks[index % 2],
                  SIZE,
                  new AppServerEmulator.ConnectionOptions(64, keepAlive, 200, 0.1),
                  recorder,
                  seed * 31 + index)
              .start(at(2, index)));
      see(new Event.Born(0, "s" + index, index % 2, SIZE, false));
      discovery.set(servers.get(index).entry("active"));
    }
    node =
        new EdgeNode(
            told,
            PolicyEngine::new,
            null,
            new NettyEdgeEventLoop(loop, new Late(), loop, line -> {}));
  }

  private NodeConfig configuration() throws IOException {
    return NodeConfig.parse(
        JsonValue.parse(
            CONFIG.formatted(
                moved ? 3 : 1,
                moved ? 4 : 2,
                seed,
                nodes,
                cancels,
                attempts,
                keepAlive,
                deadlines[0],
                deadlines[1],
                window)),
        Map.of());
  }

  private static InetSocketAddress at(int net, int number) {
    return new InetSocketAddress("10." + net + ".0." + (net == 2 ? number + 1 : number), PORT);
  }

  private double day(double now) {
    return now - VirtualLoop.START - began;
  }

  private double now() {
    return day(loop.nowMs());
  }

  private void see(Event event) {
    if (event.at() >= 0) {
      story.add(String.format(Locale.ROOT, "%.1f %s", event.at(), event));
    }
    judges.forEach(j -> j.onEvent(event));
    if (event instanceof Event.Came came) {
      boolean first = sentOn.add(came.id());
      // the page allows 100 ms; on this network nothing takes time, so that each ms is the node's
      // own
      if (came.at() > left.getOrDefault(came.id(), Double.MAX_VALUE)) {
        breach(
            first ? GONE_FIRST : GONE_FURTHER,
            came.id(),
            String.format(
                Locale.ROOT,
                "sent to %s %.1f ms after its client left",
                came.server(),
                came.at() - left.get(came.id())));
      }
    }
  }

  private void breach(String rule, String id, String what) {
    own.add(new Violation(rule, now(), id, what));
  }

  // ---- the day ----

  /** Plays it; the breaches, in order of the judges. */
  List<Violation> play() {
    boolean silentStart = chance.nextInt(6) == 0;
    discovery.setSilent(silentStart);
    node.startAsync(part -> {});
    double until = 0;
    while (node.address() == null && until < 10_000) {
      until += 5;
      loop.runUntil(until);
      if (until > 1500) {
        discovery.setSilent(false);
      }
    }
    began = until;
    for (int index = 0; index < 120; index++) {
      shared.schedule(chance.nextDouble() * LENGTH, this::ask);
    }
    for (int index = 0; index < 14; index++) {
      shared.schedule(chance.nextDouble() * LENGTH, this::trouble);
    }
    double term = 1000 + chance.nextDouble() * (LENGTH - 1000);
    double killed =
        term
            + Math.min(3000, Math.max(deadlines[0], Math.max(deadlines[1], deadlines[2])))
            + GRANTED;
    for (int index = 0; index < 60; index++) { // clients go on on each connection that stays open
      shared.schedule(
          term + chance.nextDouble() * (killed - term),
          () ->
              callers.stream()
                  .filter(c -> c.up && !c.half && !c.asks.isEmpty())
                  .findFirst()
                  .ifPresent(Caller::ask));
    }
    shared.schedule(
        term,
        () -> {
          see(new Event.Done(now(), "SIGTERM"));
          node.shutdownAsync().thenRun(() -> ends("the process ended", Double.POSITIVE_INFINITY));
          if (planted == Planted.AN_EARLY_END) {
            shared.schedule(800, () -> ends("the process ended", Double.POSITIVE_INFINITY));
          }
        });
    shared.schedule(killed, () -> ends("SIGKILL", term + GRANTED));
    loop.runUntil(began + killed + 10);
    List<Violation> all = new ArrayList<>(own);
    judges.forEach(j -> all.addAll(j.violations(killed)));
    return all;
  }

  /**
   * What is taken and unanswered now is owed, but for what came before a moment and has its time
   * still.
   */
  private void ends(String how, double after) {
    if (over) {
      return;
    }
    over = true;
    for (Caller c : callers) {
      for (Caller.Ask ask : c.asks) {
        if (ask.at > after || after == Double.POSITIVE_INFINITY || ask.at + ask.patience < now()) {
          breach("nothing-owed-at-the-end", ask.id, how + " and its answer was owed");
        }
        see(new Event.GaveUp(now(), ask.id));
      }
      c.asks.clear();
      c.channel.close();
    }
  }

  int answered() {
    return answered;
  }

  List<String> story() {
    return story;
  }

  private void trouble() {
    int index = chance.nextInt(SERVERS);
    AppServerEmulator server = servers.get(index);
    double lasts = 50 + chance.nextDouble() * 1500;
    int kind = chance.nextInt(12);
    see(new Event.Done(now(), "trouble " + kind + " s" + index + " for " + Math.round(lasts)));
    switch (kind) {
      case 0, 1 -> {
        double back =
            kind == 0 ? lasts : 1; // at once: all connections are reset under their requests
        boolean hangs = lateness.nextBoolean(); // then many are
        if (hangs) {
          server.setFaultMode(AppServerEmulator.FaultMode.SILENT);
        }
        double dies = hangs ? 50 + lateness.nextDouble() * 300 : 0;
        shared.schedule(dies * lateness.nextDouble(), this::leaveTogether);
        shared.schedule(dies, () -> dies(index, back));
      }
      case 2, 3, 4, 5 -> {
        server.setFaultMode(MOODS.get(chance.nextInt(MOODS.size())));
        shared.schedule(lasts, () -> server.setFaultMode(AppServerEmulator.FaultMode.NORMAL));
      }
      case 6, 7 -> {
        discovery.set(server.entry("leaving"));
        shared.schedule(lasts, () -> discovery.set(server.entry(dead[index] ? "left" : "active")));
      }
      case 8 -> {
        discovery.setSilent(!stalls);
        shared.schedule(lasts, () -> discovery.setSilent(false));
      }
      case 9 -> {
        if (stalls) {
          discovery.stallWatches(chance.nextInt(200));
        }
      }
      case 10 -> {
        counter.setFaultMode(CounterEmulator.FaultMode.values()[1 + chance.nextInt(3)]);
        shared.schedule(lasts, () -> counter.setFaultMode(CounterEmulator.FaultMode.NORMAL));
      }
      default -> {
        moved = !moved;
        try {
          node.reload(configuration());
        } catch (IOException event) {
          throw new IllegalStateException(event);
        }
      }
    }
  }

  private void dies(int index, double back) {
    AppServerEmulator server = servers.get(index);
    if (!dead[index]) {
      dead[index] = true;
      server.crash();
      server.setFaultMode(AppServerEmulator.FaultMode.NORMAL);
      shared.schedule(
          back,
          () -> {
            dead[index] = false;
            server.restart(server.address());
            see(new Event.Born(now(), server.id(), index % 2, SIZE, true));
            discovery.set(server.entry("active"));
          });
    }
  }

  // ---- clients ----

  /** A burst of clients leaves, some of them while attempts of theirs are about to break. */
  private void leaveTogether() {
    if (lateness.nextBoolean()) {
      List.copyOf(callers).stream()
          .filter(c -> !c.asks.isEmpty() && lateness.nextBoolean())
          .forEach(Caller::leave);
    }
  }

  /** One more request, on a connection that stands or a new one; some leave, some stop half way. */
  private void ask() {
    List<Caller> standing = callers.stream().filter(c -> c.up && !c.half).toList();
    if (over) {
      return;
    }
    if (!standing.isEmpty() && chance.nextInt(3) > 0) {
      standing.get(chance.nextInt(standing.size())).ask();
      return;
    }
    new Caller().ask();
  }

  private final class Caller extends ChannelInboundHandlerAdapter {
    /** Asked on this connection and not answered. */
    private record Ask(String id, double at, double patience) {}

    private final ArrayDeque<Ask> asks = new ArrayDeque<>();
    private final ArrayDeque<Runnable> early = new ArrayDeque<>();
    private final Channel channel;
    private boolean up;
    private boolean half;
    private boolean away;

    Caller() {
      callers.add(this);
      channel =
          network
              .newClientBootstrap(shared.group(), 1000)
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                      RespCodec.addCodec(ch.pipeline(), 8);
                      ch.pipeline().addLast(Caller.this);
                    }
                  })
              .connect(network.toSocketAddress(at(3, 1)))
              .channel();
    }

    void ask() {
      if (!up) {
        early.add(this::ask);
        return;
      }
      int type = chance.nextInt(TYPES.length);
      String id = Long.toHexString(++ids);
      double wait = (0.5 + chance.nextDouble() / 2) * deadlines[type];
      String key = type == 1 ? ",k=" + id : "";
      String list =
          String.format(
              Locale.ROOT,
              "c=%s,t=todo,d=%d%s,units=1,spread=%d,first=0",
              TYPES[type],
              (long) wait,
              key,
              nodes);
      String text =
          "*4\r\n"
              + bulk(type == 0 ? "CALL.GET" : "CALL.POST")
              + bulk("00000000b4d6552" + ids % 8)
              + bulk(id)
              + bulk(list);
      int cut = chance.nextInt(8) == 0 ? 1 + chance.nextInt(text.length() - 1) : 0;
      if (cut == 0) {
        write(text, id, type, wait);
      } else {
        half = true; // the rest comes later, or never
        write(text.substring(0, cut));
        shared.schedule(
            chance.nextDouble() * 700,
            () -> {
              half = false;
              if (channel.isActive() && chance.nextInt(4) > 0 && !away) {
                write(text.substring(cut), id, type, wait);
              } else {
                leave();
              }
            });
      }
      if (chance.nextInt(4) == 0) {
        shared.schedule(chance.nextDouble() * wait * 0.8, this::leave);
      }
    }

    private static String bulk(String text) {
      return "$" + text.length() + "\r\n" + text + "\r\n";
    }

    private void write(String text) {
      channel.writeAndFlush(
          io.netty.buffer.Unpooled.copiedBuffer(text, java.nio.charset.StandardCharsets.US_ASCII));
    }

    private void write(String text, String id, int type, double wait) {
      // the time for which it waits for those before it does not count
      double patience =
          Math.max(
              (long) wait,
              asks.stream().mapToDouble(a -> a.at + a.patience - now()).max().orElse(0));
      asks.add(new Ask(id, now(), patience));
      see(
          new Event.Asked(
              now(),
              id,
              0,
              "00000000b4d6552" + ids % 8,
              "todo",
              TYPES[type],
              type == 1 ? id : null,
              patience,
              1));
      write(text);
      // where its time is over it has gone, as the judges want to know
      shared.schedule(
          patience + 150,
          () -> {
            if (asks.stream().anyMatch(a -> a.id.equals(id))) {
              leave();
            }
          });
    }

    /** The client closes its connection; what it had asked is wanted no more. */
    private void leave() {
      for (Ask ask : asks) {
        left.put(ask.id, now());
        see(new Event.GaveUp(now(), ask.id));
      }
      asks.clear();
      callers.remove(this);
      SocketAddress address = channel.localAddress();
      if (!away && channel.isActive() && lateness.nextBoolean()) {
        unseen.add(address);
        shared.schedule(
            lateness.nextDouble() * SEEN_WITHIN,
            () -> {
              channel.close();
              unseen.remove(address);
            });
      } else if (!away) {
        channel.close();
      }
      away = true;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      up = true;
      early.forEach(Runnable::run);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (away) {
        ReferenceCountUtil.release(msg);
        return;
      }
      Ask ask = asks.poll();
      RedisMessage message = (RedisMessage) msg;
      String text = RespCodec.isBulkString(message) ? RespCodec.textOf(message) : null;
      String line =
          message instanceof io.netty.handler.codec.redis.ErrorRedisMessage e ? e.content() : "";
      ReferenceCountUtil.release(msg);
      if (ask != null) {
        answered++;
        see(
            new Event.Heard(
                now(),
                ask.id,
                text != null
                    ? Event.Answer.VALUE
                    : line.startsWith("BUSY") ? Event.Answer.BUSY : Event.Answer.ERROR,
                text == null ? line : text));
      } else if (!half) {
        breach("one-answer-in-time", null, "an answer to nothing: " + text + line);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      nodeEnded();
    }

    /**
     * The node ends the connection. What crosses that, as it was written in this moment, is asked
     * elsewhere.
     */
    void nodeEnded() {
      up = false;
      callers.remove(this);
      for (Ask ask : asks) {
        see(
            over || ask.at == now()
                ? new Event.GaveUp(now(), ask.id)
                : new Event.Cut(now(), ask.id));
      }
      asks.clear();
      channel.close();
    }
  }

  // ---- the network to app servers ----

  /**
   * Channels of this process; a third of the connects to app servers come up late, some of them
   * never.
   */
  private final class Late implements Transport {
    @Override
    public Bootstrap newClientBootstrap(EventLoopGroup group, int withinMs) {
      return new Bootstrap()
          .group(group)
          .channelFactory(
              () -> {
                LocalChannel channel = new LocalChannel();
                channel.pipeline().addFirst(new Way(withinMs));
                return channel;
              })
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, withinMs);
    }

    @Override
    public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
      return new ServerBootstrap()
          .group(group)
          .channelFactory(
              () ->
                  new LocalServerChannel() {
                    @Override
                    protected LocalChannel newLocalChannel(LocalChannel peer) {
                      return new Half(this, peer);
                    }
                  });
    }

    /** The system knows of an end before the node has read it. */
    @Override
    public boolean isClosedByPeer(Channel connection) {
      return planted != Planted.ENDS_READ_LATE && unseen.contains(connection.remoteAddress());
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
      return network.toSocketAddress(address);
    }
  }

  /**
   * A client's connection at the node: the end of its output is seen by the client, as on sockets.
   */
  private final class Half extends LocalChannel implements DuplexChannel {
    private boolean ended;

    Half(LocalServerChannel parent, LocalChannel peer) {
      super(parent, peer);
    }

    @Override
    public ChannelFuture shutdownOutput() {
      return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
      ended = true;
      SocketAddress client = remoteAddress();
      // behind what was written before
      shared.execute(
          () ->
              List.copyOf(callers).stream()
                  .filter(
                      c ->
                          c.channel.localAddress() != null
                              && c.channel.localAddress().equals(client))
                  .forEach(Caller::nodeEnded));
      return promise.setSuccess();
    }

    @Override
    public boolean isOutputShutdown() {
      return ended;
    }

    @Override
    public boolean isInputShutdown() {
      return false;
    }

    @Override
    public boolean isShutdown() {
      return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
      return close();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
      return close(promise);
    }

    @Override
    public ChannelFuture shutdown() {
      return close();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
      return close(promise);
    }
  }

  private final class Way extends ChannelOutboundHandlerAdapter {
    private final int within;
    private final ArrayDeque<Runnable> queued = new ArrayDeque<>();
    private double openAt;

    Way(int within) {
      this.within = within;
    }

    @Override
    public void connect(
        ChannelHandlerContext ctx,
        SocketAddress remote,
        SocketAddress local,
        ChannelPromise promise) {
      boolean late = remote.toString().contains("/10.2.") && chance.nextInt(3) == 0;
      double delay = late ? chance.nextDouble() * 400 : 0;
      if (delay == 0 || planted == Planted.LEFT_QUEUED) {
        openAt = loop.nowMs() + delay;
        ctx.connect(remote, local, promise);
      } else if (delay < within) {
        shared.schedule(delay, () -> ctx.connect(remote, local, promise));
      } else {
        shared.schedule(
            within,
            () -> {
              promise.tryFailure(new ConnectTimeoutException("late"));
              ctx.close();
            });
      }
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      double wait = openAt - loop.nowMs();
      if (wait <= 0) {
        ctx.write(msg, promise);
        return;
      }
      promise.trySuccess(); // the node believes it written
      queued.add(() -> ctx.writeAndFlush(msg));
      shared.schedule(wait, () -> queued.poll().run());
    }
  }
}
