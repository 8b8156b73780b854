package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.eventloop.Clock;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
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

/** A real edge node between peers on loopback sockets, with a scripted policy. */
@Timeout(30)
abstract class EdgeNodeFixture {
  static final String CUSTOMER = "00000000b4d65521";

  /** Records its events and acts by the class of a request: most are sent to endpoint s0. */
  final class ScriptedPolicy implements PolicyEvents {
    PolicyActions actions;

    /** Requests that are retried when their first attempt has ended. */
    private final Set<Long> retried = new HashSet<>();

    /** Requests that are sent when their timer fires. */
    private final Set<Long> delayed = new HashSet<>();

    @Override
    public void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete) {
      StringBuilder text = new StringBuilder(isComplete ? "whole" : "changes");
      endpoints.forEach(s -> text.append(' ').append(s.id()).append(' ').append(s.state()));
      policyEvents.add(text.toString());
    }

    @Override
    public void discoveryFailed(double nowMs) {
      policyEvents.add("discovery failed");
    }

    @Override
    public void requestArrived(double nowMs, IncomingRequest request) {
      lastTimeBudgetMs = request.remainingMs();
      policyEvents.add(
          "arrived "
              + request.id()
              + " "
              + request.className()
              + " "
              + request.planName()
              + " "
              + request.customerName()
              + " "
              + request.units()
              + " "
              + request.nodeSpread()
              + " "
              + request.firstNode()
              + " "
              + request.isClientRetry());
      switch (request.className()) {
        case "refuse" -> actions.reject(request.id(), 1500);
        case "fail" -> actions.fail(request.id());
        case "throw" -> throw new IllegalStateException("on purpose");
        case "hold" -> {}
        case "stall" -> await(stallLatch);
        case "later" -> {
          delayed.add(request.id());
          actions.setTimer(100, request.id());
        }
        case "again" -> {
          retried.add(request.id());
          actions.send(request.id(), "s0", 0);
        }
        case "drop" -> {
          actions.send(request.id(), "s0", 0);
          actions.fail(request.id());
        }
        case "count" -> {
          actions.addToCounter(77, -2.5, 4000);
          actions.addToCounter(77, 1, 4000);
        }
        case "probe" -> actions.checkHealth("s0");
        case "cancel" -> {
          actions.send(request.id(), "s0", 0);
          actions.setTimer(300, request.id());
        }
        default -> actions.send(request.id(), "s0", 0);
      }
    }

    @Override
    public void responseStarted(double nowMs, long id, int attempt) {}

    @Override
    public void attemptEnded(
        double nowMs, long id, int attempt, AttemptResult result, boolean isRequestOver) {
      policyEvents.add(
          "ended " + id + " " + attempt + " " + result.outcome() + " " + isRequestOver);
      if (!isRequestOver && retried.remove(id)) {
        actions.send(id, "s0", 0);
      } else if (!isRequestOver) {
        actions.fail(id);
      }
    }

    @Override
    public void clientDisconnected(double nowMs, long id) {
      policyEvents.add("gone " + id);
    }

    @Override
    public void timerFired(double nowMs, long token) {
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
        double nowMs, String server, CallOutcome outcome, double tookMs, double[] loadReport) {
      policyEvents.add(
          "probed " + server + " " + outcome + " " + java.util.Arrays.toString(loadReport));
    }

    @Override
    public void counterCallEnded(
        double nowMs, long name, CallOutcome outcome, double tookMs, double total) {
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

  /** The node's transport. */
  Transport transport = Transport.SOCKETS;

  int maxDescriptors = 256;
  int keepAliveMs = 15_000;

  /** The port for clients; 0 is any free port. */
  int listenPort;

  /** The operators' settings as TOML; null where there are none. */
  String edgeSettingsToml;

  /** Whether the node has an admin address. */
  boolean hasAdminAddress;

  volatile int timersToFail;

  /** Remaining time (ms) of the last request that arrived at the policy. */
  volatile double lastTimeBudgetMs;

  /** Until it is counted down, a request of class stall blocks the event loop. */
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
   * Returns the next connection that requests a watch; list requests in between are not answered.
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
    serverConnection = appServer.accept(); // the connection established at the start
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

  /** A client whose kernel takes little of what the client does not read. */
  FakePeer.Connection connectSlowReader(int receiveBufferBytes) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(receiveBufferBytes);
    socket.connect(
        new InetSocketAddress("127.0.0.1", ((InetSocketAddress) node.address()).getPort()));
    FakePeer.Connection connection = new FakePeer.Connection(socket);
    resources.add(connection);
    return connection;
  }

  /** A figure of the telemetry; its path consists of the names in the JSON object. */
  String figure(String path) throws IOException {
    return AdminClient.call(node.adminAddress(), "GET /api/telemetry").values().get(path);
  }

  /** Waits until a figure has a value. */
  void figure(String path, String value) throws Exception {
    try {
      DiscoveryFixture.await(
          path + " " + value,
          () -> {
            try {
              return value.equals(figure(path));
            } catch (IOException e) {
              throw new AssertionError(e);
            }
          });
    } catch (AssertionError e) {
      throw new AssertionError(
          e.getMessage() + "; " + AdminClient.call(node.adminAddress(), "GET /api/telemetry"), e);
    }
  }

  /** Shuts the node down on a thread of its own, and waits until that has begun. */
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

  /** Expects the next event at the policy. */
  void expectPolicyEvent(String event) throws InterruptedException {
    assertEquals(event, policyEvents.poll(10, TimeUnit.SECONDS));
  }

  void expectArrival(int id, String className) throws InterruptedException {
    expectPolicyEvent("arrived " + id + " " + className + " p " + CUSTOMER + " 2 3 1 false");
  }
}
