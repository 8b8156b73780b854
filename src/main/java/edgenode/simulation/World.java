package edgenode.simulation;

import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.emulator.Agent;
import edgenode.emulator.Arrivals;
import edgenode.emulator.Capacity;
import edgenode.emulator.Counter;
import edgenode.emulator.Effects;
import edgenode.emulator.EnrolmentServer;
import edgenode.emulator.Rack;
import edgenode.eventloop.Clock;
import edgenode.eventloop.LoopThread;
import edgenode.eventloop.Transport;
import edgenode.node.Node;
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
 * the counter, the stand-ins on an event loop of their own. For a first look, and for tests of the
 * stand-ins against a real node.
 */
public final class World implements AutoCloseable {
  /** The campuses that the settings' plans are made for. */
  public static final List<Arrivals.Campus> CAMPUSES =
      List.of(
          new Arrivals.Campus("00000000b4d65521", "basico", 1),
          new Arrivals.Campus("0000000012ab34cd", "estandar", 2),
          new Arrivals.Campus("00000001f00dcafe", "ampliado", 4));

  public static final List<Arrivals.Kind> KINDS =
      List.of(
          new Arrivals.Kind("seat-lookup", false, 900, 3),
          new Arrivals.Kind("enrol", true, 1500, 1));

  /** A plan of the settings below, for those that draw what is asked. */
  record Plan(String name, double perSecond) {}

  static final List<Plan> PLANS =
      List.of(
          new Plan("basico", 5),
          new Plan("estandar", 20),
          new Plan("ampliado", 80),
          new Plan("tope", 10));
  private static final double WINDOW = 7500;
  private static final Capacity.Size SERVER = new Capacity.Size(2, 16, 32, 8, 0.3, 5000);
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
      return Config.of(
              Json.read(
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

  private final LoopThread loop;
  private final LoopThread nodeLoop;
  private final List<EnrolmentServer> servers = new ArrayList<>();
  private final Agent discovery;
  private final Counter counter;
  private final Node node;
  private boolean closed;

  /**
   * @param port of the edge node, 0 for any
   * @param size how many enrolment servers, 1 or more
   * @throws IOException where an address cannot be had; nothing is left running then
   */
  public World(
      int port, int size, long seed, Effects effects, Counter.Calls calls, Consumer<String> log)
      throws IOException {
    loop = new LoopThread(Transport.loop(), Transport.SOCKETS, Clock.system(), log);
    nodeLoop = new LoopThread(Transport.loop(), Transport.SOCKETS, Clock.system(), log);
    discovery = new Agent(0);
    try {
      InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
      Rack[] racks = {new Rack("a", 0, WINDOW), new Rack("b", 1, WINDOW)};
      for (int i = 0; i < size; i++) {
        servers.add(
            new EnrolmentServer(
                    loop,
                    "s" + i,
                    racks[i % racks.length],
                    SERVER,
                    EnrolmentServer.Habits.USUAL,
                    effects,
                    seed * 31 + i)
                .start(any));
        discovery.set(servers.get(i).entry("active"));
      }
      counter = new Counter(loop, Counter.Size.USUAL, calls).start(any);
      String at =
          counter.address().getAddress().getHostAddress() + ":" + counter.address().getPort();
      Config config =
          Config.of(
              Json.read(
                  CONFIG.formatted(
                      "try", "127.0.0.1:" + port, discovery.address(), at, seed, 0, 1)),
              Map.of());
      node = new Node(config, PolicyEngine::new, null, nodeLoop);
      node.start();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      end();
      throw new IOException("told to end while it came up", e);
    } catch (Exception e) { // bind tells an address in use as it is, unchecked
      end();
      throw e instanceof BindException || e.getMessage() == null
          ? new IOException(e.getMessage(), e)
          : new IOException("127.0.0.1:" + port + ": " + e.getMessage(), e);
    }
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) node.address();
  }

  public LoopThread loop() {
    return loop;
  }

  public List<EnrolmentServer> servers() {
    return servers;
  }

  public Agent discovery() {
    return discovery;
  }

  public Counter counter() {
    return counter;
  }

  /** The edge node drains as at SIGTERM, then its world ends. */
  @Override
  public synchronized void close() throws IOException {
    if (!closed) {
      closed = true;
      node.drain();
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
