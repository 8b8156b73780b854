package edgenode.benchmark;

import edgenode.config.ConfigFileWatcher;
import edgenode.config.NodeConfig;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.MembershipLimits;
import edgenode.net.counter.CounterClient;
import edgenode.net.discovery.EndpointListJson;
import edgenode.net.discovery.MembershipListener;
import edgenode.net.discovery.MembershipService;
import edgenode.net.downstream.ClientListener;
import edgenode.net.downstream.RequestHandler;
import edgenode.net.downstream.ResponseSlot;
import edgenode.net.resp.RespCodec;
import edgenode.policy.CallOutcome;
import edgenode.policy.PolicySettings;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * What passes on the wire, in its real forms, and what it takes to read it; sockets on loopback.
 */
final class Wires {
  private static final int REPEATS = 3;
  private static final double WARM = 18_000;

  /** A list that has not been read after so long (s) will not be. */
  private static final int START = 12;

  private static final int QUIET_MS = 3000;
  private static final int COUNTER_MS = 1500;

  /**
   * Calls that all nodes have out at a time: so many more would wait for longer than a line may owe
   * an answer.
   */
  private static final int OUT = 100;

  private static final double RECONNECT_MS = 100;

  /**
   * On a busy machine a line ends now and then; with more of them failed than this part it is no
   * measurement.
   */
  private static final double MOST_FAILED = 0.05;

  /**
   * Calls a second, so many that no time lies between two: with less the stand-in sets a timer for
   * each.
   */
  private static final double UNBOUNDED = 1e300;

  private static final int[] FRONT = {50, 200, 800};
  private static final int PINGS = 4000;
  private static final int[] CLIENTS = {1, 10, 100};

  private Wires() {}

  // ---- forms ----

  static void forms(Run run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.slope(
        "a whole list",
        "B",
        "servers",
        sizes,
        n -> Meter.value(n, 1, () -> Cores.list(n, 1, true).length()));
    run.slope(
        "a watch's line, so many changes",
        "B",
        "changes",
        new int[] {1, 10, 100, 1000},
        n -> Meter.value(n, 1, () -> chunk(Cores.list(n, 1_000_000, false))));
    run.slope(
        "calls of the counter",
        "B",
        "calls",
        new int[] {1, 10, 100, 1000},
        n -> Meter.value(n, 1, () -> calls(n, false)));
    run.slope(
        "answers of the counter",
        "B",
        "answers",
        new int[] {1, 10, 100, 1000},
        n -> Meter.value(n, 1, () -> calls(n, true)));
  }

  /** RFC 9112, 7.1. */
  private static int chunk(String line) {
    return Integer.toHexString(line.length()).length() + 2 + line.length() + 2;
  }

  /** Names are 63 bits, amounts small, totals those of some seconds at some requests a second. */
  private static int calls(int n, boolean answers) {
    EmbeddedChannel channel = new EmbeddedChannel();
    RespCodec.addCodec(channel.pipeline(), 4);
    ByteBufAllocator alloc = channel.alloc();
    int bytes = 0;
    long name = 1;
    for (int i = 0; i < n; i++) {
      name = name * 6364136223846793005L + 1442695040888963407L; // Knuth's MMIX
      channel.writeOutbound(
          answers
              ? RespCodec.bulkString(alloc, Integer.toString(i % 900 + 100))
              : RespCodec.command(
                  alloc,
                  "CNT.ADD",
                  Long.toString(name >>> 1),
                  Integer.toString(i % 9 + 1),
                  "60000"));
      for (ByteBuf out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
        bytes += out.readableBytes();
        out.release();
      }
    }
    channel.finishAndReleaseAll();
    return bytes;
  }

  // ---- a start ----

  static void start(Run run) throws InterruptedException {
    run.slope(
        "parsing a whole list",
        "us",
        "servers",
        run.sizes().servers(),
        n -> {
          byte[] text = Cores.list(n, 1, true).getBytes(StandardCharsets.US_ASCII);
          return run.meter()
              .time(
                  n,
                  times -> {
                    for (int k = 0; k < times; k++) {
                      if (parse(text) != n) {
                        throw new IllegalStateException("entries are missing");
                      }
                    }
                  });
        });
  }

  private static int parse(byte[] text) {
    try {
      return EndpointListJson.parse(text, text.length, bad -> {}).endpoints().size();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- discovery on loopback ----

  private static final class Looked implements MembershipListener {
    @Override
    public void endpointsChanged(List<DiscoveredEndpoint> entries, boolean whole) {}

    @Override
    public void discoveryFailed() {}

    @Override
    public void discoveryRefused() {}

    @Override
    public void probeEndpoint(String id) {}
  }

  /** One node at an agent, from its start through some seconds in which nothing changes. */
  record Quiet(double startMs, double startCpuMs, double requests, double bytes, double cpuMs) {}

  static void discovery(Run run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    List<List<Quiet>> all = new ArrayList<>();
    run.slope(
        "start: CPU until the list is known",
        "ms",
        "servers",
        sizes,
        n -> {
          List<Quiet> of = new ArrayList<>();
          for (int i = 0; i < REPEATS; i++) {
            of.add(quiet(n));
          }
          all.add(of);
          return each(n, of.stream().mapToDouble(Quiet::startCpuMs).toArray());
        });
    int[] read = IntStream.range(0, all.size()).toArray();
    if (read.length == 0) {
      return;
    }
    int[] at = Arrays.copyOf(sizes, read.length);
    run.slope(
        "quiet: requests to discovery a second",
        "1/s",
        "servers",
        at,
        n -> each(n, of(all, at, n).stream().mapToDouble(Quiet::requests).toArray()));
    run.slope(
        "quiet: bytes of answers a second",
        "B/s",
        "servers",
        at,
        n -> each(n, of(all, at, n).stream().mapToDouble(Quiet::bytes).toArray()));
    run.slope(
        "quiet: CPU of the loop a second",
        "ms/s",
        "servers",
        at,
        n -> each(n, of(all, at, n).stream().mapToDouble(Quiet::cpuMs).toArray()));
  }

  private static Slope.Point each(int n, double[] values) {
    return Meter.point(n, values);
  }

  private static List<Quiet> of(List<List<Quiet>> all, int[] at, int n) {
    return all.get(IntStream.range(0, at.length).filter(i -> at[i] == n).findFirst().orElseThrow());
  }

  private static long thread(NettyEdgeEventLoop loop) throws InterruptedException {
    AtomicLong id = new AtomicLong();
    CountDownLatch told = new CountDownLatch(1);
    loop.execute(
        () -> {
          id.set(Thread.currentThread().getId());
          told.countDown();
        });
    told.await();
    return id.get();
  }

  private static double cpuMs(long thread) {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread) / 1e6;
  }

  private static Quiet quiet(int n) throws IOException, InterruptedException {
    List<DiscoveryAgentEmulator.Host> hosts = IntStream.range(0, n).mapToObj(Cores::host).toList();
    NettyEdgeEventLoop loop = NettyEdgeEventLoop.create();
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(1)) {
      agent.restart(1, hosts);
      long thread = thread(loop);
      double from = cpuMs(thread);
      long began = System.nanoTime();
      String[] at = agent.address().split(":");
      MembershipService members =
          new MembershipService(
              loop,
              new Looked(),
              MembershipLimits.defaults(WARM),
              List.of(
                  MembershipService.agentSource(
                      new InetSocketAddress(
                          InetAddress.getByName(at[0]), Integer.parseInt(at[1])))),
              1e9);
      loop.execute(() -> members.start(null));
      try {
        members.ready().get(START, TimeUnit.SECONDS);
      } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
        throw new IllegalStateException(
            "the list of "
                + Cores.list(n, 1, true).length()
                + " B was never read, in "
                + START
                + " s",
            e);
      }
      double startMs = (System.nanoTime() - began) / 1e6;
      double startCpu = cpuMs(thread) - from;
      Thread.sleep(QUIET_MS / 3); // the first looks
      long requests = agent.requestCount();
      long bytes = agent.sentByteCount();
      from = cpuMs(thread);
      began = System.nanoTime();
      Thread.sleep(QUIET_MS);
      double seconds = (System.nanoTime() - began) / 1e9;
      return new Quiet(
          startMs,
          startCpu,
          (agent.requestCount() - requests) / seconds,
          (agent.sentByteCount() - bytes) / seconds,
          (cpuMs(thread) - from) / seconds);
    } finally {
      loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
  }

  // ---- the counter on loopback ----

  private record Calls(double each, double client, double perSecond) {}

  static void counter(Run run) throws InterruptedException {
    Map<Integer, Calls[]> all = new HashMap<>();
    run.slope(
        "a call, the counter's thread",
        "us",
        "nodes, 4 connections each",
        CLIENTS,
        n -> {
          Calls[] of = new Calls[REPEATS];
          for (int i = 0; i < REPEATS; i++) {
            of[i] = counted(n);
          }
          all.put(n, of);
          return Meter.point(n, Arrays.stream(of).mapToDouble(Calls::each).toArray());
        });
    run.slope(
        "a call, the nodes' thread",
        "us",
        "nodes, 4 connections each",
        CLIENTS,
        n -> Meter.point(n, Arrays.stream(after(all, n)).mapToDouble(Calls::client).toArray()));
    run.slope(
        "calls answered a second, one thread each",
        "1/s",
        "nodes, 4 connections each",
        CLIENTS,
        n -> Meter.point(n, Arrays.stream(after(all, n)).mapToDouble(Calls::perSecond).toArray()));
  }

  private static Calls[] after(Map<Integer, Calls[]> all, int n) {
    if (!all.containsKey(n)) {
      throw new IllegalStateException("see the counter's thread");
    }
    return all.get(n);
  }

  /** Nodes that each keep some calls out; the second half of the time counts. */
  private static Calls counted(int nodes) throws InterruptedException {
    NettyEdgeEventLoop served = NettyEdgeEventLoop.create();
    NettyEdgeEventLoop calling = NettyEdgeEventLoop.create();
    try {
      AtomicLong answered = new AtomicLong();
      AtomicLong failed = new AtomicLong();
      CounterEmulator.Limits endless = new CounterEmulator.Limits(UNBOUNDED, 1 << 20, 1 << 16);
      CounterEmulator counter =
          new CounterEmulator(served, endless, (now, name, amount, sum) -> {})
              .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CounterClient[] clients = new CounterClient[nodes];
      for (int i = 0; i < nodes; i++) {
        int me = i;
        clients[i] =
            new CounterClient(
                calling,
                (name, outcome, took, total) -> {
                  long next = name + OUT * 4L * 997;
                  if (outcome == CallOutcome.OK) {
                    answered.incrementAndGet();
                    clients[me].add(next, 1, 60_000);
                  } else { // a line that has ended fails them at once: again at once would be very
                    // quick calls
                    failed.incrementAndGet();
                    calling.schedule(RECONNECT_MS, () -> clients[me].add(next, 1, 60_000));
                  }
                },
                counter.address(),
                5000);
      }
      calling.execute(
          () -> {
            for (CounterClient c : clients) {
              c.start();
            }
          });
      for (CounterClient c : clients) {
        c.whenReady().join();
      }
      calling.execute(
          () -> {
            for (int i = 0; i < nodes; i++) {
              for (int k = 0; k < OUT / nodes; k++) {
                clients[i].add((long) i * (OUT / nodes) + k, 1, 60_000);
              }
            }
          });
      long a = thread(served);
      long b = thread(calling);
      Thread.sleep(COUNTER_MS);
      double[] from = {cpuMs(a), cpuMs(b), answered.get(), System.nanoTime()};
      Thread.sleep(COUNTER_MS);
      double calls = answered.get() - from[2];
      if (failed.get() > MOST_FAILED * calls) {
        throw new IllegalStateException(
            failed.get() + " calls failed, " + (long) calls + " were answered");
      }
      return new Calls(
          (cpuMs(a) - from[0]) * 1000 / calls,
          (cpuMs(b) - from[1]) * 1000 / calls,
          calls / ((System.nanoTime() - from[3]) / 1e9));
    } finally {
      calling.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
      served.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
  }

  // ---- clients' front on loopback ----

  /** Takes nothing: only PINGs come. */
  private static final class Refusing implements RequestHandler {
    @Override
    public String requestReceived(ResponseSlot slot, ArrayRedisMessage command, boolean crowded) {
      return "not here";
    }
  }

  static void front(Run run) throws InterruptedException {
    List<Double> heaps = new ArrayList<>();
    run.slope(
        "a PING, the node's thread",
        "us",
        "connections",
        FRONT,
        n -> {
          double[] each = new double[REPEATS + 1];
          for (int i = 0; i < each.length; i++) { // the first one warms up
            each[i] = pings(n, heaps);
          }
          return Meter.point(n, Arrays.copyOfRange(each, 1, each.length));
        });
    run.slope(
        "heap, with the peer's socket",
        "B",
        "connections",
        FRONT,
        n -> {
          int at = Arrays.binarySearch(FRONT, n) * (REPEATS + 1);
          return Meter.point(
              n, heaps.subList(at + 1, at + 1 + REPEATS).stream().mapToDouble(d -> d).toArray());
        });
  }

  /** Each connection asks in turn; the second half of the rounds counts. */
  private static double pings(int connections, List<Double> heaps)
      throws IOException, InterruptedException {
    NettyEdgeEventLoop loop = NettyEdgeEventLoop.create();
    List<SocketChannel> open = new ArrayList<>();
    try {
      ClientListener clients = new ClientListener(loop, new Refusing(), 2 * connections, false);
      SocketAddress at =
          clients
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .sync()
              .channel()
              .localAddress();
      long thread = thread(loop);
      long before = Meter.used();
      for (int i = 0; i < connections; i++) {
        open.add(SocketChannel.open(at));
        ping(open.get(i));
      }
      heaps.add((double) (Meter.used() - before));
      double from = 0;
      int rounds = 2 * Math.max(1, PINGS / connections);
      for (int r = 0; r < rounds; r++) {
        from = r == rounds / 2 ? cpuMs(thread) : from;
        for (SocketChannel c : open) {
          ping(c);
        }
      }
      return (cpuMs(thread) - from) * 1000 / (rounds - rounds / 2) / connections;
    } finally {
      for (SocketChannel c : open) {
        c.close();
      }
      loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
  }

  private static void ping(SocketChannel c) throws IOException {
    c.write(ByteBuffer.wrap("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII)));
    ByteBuffer in = ByteBuffer.allocate("+PONG\r\n".length());
    while (in.hasRemaining()) {
      if (c.read(in) < 0) {
        throw new IOException("the node has closed");
      }
    }
  }

  // ---- configuration ----

  static void configuration(Run run) throws InterruptedException {
    int[] sizes = run.sizes().plans();
    run.slope(
        "the file",
        "B",
        "plans",
        sizes,
        n -> Meter.value(n, 1, () -> configuration(n).getBytes(StandardCharsets.UTF_8).length));
    run.slope(
        "reading it at SIGHUP",
        "us",
        "plans",
        sizes,
        n -> {
          Path file = Files.writeString(Files.createTempFile("slopes", ".json"), configuration(n));
          try {
            int[] taken = new int[1];
            ConfigFileWatcher config =
                new ConfigFileWatcher(
                    Map.of("EDGE_CONFIG", file.toString()),
                    c -> taken[0] = c.settings().plans().size(),
                    line -> {});
            Slope.Point p =
                run.meter()
                    .time(
                        n,
                        times -> {
                          for (int k = 0; k < times; k++) {
                            config.reload();
                          }
                        });
            if (taken[0] != n) {
              throw new IllegalStateException("it was not taken: " + taken[0] + " plans");
            }
            return p;
          } finally {
            Files.delete(file);
          }
        });
    run.slope(
        "heap of the settings read",
        "B",
        "plans",
        sizes,
        n -> {
          byte[] text = configuration(n).getBytes(StandardCharsets.UTF_8);
          return Meter.heap(n, () -> text, Wires::settings);
        });
  }

  private static PolicySettings settings(byte[] text) {
    try {
      return NodeConfig.reload(text, Map.of()).settings();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * A plan is the only thing of a configuration that may come in numbers: routes have no form yet.
   */
  static String configuration(int plans) {
    StringBuilder all =
        new StringBuilder(
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:2","seed":"1",
             "limits":{"sockets":1024},"settings":{"rank":0,"group_size":5500,"tick":2,
             "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],"tariffs":[""");
    for (int i = 0; i < plans; i++) {
      all.append(i > 0 ? "," : "")
          .append("{\"name\":\"t-")
          .append(Integer.toHexString(0x1000000 + i))
          .append(
              "\",\"per_second\":8,\"depth\":16,\"price\":1,\"extra_worth\":0.2,\"over_cost\":0.5}\n");
    }
    return all.append("]}}\n").toString();
  }
}
