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
final class WireStudies {
  private static final int REPEATS = 3;
  private static final double WARM_UP_MS = 18_000;

  /** A list that has not been read after so long (s) will not be. */
  private static final int START_TIMEOUT_SECONDS = 12;

  private static final int STEADY_STATE_MS = 3000;
  private static final int COUNTER_PERIOD_MS = 1500;

  /**
   * Calls that all nodes have out at a time: so many more would wait for longer than a line may owe
   * an answer.
   */
  private static final int CALLS_IN_FLIGHT = 100;

  private static final double RECONNECT_MS = 100;

  /**
   * On a busy machine a line ends now and then; with more of them failed than this part it is no
   * measurement.
   */
  private static final double MAX_FAILED_SHARE = 0.05;

  /**
   * Calls a second, so many that no time lies between two: with less the stand-in sets a timer for
   * each.
   */
  private static final double UNBOUNDED_CALLS_PER_SECOND = 1e300;

  private static final int[] CONNECTION_COUNTS = {50, 200, 800};
  private static final int PINGS_PER_ROUND_SET = 4000;
  private static final int[] CLIENT_COUNTS = {1, 10, 100};

  private WireStudies() {}

  // ---- forms ----

  static void forms(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.measure(
        "a whole list",
        "B",
        "servers",
        sizes,
        size -> CpuMeter.value(size, 1, () -> CoreStudies.list(size, 1, true).length()));
    run.measure(
        "a watch's line, so many changes",
        "B",
        "changes",
        new int[] {1, 10, 100, 1000},
        size ->
            CpuMeter.value(size, 1, () -> chunkBytes(CoreStudies.list(size, 1_000_000, false))));
    run.measure(
        "calls of the counter",
        "B",
        "calls",
        new int[] {1, 10, 100, 1000},
        size -> CpuMeter.value(size, 1, () -> callBytes(size, false)));
    run.measure(
        "answers of the counter",
        "B",
        "answers",
        new int[] {1, 10, 100, 1000},
        size -> CpuMeter.value(size, 1, () -> callBytes(size, true)));
  }

  /** RFC 9112, 7.1. */
  private static int chunkBytes(String line) {
    return Integer.toHexString(line.length()).length() + 2 + line.length() + 2;
  }

  /** Names are 63 bits, amounts small, totals those of some seconds at some requests a second. */
  private static int callBytes(int count, boolean isAnswer) {
    EmbeddedChannel channel = new EmbeddedChannel();
    RespCodec.addCodec(channel.pipeline(), 4);
    ByteBufAllocator alloc = channel.alloc();
    int bytes = 0;
    long name = 1;
    for (int i = 0; i < count; i++) {
      name = name * 6364136223846793005L + 1442695040888963407L; // Knuth's MMIX
      channel.writeOutbound(
          isAnswer
              ? RespCodec.bulkString(alloc, Integer.toString(i % 900 + 100))
              : RespCodec.command(
                  alloc,
                  "CNT.ADD",
                  Long.toString(name >>> 1),
                  Integer.toString(i % 9 + 1),
                  "60000"));
      for (ByteBuf buffer = channel.readOutbound();
          buffer != null;
          buffer = channel.readOutbound()) {
        bytes += buffer.readableBytes();
        buffer.release();
      }
    }
    channel.finishAndReleaseAll();
    return bytes;
  }

  // ---- a start ----

  static void start(BenchmarkRun run) throws InterruptedException {
    run.measure(
        "parsing a whole list",
        "us",
        "servers",
        run.sizes().servers(),
        size -> {
          byte[] text = CoreStudies.list(size, 1, true).getBytes(StandardCharsets.US_ASCII);
          return run.meter()
              .time(
                  size,
                  times -> {
                    for (int k = 0; k < times; k++) {
                      if (parse(text) != size) {
                        throw new IllegalStateException("entries are missing");
                      }
                    }
                  });
        });
  }

  private static int parse(byte[] text) {
    try {
      return EndpointListJson.parse(text, text.length, problem -> {}).endpoints().size();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ---- discovery on loopback ----

  private static final class NoOpMembershipListener implements MembershipListener {
    @Override
    public void endpointsChanged(List<DiscoveredEndpoint> entries, boolean whole) {}

    @Override
    public void discoveryFailed() {}

    @Override
    public void discoveryRefused() {}

    @Override
    public void checkReachable(String id) {}
  }

  /** One node at an agent, from its start through some seconds in which nothing changes. */
  record SteadyState(
      double startMs, double startCpuMs, double requests, double bytes, double cpuMs) {}

  static void discovery(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    List<List<SteadyState>> resultsBySize = new ArrayList<>();
    run.measure(
        "start: CPU until the list is known",
        "ms",
        "servers",
        sizes,
        size -> {
          List<SteadyState> results = new ArrayList<>();
          for (int i = 0; i < REPEATS; i++) {
            results.add(steadyState(size));
          }
          resultsBySize.add(results);
          return point(size, results.stream().mapToDouble(SteadyState::startCpuMs).toArray());
        });
    int[] read = IntStream.range(0, resultsBySize.size()).toArray();
    if (read.length == 0) {
      return;
    }
    int[] measuredSizes = Arrays.copyOf(sizes, read.length);
    run.measure(
        "quiet: requests to discovery a second",
        "1/s",
        "servers",
        measuredSizes,
        size ->
            point(
                size,
                resultsAt(resultsBySize, measuredSizes, size).stream()
                    .mapToDouble(SteadyState::requests)
                    .toArray()));
    run.measure(
        "quiet: bytes of answers a second",
        "B/s",
        "servers",
        measuredSizes,
        size ->
            point(
                size,
                resultsAt(resultsBySize, measuredSizes, size).stream()
                    .mapToDouble(SteadyState::bytes)
                    .toArray()));
    run.measure(
        "quiet: CPU of the loop a second",
        "ms/s",
        "servers",
        measuredSizes,
        size ->
            point(
                size,
                resultsAt(resultsBySize, measuredSizes, size).stream()
                    .mapToDouble(SteadyState::cpuMs)
                    .toArray()));
  }

  private static CostCurve.Measurement point(int size, double[] values) {
    return CpuMeter.point(size, values);
  }

  private static List<SteadyState> resultsAt(
      List<List<SteadyState>> resultsBySize, int[] sizes, int size) {
    return resultsBySize.get(
        IntStream.range(0, sizes.length).filter(i -> sizes[i] == size).findFirst().orElseThrow());
  }

  private static long threadId(NettyEdgeEventLoop loop) throws InterruptedException {
    AtomicLong id = new AtomicLong();
    CountDownLatch isKnown = new CountDownLatch(1);
    loop.execute(
        () -> {
          id.set(Thread.currentThread().getId());
          isKnown.countDown();
        });
    isKnown.await();
    return id.get();
  }

  private static double cpuMs(long thread) {
    return ManagementFactory.getThreadMXBean().getThreadCpuTime(thread) / 1e6;
  }

  private static SteadyState steadyState(int servers) throws IOException, InterruptedException {
    List<DiscoveryAgentEmulator.Host> hosts =
        IntStream.range(0, servers).mapToObj(CoreStudies::host).toList();
    NettyEdgeEventLoop loop = NettyEdgeEventLoop.create();
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(1)) {
      agent.restart(1, hosts);
      long thread = threadId(loop);
      double cpuFromMs = cpuMs(thread);
      long startNs = System.nanoTime();
      String[] hostAndPort = agent.address().split(":");
      MembershipService members =
          new MembershipService(
              loop,
              new NoOpMembershipListener(),
              MembershipLimits.defaults(WARM_UP_MS),
              List.of(
                  MembershipService.agentSource(
                      new InetSocketAddress(
                          InetAddress.getByName(hostAndPort[0]),
                          Integer.parseInt(hostAndPort[1])))),
              1e9);
      loop.execute(() -> members.start(null));
      try {
        members.ready().get(START_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
        throw new IllegalStateException(
            "the list of "
                + CoreStudies.list(servers, 1, true).length()
                + " B was never read, in "
                + START_TIMEOUT_SECONDS
                + " s",
            e);
      }
      double startMs = (System.nanoTime() - startNs) / 1e6;
      double startCpu = cpuMs(thread) - cpuFromMs;
      Thread.sleep(STEADY_STATE_MS / 3); // the first looks
      long requests = agent.requestCount();
      long bytes = agent.sentByteCount();
      cpuFromMs = cpuMs(thread);
      startNs = System.nanoTime();
      Thread.sleep(STEADY_STATE_MS);
      double seconds = (System.nanoTime() - startNs) / 1e9;
      return new SteadyState(
          startMs,
          startCpu,
          (agent.requestCount() - requests) / seconds,
          (agent.sentByteCount() - bytes) / seconds,
          (cpuMs(thread) - cpuFromMs) / seconds);
    } finally {
      loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
  }

  // ---- the counter on loopback ----

  private record CounterCosts(double each, double client, double perSecond) {}

  static void counter(BenchmarkRun run) throws InterruptedException {
    Map<Integer, CounterCosts[]> costsByNodes = new HashMap<>();
    run.measure(
        "a call, the counter's thread",
        "us",
        "nodes, 4 connections each",
        CLIENT_COUNTS,
        nodes -> {
          CounterCosts[] costs = new CounterCosts[REPEATS];
          for (int i = 0; i < REPEATS; i++) {
            costs[i] = counterCosts(nodes);
          }
          costsByNodes.put(nodes, costs);
          return CpuMeter.point(
              nodes, Arrays.stream(costs).mapToDouble(CounterCosts::each).toArray());
        });
    run.measure(
        "a call, the nodes' thread",
        "us",
        "nodes, 4 connections each",
        CLIENT_COUNTS,
        nodes ->
            CpuMeter.point(
                nodes,
                Arrays.stream(measured(costsByNodes, nodes))
                    .mapToDouble(CounterCosts::client)
                    .toArray()));
    run.measure(
        "calls answered a second, one thread each",
        "1/s",
        "nodes, 4 connections each",
        CLIENT_COUNTS,
        nodes ->
            CpuMeter.point(
                nodes,
                Arrays.stream(measured(costsByNodes, nodes))
                    .mapToDouble(CounterCosts::perSecond)
                    .toArray()));
  }

  private static CounterCosts[] measured(Map<Integer, CounterCosts[]> costsByNodes, int nodes) {
    if (!costsByNodes.containsKey(nodes)) {
      throw new IllegalStateException("see the counter's thread");
    }
    return costsByNodes.get(nodes);
  }

  /** Nodes that each keep some calls out; the second half of the time counts. */
  private static CounterCosts counterCosts(int nodes) throws InterruptedException {
    NettyEdgeEventLoop counterLoop = NettyEdgeEventLoop.create();
    NettyEdgeEventLoop clientLoop = NettyEdgeEventLoop.create();
    try {
      AtomicLong answered = new AtomicLong();
      AtomicLong failed = new AtomicLong();
      CounterEmulator.Limits endless =
          new CounterEmulator.Limits(UNBOUNDED_CALLS_PER_SECOND, 1 << 20, 1 << 16);
      CounterEmulator counter =
          new CounterEmulator(counterLoop, endless, (now, name, amount, sum) -> {})
              .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      CounterClient[] clients = new CounterClient[nodes];
      for (int i = 0; i < nodes; i++) {
        int client = i;
        clients[i] =
            new CounterClient(
                clientLoop,
                (name, outcome, took, total) -> {
                  long next = name + CALLS_IN_FLIGHT * 4L * 997;
                  if (outcome == CallOutcome.OK) {
                    answered.incrementAndGet();
                    clients[client].add(next, 1, 60_000);
                  } else { // a line that has ended fails them at once: again at once would be very
                    // quick calls
                    failed.incrementAndGet();
                    clientLoop.schedule(RECONNECT_MS, () -> clients[client].add(next, 1, 60_000));
                  }
                },
                counter.address(),
                5000);
      }
      clientLoop.execute(
          () -> {
            for (CounterClient counterClient : clients) {
              counterClient.start();
            }
          });
      for (CounterClient counterClient : clients) {
        counterClient.whenReady().join();
      }
      clientLoop.execute(
          () -> {
            for (int i = 0; i < nodes; i++) {
              for (int k = 0; k < CALLS_IN_FLIGHT / nodes; k++) {
                clients[i].add((long) i * (CALLS_IN_FLIGHT / nodes) + k, 1, 60_000);
              }
            }
          });
      long counterThread = threadId(counterLoop);
      long clientThread = threadId(clientLoop);
      Thread.sleep(COUNTER_PERIOD_MS);
      double[] start = {
        cpuMs(counterThread), cpuMs(clientThread), answered.get(), System.nanoTime()
      };
      Thread.sleep(COUNTER_PERIOD_MS);
      double calls = answered.get() - start[2];
      if (failed.get() > MAX_FAILED_SHARE * calls) {
        throw new IllegalStateException(
            failed.get() + " calls failed, " + (long) calls + " were answered");
      }
      return new CounterCosts(
          (cpuMs(counterThread) - start[0]) * 1000 / calls,
          (cpuMs(clientThread) - start[1]) * 1000 / calls,
          calls / ((System.nanoTime() - start[3]) / 1e9));
    } finally {
      clientLoop
          .group()
          .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(1000);
      counterLoop
          .group()
          .shutdownGracefully(0, 100, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(1000);
    }
  }

  // ---- clients' front on loopback ----

  /** Takes nothing: only PINGs come. */
  private static final class RejectingRequestHandler implements RequestHandler {
    @Override
    public String requestReceived(ResponseSlot slot, ArrayRedisMessage command, boolean crowded) {
      return "not here";
    }
  }

  static void downstream(BenchmarkRun run) throws InterruptedException {
    List<Double> heaps = new ArrayList<>();
    run.measure(
        "a PING, the node's thread",
        "us",
        "connections",
        CONNECTION_COUNTS,
        connections -> {
          double[] micros = new double[REPEATS + 1];
          for (int i = 0; i < micros.length; i++) { // the first one warms up
            micros[i] = pings(connections, heaps);
          }
          return CpuMeter.point(connections, Arrays.copyOfRange(micros, 1, micros.length));
        });
    run.measure(
        "heap, with the peer's socket",
        "B",
        "connections",
        CONNECTION_COUNTS,
        connections -> {
          int first = Arrays.binarySearch(CONNECTION_COUNTS, connections) * (REPEATS + 1);
          return CpuMeter.point(
              connections,
              heaps.subList(first + 1, first + 1 + REPEATS).stream().mapToDouble(d -> d).toArray());
        });
  }

  /** Each connection asks in turn; the second half of the rounds counts. */
  private static double pings(int connections, List<Double> heaps)
      throws IOException, InterruptedException {
    NettyEdgeEventLoop loop = NettyEdgeEventLoop.create();
    List<SocketChannel> channels = new ArrayList<>();
    try {
      ClientListener clients =
          new ClientListener(loop, new RejectingRequestHandler(), 2 * connections, false);
      SocketAddress address =
          clients
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .sync()
              .channel()
              .localAddress();
      long thread = threadId(loop);
      long heapBefore = CpuMeter.usedHeapBytes();
      for (int i = 0; i < connections; i++) {
        channels.add(SocketChannel.open(address));
        ping(channels.get(i));
      }
      heaps.add((double) (CpuMeter.usedHeapBytes() - heapBefore));
      double cpuFromMs = 0;
      int rounds = 2 * Math.max(1, PINGS_PER_ROUND_SET / connections);
      for (int r = 0; r < rounds; r++) {
        cpuFromMs = r == rounds / 2 ? cpuMs(thread) : cpuFromMs;
        for (SocketChannel channel : channels) {
          ping(channel);
        }
      }
      return (cpuMs(thread) - cpuFromMs) * 1000 / (rounds - rounds / 2) / connections;
    } finally {
      for (SocketChannel channel : channels) {
        channel.close();
      }
      loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(1000);
    }
  }

  private static void ping(SocketChannel channel) throws IOException {
    channel.write(ByteBuffer.wrap("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII)));
    ByteBuffer in = ByteBuffer.allocate("+PONG\r\n".length());
    while (in.hasRemaining()) {
      if (channel.read(in) < 0) {
        throw new IOException("the node has closed");
      }
    }
  }

  // ---- configuration ----

  static void configuration(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().plans();
    run.measure(
        "the file",
        "B",
        "plans",
        sizes,
        plans ->
            CpuMeter.value(
                plans, 1, () -> configuration(plans).getBytes(StandardCharsets.UTF_8).length));
    run.measure(
        "reading it at SIGHUP",
        "us",
        "plans",
        sizes,
        plans -> {
          Path file =
              Files.writeString(Files.createTempFile("slopes", ".json"), configuration(plans));
          try {
            int[] loadedPlans = new int[1];
            ConfigFileWatcher config =
                new ConfigFileWatcher(
                    Map.of("EDGE_CONFIG", file.toString()),
                    c -> loadedPlans[0] = c.settings().plans().size(),
                    line -> {});
            CostCurve.Measurement point =
                run.meter()
                    .time(
                        plans,
                        times -> {
                          for (int k = 0; k < times; k++) {
                            config.reload();
                          }
                        });
            if (loadedPlans[0] != plans) {
              throw new IllegalStateException("it was not taken: " + loadedPlans[0] + " plans");
            }
            return point;
          } finally {
            Files.delete(file);
          }
        });
    run.measure(
        "heap of the settings read",
        "B",
        "plans",
        sizes,
        plans -> {
          byte[] text = configuration(plans).getBytes(StandardCharsets.UTF_8);
          return CpuMeter.heap(plans, () -> text, WireStudies::settings);
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
    StringBuilder json =
        new StringBuilder(
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","counter":"127.0.0.1:2","seed":"1",
             "limits":{"sockets":1024},"settings":{"rank":0,"group_size":5500,"tick":2,
             "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],"tariffs":[""");
    for (int i = 0; i < plans; i++) {
      json.append(i > 0 ? "," : "")
          .append("{\"name\":\"t-")
          .append(Integer.toHexString(0x1000000 + i))
          .append(
              "\",\"per_second\":8,\"depth\":16,\"price\":1,\"extra_worth\":0.2,\"over_cost\":0.5}\n");
    }
    return json.append("]}}\n").toString();
  }
}
