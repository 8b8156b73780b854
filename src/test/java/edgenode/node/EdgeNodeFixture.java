package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.eventloop.Clock;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** A real edge node between peers on loopback sockets, with a scripted module for the decisions. */
@Timeout(30)
abstract class EdgeNodeFixture {
  static final String CUSTOMER = "00000000b4d65521";

  /** Notes what it is told and acts by the class of a request: most go to server s0. */
  final class ScriptedPolicy implements PolicyEvents {
    PolicyActions actions;

    /** Requests that are sent once more when their first attempt has ended. */
    private final Set<Long> retried = new HashSet<>();

    /** Requests that are sent when their timer comes. */
    private final Set<Long> delayed = new HashSet<>();

    @Override
    public void endpointsChanged(double now, List<EndpointInfo> list, boolean whole) {
      StringBuilder text = new StringBuilder(whole ? "whole" : "changes");
      list.forEach(s -> text.append(' ').append(s.id()).append(' ').append(s.state()));
      policyEvents.add(text.toString());
    }

    @Override
    public void discoveryFailed(double now) {
      policyEvents.add("discovery failed");
    }

    @Override
    public void requestArrived(double now, IncomingRequest r) {
      lastTimeBudgetMs = r.remainingMs();
      policyEvents.add(
          "arrived "
              + r.id()
              + " "
              + r.className()
              + " "
              + r.planName()
              + " "
              + r.customerName()
              + " "
              + r.units()
              + " "
              + r.nodeSpread()
              + " "
              + r.firstNode()
              + " "
              + r.isClientRetry());
      switch (r.className()) {
        case "refuse" -> actions.reject(r.id(), 1500);
        case "fail" -> actions.fail(r.id());
        case "throw" -> throw new IllegalStateException("on purpose");
        case "hold" -> {}
        case "stall" -> await(stallLatch);
        case "later" -> {
          delayed.add(r.id());
          actions.setTimer(100, r.id());
        }
        case "again" -> {
          retried.add(r.id());
          actions.send(r.id(), "s0", 0);
        }
        case "drop" -> {
          actions.send(r.id(), "s0", 0);
          actions.fail(r.id());
        }
        case "count" -> {
          actions.addToCounter(77, -2.5, 4000);
          actions.addToCounter(77, 1, 4000);
        }
        case "probe" -> actions.checkHealth("s0");
        case "cancel" -> {
          actions.send(r.id(), "s0", 0);
          actions.setTimer(300, r.id());
        }
        default -> actions.send(r.id(), "s0", 0);
      }
    }

    @Override
    public void responseStarted(double now, long id, int attempt) {}

    @Override
    public void attemptEnded(
        double now,
        long id,
        int attempt,
        CallOutcome outcome,
        double took,
        boolean over,
        int trueUnits,
        double[] load) {
      policyEvents.add("ended " + id + " " + attempt + " " + outcome + " " + over);
      if (!over && retried.remove(id)) {
        actions.send(id, "s0", 0);
      } else if (!over) {
        actions.fail(id);
      }
    }

    @Override
    public void clientDisconnected(double now, long id) {
      policyEvents.add("gone " + id);
    }

    @Override
    public void timerFired(double now, long token) {
      if (timersToFail-- > 0) {
        throw new IllegalStateException("timer on purpose");
      }
      if (delayed.remove(token)) {
        policyEvents.add("timer " + token);
        actions.send(token, "s0", 0);
        return;
      }
      actions.cancel(token, 0);
    }

    @Override
    public void healthCheckEnded(
        double now, String server, CallOutcome outcome, double took, double[] load) {
      policyEvents.add("probed " + server + " " + outcome + " " + java.util.Arrays.toString(load));
    }

    @Override
    public void counterCallEnded(
        double now, long name, CallOutcome outcome, double took, double total) {
      policyEvents.add("counted " + name + " " + outcome + " " + total);
    }
  }

  final BlockingQueue<String> policyEvents = new LinkedBlockingQueue<>();
  final List<AutoCloseable> resources = new ArrayList<>();
  FakePeer appServer;
  FakePeer discovery;
  FakePeer counter;
  FakePeer.Connection watchConnection;
  FakePeer.Connection serverConnection;
  EdgeNode node;
  boolean isShutDown;

  /** Under the node's sockets. */
  Transport transport = Transport.SOCKETS;

  int maxDescriptors = 256;
  int keepAliveMs = 15_000;

  /** Where clients come; 0 is any free port. */
  int listenPort;

  /** The operators' own settings, as in their file; null where there are none. */
  String edgeSettingsToml;

  /** Whether operators may call. */
  boolean hasAdminAddress;

  volatile int timersToFail;

  /** How long (ms) the last request that the module was told of could be worked on. */
  volatile double lastTimeBudgetMs;

  /** Until it falls a request of class stall keeps the loop busy. */
  final CountDownLatch stallLatch = new CountDownLatch(1);

  static void await(CountDownLatch latch) {
    try {
      if (!latch.await(10, TimeUnit.SECONDS)) {
        throw new AssertionError("nobody let the loop go on");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String endpointJson(String id, String dial, String health) {
    return "{\"host\":\""
        + id
        + "\",\"dial\":\""
        + dial
        + "\",\"site\":\"a\",\"class\":\"m\",\"block\":3,"
        + "\"health\":\""
        + health
        + "\",\"share\":1.0,\"born_ms\":0}";
  }

  static String endpointListJson(int seq, boolean whole, String... entries) {
    return "{\"seq\":"
        + seq
        + ",\"whole\":"
        + whole
        + ",\"hosts\":["
        + String.join(",", entries)
        + "]}";
  }

  void pushToWatch(String line) throws IOException {
    watchConnection.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
  }

  /**
   * The next connection that asks for a watch; looks at the list in between are left unanswered.
   */
  FakePeer.Connection acceptWatch(FakePeer discovery, int since) throws Exception {
    while (true) {
      FakePeer.Connection connection = discovery.accept();
      String requestLine = connection.readLine();
      while (!connection.readLine().isEmpty()) {
        assertTrue(connection.socket.isConnected());
      }
      if (!requestLine.equals("GET /catalog/members HTTP/1.1")) {
        assertEquals("GET /catalog/members?follow=1&since=" + since + " HTTP/1.1", requestLine);
        return connection;
      }
    }
  }

  void answerWatch(int since) throws Exception {
    watchConnection = acceptWatch(discovery, since);
    watchConnection.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    pushToWatch("");
  }

  void answerWatch() throws Exception {
    answerWatch(41);
  }

  @BeforeEach
  void startPeers() throws IOException {
    appServer = new FakePeer();
    discovery = new FakePeer();
    counter = new FakePeer();
    resources.addAll(List.of(appServer, discovery, counter));
  }

  String config() {
    return """
            {"name":"n0","listen":"127.0.0.1:%d",%s"discovery":"%s","seed":"8c1f30d27a5be964",
             "limits":{"sockets":%d},"counter":"%s","known":%s,
             "settings":{"rank":0,"group_size":4,"feedback":{"fields":["utilization","outstanding"]},
              "family_info":{"shared_counter":true,"count_limit":80,"most_units":2},
              "limits":{"send_cap":2,"keepalive":%d,"connect_timeout":250,"probing":true},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000},
                {"name":"write","effect":"idempotency_key","aim":600,"hard_limit":2000},
                {"name":"again","effect":"idempotency_key","aim":600,"hard_limit":2000,"repeat_window":300}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
        .formatted(
            listenPort,
            hasAdminAddress ? "\"admin_addr\":\"127.0.0.1:0\"," : "",
            discovery.address(),
            maxDescriptors,
            counter.address(),
            endpointListJson(41, true, endpointJson("s0", appServer.address(), "active")),
            keepAliveMs);
  }

  static OperatorSettings settings(String text) throws Exception {
    Path file = Files.createTempFile("edge", ".toml");
    try {
      return OperatorSettings.read(Files.writeString(file, text), 18_000);
    } finally {
      Files.delete(file);
    }
  }

  void start() throws Exception {
    ScriptedPolicy policy = new ScriptedPolicy();
    NodeConfig config = NodeConfig.parse(JsonValue.parse(config()), Map.of());
    node =
        new EdgeNode(
            config,
            (settings, seed, now, actions) -> {
              policy.actions = actions;
              assertEquals(4, settings.nodeCount());
              assertEquals(List.of("utilization", "outstanding"), settings.loadReportFields());
              return policy;
            },
            edgeSettingsToml == null ? null : settings(edgeSettingsToml),
            new NettyEdgeEventLoop(
                Transport.newEventLoopGroup(), transport, Clock.system(), System.err::println));
    Thread watching =
        new Thread(
            () -> {
              try {
                answerWatch();
              } catch (Exception e) {
                policyEvents.add("watch: " + e);
              }
            });
    watching.start();
    node.startAdmin();
    node.start();
    watching.join();
    serverConnection = appServer.accept(); // the connection made ahead
    expectPolicyEvent("whole s0 UP");
  }

  @AfterEach
  void shutDown() throws Exception {
    for (AutoCloseable each : resources) {
      each.close();
    }
    if (node != null && !isShutDown) {
      node.shutdown();
    }
  }

  FakePeer.Connection connectClient() throws IOException {
    FakePeer.Connection connection =
        FakePeer.Connection.connect(((InetSocketAddress) node.address()).getPort());
    resources.add(connection);
    return connection;
  }

  /** A figure as operators read it; its path's parts are the names in the answer. */
  String figure(String path) throws IOException {
    return AdminClient.call(node.adminAddress(), "GET /api/telemetry").values().get(path);
  }

  /** Until a figure is what it should be. */
  void figure(String path, String value) throws Exception {
    DiscoveryFixture.await(
        path + " " + value,
        () -> {
          try {
            return value.equals(figure(path));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  /** Has the node end, on a thread of its own, and waits until it has begun to. */
  Thread beginShutdown() throws InterruptedException {
    isShutDown = true;
    Thread draining = new Thread(node::shutdown);
    draining.start();
    DiscoveryFixture.await(
        "the end has begun",
        () -> {
          try {
            return AdminClient.call(node.adminAddress(), "GET /api/ready").status() == 503;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    return draining;
  }

  static void sendGet(FakePeer.Connection client, String id, String className, int waitMs)
      throws IOException {
    client.writeCommand(
        "CALL.GET",
        CUSTOMER,
        id,
        "c=" + className + ",t=p,d=" + waitMs + ",units=2,spread=3,first=1");
  }

  /** The next thing told to the module. */
  void expectPolicyEvent(String event) throws InterruptedException {
    assertEquals(event, policyEvents.poll(10, TimeUnit.SECONDS));
  }

  void expectArrival(int id, String className) throws InterruptedException {
    expectPolicyEvent("arrived " + id + " " + className + " p " + CUSTOMER + " 2 3 1 false");
  }
}
