package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.Config;
import edgenode.config.EdgeSettings;
import edgenode.config.Json;
import edgenode.eventloop.Clock;
import edgenode.eventloop.LoopThread;
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
abstract class NodeFixture {
  static final String CUSTOMER = "00000000b4d65521";

  /** Notes what it is told and acts by the class of a request: most go to server s0. */
  final class Script implements PolicyEvents {
    PolicyActions act;

    /** Requests that are sent once more when their first attempt has ended. */
    private final Set<Long> again = new HashSet<>();

    /** Requests that are sent when their timer comes. */
    private final Set<Long> later = new HashSet<>();

    @Override
    public void endpointsChanged(double now, List<EndpointInfo> list, boolean whole) {
      StringBuilder text = new StringBuilder(whole ? "whole" : "changes");
      list.forEach(s -> text.append(' ').append(s.id()).append(' ').append(s.state()));
      told.add(text.toString());
    }

    @Override
    public void discoveryFailed(double now) {
      told.add("discovery failed");
    }

    @Override
    public void requestArrived(double now, IncomingRequest r) {
      patience = r.remainingMs();
      told.add(
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
        case "refuse" -> act.reject(r.id(), 1500);
        case "fail" -> act.fail(r.id());
        case "throw" -> throw new IllegalStateException("on purpose");
        case "hold" -> {}
        case "stall" -> await(stall);
        case "later" -> {
          later.add(r.id());
          act.setTimer(100, r.id());
        }
        case "again" -> {
          again.add(r.id());
          act.send(r.id(), "s0", 0);
        }
        case "drop" -> {
          act.send(r.id(), "s0", 0);
          act.fail(r.id());
        }
        case "count" -> {
          act.addToCounter(77, -2.5, 4000);
          act.addToCounter(77, 1, 4000);
        }
        case "probe" -> act.checkHealth("s0");
        case "cancel" -> {
          act.send(r.id(), "s0", 0);
          act.setTimer(300, r.id());
        }
        default -> act.send(r.id(), "s0", 0);
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
      told.add("ended " + id + " " + attempt + " " + outcome + " " + over);
      if (!over && again.remove(id)) {
        act.send(id, "s0", 0);
      } else if (!over) {
        act.fail(id);
      }
    }

    @Override
    public void clientDisconnected(double now, long id) {
      told.add("gone " + id);
    }

    @Override
    public void timerFired(double now, long token) {
      if (failTimers-- > 0) {
        throw new IllegalStateException("timer on purpose");
      }
      if (later.remove(token)) {
        told.add("timer " + token);
        act.send(token, "s0", 0);
        return;
      }
      act.cancel(token, 0);
    }

    @Override
    public void healthCheckEnded(
        double now, String server, CallOutcome outcome, double took, double[] load) {
      told.add("probed " + server + " " + outcome + " " + java.util.Arrays.toString(load));
    }

    @Override
    public void counterCallEnded(
        double now, long name, CallOutcome outcome, double took, double total) {
      told.add("counted " + name + " " + outcome + " " + total);
    }
  }

  final BlockingQueue<String> told = new LinkedBlockingQueue<>();
  final List<AutoCloseable> open = new ArrayList<>();
  Peer app;
  Peer discovery;
  Peer counter;
  Peer.Line watch;
  Peer.Line server;
  Node node;
  boolean drained;

  /** Under the node's sockets. */
  Transport transport = Transport.SOCKETS;

  int sockets = 256;
  int keepAlive = 15_000;

  /** Where clients come; 0 is any free port. */
  int port;

  /** The operators' own settings, as in their file; null where there are none. */
  String own;

  /** Whether operators may call. */
  boolean admin;

  volatile int failTimers;

  /** How long (ms) the last request that the module was told of could be worked on. */
  volatile double patience;

  /** Until it falls a request of class stall keeps the loop busy. */
  final CountDownLatch stall = new CountDownLatch(1);

  static void await(CountDownLatch latch) {
    try {
      if (!latch.await(10, TimeUnit.SECONDS)) {
        throw new AssertionError("nobody let the loop go on");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static String entry(String id, String dial, String health) {
    return "{\"host\":\""
        + id
        + "\",\"dial\":\""
        + dial
        + "\",\"site\":\"a\",\"class\":\"m\",\"block\":3,"
        + "\"health\":\""
        + health
        + "\",\"share\":1.0,\"born_ms\":0}";
  }

  static String list(int seq, boolean whole, String... entries) {
    return "{\"seq\":"
        + seq
        + ",\"whole\":"
        + whole
        + ",\"hosts\":["
        + String.join(",", entries)
        + "]}";
  }

  void push(String line) throws IOException {
    watch.write(Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
  }

  /**
   * The next connection that asks for a watch; looks at the list in between are left unanswered.
   */
  Peer.Line nextWatch(Peer at, int since) throws Exception {
    while (true) {
      Peer.Line line = at.accept();
      String asked = line.line();
      while (!line.line().isEmpty()) {
        assertTrue(line.socket.isConnected());
      }
      if (!asked.equals("GET /catalog/members HTTP/1.1")) {
        assertEquals("GET /catalog/members?follow=1&since=" + since + " HTTP/1.1", asked);
        return line;
      }
    }
  }

  void answerWatch(int since) throws Exception {
    watch = nextWatch(discovery, since);
    watch.write("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
    push("");
  }

  void answerWatch() throws Exception {
    answerWatch(41);
  }

  @BeforeEach
  void peers() throws IOException {
    app = new Peer();
    discovery = new Peer();
    counter = new Peer();
    open.addAll(List.of(app, discovery, counter));
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
            port,
            admin ? "\"admin_addr\":\"127.0.0.1:0\"," : "",
            discovery.address(),
            sockets,
            counter.address(),
            list(41, true, entry("s0", app.address(), "active")),
            keepAlive);
  }

  static EdgeSettings settings(String text) throws Exception {
    Path file = Files.createTempFile("edge", ".toml");
    try {
      return EdgeSettings.read(Files.writeString(file, text), 18_000);
    } finally {
      Files.delete(file);
    }
  }

  void start() throws Exception {
    Script script = new Script();
    Config config = Config.of(Json.read(config()), Map.of());
    node =
        new Node(
            config,
            (settings, seed, now, actions) -> {
              script.act = actions;
              assertEquals(4, settings.nodeCount());
              assertEquals(List.of("utilization", "outstanding"), settings.loadReportFields());
              return script;
            },
            own == null ? null : settings(own),
            new LoopThread(Transport.loop(), transport, Clock.system(), System.err::println));
    Thread watching =
        new Thread(
            () -> {
              try {
                answerWatch();
              } catch (Exception e) {
                told.add("watch: " + e);
              }
            });
    watching.start();
    node.answerOperators();
    node.start();
    watching.join();
    server = app.accept(); // the connection made ahead
    expect("whole s0 UP");
  }

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable each : open) {
      each.close();
    }
    if (node != null && !drained) {
      node.drain();
    }
  }

  Peer.Line client() throws IOException {
    Peer.Line line = Peer.Line.to(((InetSocketAddress) node.address()).getPort());
    open.add(line);
    return line;
  }

  /** A figure as operators read it; its path's parts are the names in the answer. */
  String figure(String path) throws IOException {
    return Calls.call(node.adminAddress(), "GET /api/telemetry").values().get(path);
  }

  /** Until a figure is what it should be. */
  void figure(String path, String value) throws Exception {
    Rig.await(
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
  Thread ending() throws InterruptedException {
    drained = true;
    Thread draining = new Thread(node::drain);
    draining.start();
    Rig.await(
        "the end has begun",
        () -> {
          try {
            return Calls.call(node.adminAddress(), "GET /api/ready").status() == 503;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
    return draining;
  }

  static void get(Peer.Line client, String id, String type, int wait) throws IOException {
    client.command(
        "CALL.GET", CUSTOMER, id, "c=" + type + ",t=p,d=" + wait + ",units=2,spread=3,first=1");
  }

  /** The next thing told to the module. */
  void expect(String text) throws InterruptedException {
    assertEquals(text, told.poll(10, TimeUnit.SECONDS));
  }

  void arrived(int id, String type) throws InterruptedException {
    expect("arrived " + id + " " + type + " p " + CUSTOMER + " 2 3 1 false");
  }
}
