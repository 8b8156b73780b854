package edgenode.node;

import edgenode.config.Config;
import edgenode.config.Json;
import edgenode.emulator.Agent;
import edgenode.emulator.AppServer;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/**
 * A real node on sockets between stand-ins, a module that sends each request to one server as long
 * as it believes it up, and a client that never stops asking. When a command came last is noted at
 * the server's socket.
 */
final class Rig implements AutoCloseable {
  static final long GRACE = 250;

  final AtomicLong last;
  final AtomicLong sends;
  final AppServer app;
  final Map<String, EndpointState> view = new ConcurrentHashMap<>();
  final Map<String, Double> born = new ConcurrentHashMap<>();
  private final boolean shares;
  volatile String target = "none";
  Agent agent;
  final Node node;
  private volatile boolean ending;
  private final Thread client;

  Rig(Agent first) throws Exception {
    this(first, null);
  }

  /** Another node before the app server of a rig that stands, with a list known at its start. */
  Rig(Agent first, Rig with, Agent.Host... known) throws Exception {
    shares = with != null;
    last = shares ? with.last : new AtomicLong();
    sends = shares ? with.sends : new AtomicLong();
    app =
        shares
            ? with.app
            : new AppServer(
                at -> {
                  last.set(at);
                  sends.incrementAndGet();
                });
    agent = first;
    String hosts =
        Arrays.stream(known).map(Agent.Host::json).collect(Collectors.joining(",", "[", "]"));
    node = new Node(config(first, hosts), (settings, seed, now, actions) -> new Pulse(actions));
    node.start();
    client = new Thread(this::ask, "client");
    client.setDaemon(true);
    client.start();
  }

  Config config(Agent at, String known) throws IOException {
    return Config.of(
        Json.read(
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
             "known":{"seq":0,"whole":true,"hosts":%s},
             "limits":{"sockets":256},"settings":{"rank":0,"group_size":1,"limits":{"send_cap":2},
              "contract":{"drain_grace":250,"warm_after":18000},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
                .formatted(at.address(), known)),
        Map.of());
  }

  void move(Agent to) throws IOException {
    agent = to;
    node.reload(config(to, "[]"));
  }

  Agent.Host host(String id, String health) {
    return new Agent.Host(id, app.address(), health, 0);
  }

  private void ask() {
    long id = 0;
    while (!ending) {
      try (Peer.Line line = Peer.Line.to(((InetSocketAddress) node.address()).getPort())) {
        while (!ending) {
          line.command(
              "CALL.GET",
              "00000000b4d65521",
              Long.toHexString(++id),
              "c=read,t=p,d=900,units=1,spread=1,first=0");
          if (line.message().get(0).startsWith("-")) {
            Thread.sleep(1);
          }
        }
      } catch (IOException e) {
        if (ending) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  static void await(String what, BooleanSupplier done) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!done.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("never: " + what);
      }
      Thread.sleep(1);
    }
  }

  /** Until the client's requests go to this server. */
  void serves(String id) throws InterruptedException {
    target = id;
    long before = sends.get();
    await("a request at " + id, () -> view.get(id) == EndpointState.UP && sends.get() > before + 2);
  }

  /**
   * Waits until the drain is known; ms from when it was told to the last command that came to the
   * server.
   */
  double drained(String id, long told) throws InterruptedException {
    await("the drain of " + id, () -> view.get(id) != EndpointState.UP);
    Thread.sleep(15); // what was written before is read by then
    return Math.max(0, last.get() - told) / 1e6;
  }

  @Override
  public void close() throws IOException {
    ending = true;
    client.interrupt();
    agent.close();
    node.drain();
    if (!shares) {
      app.close();
    }
  }

  private final class Pulse extends QuietEvents {
    private final PolicyActions act;

    Pulse(PolicyActions act) {
      this.act = act;
    }

    @Override
    public void endpointsChanged(double now, List<EndpointInfo> list, boolean whole) {
      for (EndpointInfo s : list) {
        born.put(s.id(), s.startedAtMs());
        view.put(s.id(), s.state());
      }
    }

    @Override
    public void requestArrived(double now, IncomingRequest r) {
      if (view.get(target) == EndpointState.UP) {
        act.send(r.id(), target, 0);
      } else {
        act.reject(r.id(), 0);
      }
    }

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
      if (!over) {
        act.fail(id);
      }
    }
  }
}
