package edgenode.simulation;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.emulator.AppServerEmulator;
import edgenode.emulator.AppServerListener;
import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CapacityModel;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.IdempotencyGroupModel;
import edgenode.eventloop.Clock;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.node.EdgeNode;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicySettings;
import edgenode.policy.QuotaPlan;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A small installation on loopback: one edge node, enrolment servers in two racks, discovery and
 * the counter, the emulators on an event loop of their own. For a first look, and for tests of the
 * emulators against a real node.
 */
public final class EmulatedWorld implements AutoCloseable {
  /** The campuses that the settings' plans are made for. */
  public static final List<ArrivalProcess.Customer> CAMPUSES =
      List.of(
          new ArrivalProcess.Customer("00000000b4d65521", "basico", 1),
          new ArrivalProcess.Customer("0000000012ab34cd", "estandar", 2),
          new ArrivalProcess.Customer("00000001f00dcafe", "ampliado", 4));

  public static final List<ArrivalProcess.RequestKind> KINDS =
      List.of(
          new ArrivalProcess.RequestKind("seat-lookup", false, 900, 3),
          new ArrivalProcess.RequestKind("enrol", true, 1500, 1));

  /** A plan of the settings below, for those that draw what is asked. */
  record Plan(String name, double perSecond) {}

  static final List<Plan> PLANS =
      List.of(
          new Plan("basico", 5),
          new Plan("estandar", 20),
          new Plan("ampliado", 80),
          new Plan("tope", 10));
  private static final double WINDOW = 7500;
  private static final CapacityModel.Size SERVER = new CapacityModel.Size(2, 16, 32, 8, 0.3, 5000);
  private static final long LEAVE_WITHIN = 2000;

  /**
   * An edge node's configuration: name, three addresses (own, discovery, counter), seed, place,
   * nodes.
   */
  static final String CONFIG =
      """
        {"name":"%s","listen":"%s","discovery":"%s","counter":"%s","seed":"%x",
         "limits":{"sockets":1024},
         "settings":{"rank":%d,"group_size":%d,"tick":4,"feedback":{"fields":["outstanding","backlog","utilization"]},
          "limits":{"probing":true,"cancelling":true,"retry_after":true,"send_cap":5,"max_retry_after":2000,
           "keepalive":15000,"connect_timeout":250},
          "family_info":{"shared_counter":true,"most_units":2,"count_limit":80},
          "contract":{"drain_grace":250,"cold_share":0.2,"warm_after":5000,"overload_factor":3,"overload_for":2000},
          "request_classes":[{"name":"seat-lookup","effect":"read_like","aim":300,"hard_limit":900,"worth":1},
           {"name":"enrol","effect":"idempotency_key","group":"cell","aim":600,"hard_limit":1500,"worth":2,
            "repeat_window":7500}],
          "tariffs":[{"name":"basico","per_second":5,"depth":10,"price":1},
           {"name":"estandar","per_second":20,"depth":40,"price":1},
           {"name":"ampliado","per_second":80,"depth":160,"price":1},
           {"name":"tope","per_second":10,"depth":20,"price":1,"hard_rate":12,"ceiling_burst":24,"cap_slack":4}]}}""";

  /** The settings that these nodes are told. */
  static PolicySettings settings(int nodes) {
    try {
      return NodeConfig.parse(
              JsonValue.parse(
                  CONFIG.formatted(
                      "n0", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", 1L, 0, nodes)),
              Map.of())
          .settings();
    } catch (IOException e) {
      throw new IllegalStateException(e); // it is a text of ours
    }
  }

  static QuotaPlan plan(String name) {
    return settings(1).plans().stream()
        .filter(p -> p.name().equals(name))
        .findFirst()
        .orElseThrow();
  }

  private final NettyEdgeEventLoop loop;
  private final NettyEdgeEventLoop nodeLoop;
  private final List<AppServerEmulator> servers = new ArrayList<>();
  private final DiscoveryAgentEmulator discovery;
  private final CounterEmulator counter;
  private final EdgeNode node;
  private boolean closed;

  /**
   * @param port of the edge node, 0 for any
   * @param size how many enrolment servers, 1 or more
   * @throws IOException where an address cannot be had; nothing is left running then
   */
  public EmulatedWorld(
      int port,
      int size,
      long seed,
      AppServerListener effects,
      CounterEmulator.AddListener calls,
      Consumer<String> log)
      throws IOException {
    loop =
        new NettyEdgeEventLoop(
            Transport.newEventLoopGroup(), Transport.SOCKETS, Clock.system(), log);
    nodeLoop =
        new NettyEdgeEventLoop(
            Transport.newEventLoopGroup(), Transport.SOCKETS, Clock.system(), log);
    discovery = new DiscoveryAgentEmulator(0);
    try {
      InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
      IdempotencyGroupModel[] racks = {
        new IdempotencyGroupModel("a", 0, WINDOW), new IdempotencyGroupModel("b", 1, WINDOW)
      };
      for (int i = 0; i < size; i++) {
        servers.add(
            new AppServerEmulator(
                    loop,
                    "s" + i,
                    racks[i % racks.length],
                    SERVER,
                    AppServerEmulator.ConnectionOptions.DEFAULT,
                    effects,
                    seed * 31 + i)
                .start(any));
        discovery.set(servers.get(i).entry("active"));
      }
      counter = new CounterEmulator(loop, CounterEmulator.Limits.DEFAULT, calls).start(any);
      String at =
          counter.address().getAddress().getHostAddress() + ":" + counter.address().getPort();
      NodeConfig config =
          NodeConfig.parse(
              JsonValue.parse(
                  CONFIG.formatted(
                      "try", "127.0.0.1:" + port, discovery.address(), at, seed, 0, 1)),
              Map.of());
      node = new EdgeNode(config, PolicyEngine::new, null, nodeLoop);
      node.start();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      end();
      throw new IOException("ended while it came up", e);
    } catch (Exception e) { // bind tells an address in use as it is, unchecked
      end();
      throw e instanceof BindException || e.getMessage() == null
          ? new IOException(e.getMessage(), e)
          : new IOException("127.0.0.1:" + port + ": " + e.getMessage(), e);
    }
  }

  /** Where the edge node listens. */
  public InetSocketAddress address() {
    return (InetSocketAddress) node.address();
  }

  /** The event loop of the emulators. */
  public NettyEdgeEventLoop loop() {
    return loop;
  }

  /** The emulated app servers, by number. */
  public List<AppServerEmulator> servers() {
    return servers;
  }

  /** The emulated agent of discovery. */
  public DiscoveryAgentEmulator discovery() {
    return discovery;
  }

  /** The emulated counter. */
  public CounterEmulator counter() {
    return counter;
  }

  /** The edge node drains as at SIGTERM, then its world ends. */
  @Override
  public synchronized void close() throws IOException {
    if (!closed) {
      closed = true;
      node.shutdown();
      end();
    }
  }

  private void end() throws IOException {
    discovery.close();
    nodeLoop
        .group()
        .shutdownGracefully(0, LEAVE_WITHIN, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(LEAVE_WITHIN);
    loop.group()
        .shutdownGracefully(0, LEAVE_WITHIN, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(LEAVE_WITHIN);
  }
}
