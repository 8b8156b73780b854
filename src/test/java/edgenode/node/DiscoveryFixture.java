package edgenode.node;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.ThreadedAppServerEmulator;
import edgenode.policy.AttemptResult;
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
 * A real node on sockets between emulators, a policy that sends each request to one endpoint while
 * it is listed as up, and a client that sends requests all the time. The time of the last command
 * is noted at the server's socket.
 */
final class DiscoveryFixture implements AutoCloseable {
  static final long DRAIN_GRACE_MS = 250;

  final AtomicLong lastCommandAtNanos;
  final AtomicLong commandCount;
  final ThreadedAppServerEmulator appServer;
  final Map<String, EndpointState> endpointStates = new ConcurrentHashMap<>();
  final Map<String, Double> startedAtMs = new ConcurrentHashMap<>();
  private final boolean sharesAppServer;
  volatile String target = "none";
  DiscoveryAgentEmulator agent;
  final EdgeNode node;
  private volatile boolean isClosing;
  private final Thread clientThread;

  DiscoveryFixture(DiscoveryAgentEmulator discovery) throws Exception {
    this(discovery, null);
  }

  /**
   * Another node that shares the application server of a fixture, with an endpoint list known at
   * its start.
   */
  DiscoveryFixture(
      DiscoveryAgentEmulator discovery,
      DiscoveryFixture sharedFixture,
      DiscoveryAgentEmulator.Host... knownHosts)
      throws Exception {
    sharesAppServer = sharedFixture != null;
    lastCommandAtNanos = sharesAppServer ? sharedFixture.lastCommandAtNanos : new AtomicLong();
    commandCount = sharesAppServer ? sharedFixture.commandCount : new AtomicLong();
    appServer =
        sharesAppServer
            ? sharedFixture.appServer
            : new ThreadedAppServerEmulator(
                atNanos -> {
                  lastCommandAtNanos.set(atNanos);
                  commandCount.incrementAndGet();
                });
    agent = discovery;
    String hosts =
        Arrays.stream(knownHosts)
            .map(DiscoveryAgentEmulator.Host::json)
            .collect(Collectors.joining(",", "[", "]"));
    node =
        new EdgeNode(
            config(discovery, hosts),
            (settings, seed, now, actions) -> new SingleEndpointPolicy(actions));
    node.start();
    clientThread = new Thread(this::sendRequests, "client");
    clientThread.setDaemon(true);
    clientThread.start();
  }

  NodeConfig config(DiscoveryAgentEmulator discovery, String known) throws IOException {
    return NodeConfig.parse(
        JsonValue.parse(
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"1",
             "known":{"seq":0,"whole":true,"hosts":%s},
             "limits":{"sockets":256},"settings":{"rank":0,"group_size":1,"limits":{"send_cap":2},
              "contract":{"drain_grace":250,"warm_after":18000},
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
                .formatted(discovery.address(), known)),
        Map.of());
  }

  void moveDiscovery(DiscoveryAgentEmulator newDiscovery) throws IOException {
    agent = newDiscovery;
    node.reload(config(newDiscovery, "[]"));
  }

  DiscoveryAgentEmulator.Host host(String id, String health) {
    return new DiscoveryAgentEmulator.Host(id, appServer.address(), health, 0);
  }

  private void sendRequests() {
    long id = 0;
    while (!isClosing) {
      try (FakePeer.Connection connection =
          FakePeer.Connection.connect(((InetSocketAddress) node.address()).getPort())) {
        while (!isClosing) {
          connection.writeCommand(
              "CALL.GET",
              "00000000b4d65521",
              Long.toHexString(++id),
              "c=read,t=p,d=900,units=1,spread=1,first=0");
          if (connection.readMessage().get(0).startsWith("-")) {
            Thread.sleep(1);
          }
        }
      } catch (IOException e) {
        if (isClosing) {
          return;
        }
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  static void await(String description, BooleanSupplier condition) throws InterruptedException {
    long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > untilNanos) {
        throw new AssertionError("never: " + description);
      }
      Thread.sleep(1);
    }
  }

  /** Waits until the client's requests go to this endpoint. */
  void awaitServing(String endpointId) throws InterruptedException {
    target = endpointId;
    long commandsBefore = commandCount.get();
    await(
        "a request at " + endpointId,
        () ->
            endpointStates.get(endpointId) == EndpointState.UP
                && commandCount.get() > commandsBefore + 2);
  }

  /**
   * Waits until the node knows that the endpoint drains; returns the time (ms) from then to the
   * last command at the server.
   */
  double awaitDrained(String endpointId, long drainingSinceNanos) throws InterruptedException {
    await("the drain of " + endpointId, () -> endpointStates.get(endpointId) != EndpointState.UP);
    Thread.sleep(15); // what was written before has been read by then
    return Math.max(0, lastCommandAtNanos.get() - drainingSinceNanos) / 1e6;
  }

  @Override
  public void close() throws IOException {
    isClosing = true;
    clientThread.interrupt();
    agent.close();
    node.shutdown();
    if (!sharesAppServer) {
      appServer.close();
    }
  }

  private final class SingleEndpointPolicy extends NoOpPolicyEvents {
    private final PolicyActions actions;

    SingleEndpointPolicy(PolicyActions actions) {
      this.actions = actions;
    }

    @Override
    public void endpointsChanged(double nowMs, List<EndpointInfo> endpoints, boolean isComplete) {
      for (EndpointInfo s : endpoints) {
        startedAtMs.put(s.id(), s.startedAtMs());
        endpointStates.put(s.id(), s.state());
      }
    }

    @Override
    public void requestArrived(double nowMs, IncomingRequest request) {
      if (endpointStates.get(target) == EndpointState.UP) {
        actions.send(request.id(), target, 0);
      } else {
        actions.reject(request.id(), 0);
      }
    }

    @Override
    public void attemptEnded(
        double nowMs, long id, int attempt, AttemptResult result, boolean isRequestOver) {
      if (!isRequestOver) {
        actions.fail(id);
      }
    }
  }
}
