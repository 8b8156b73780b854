package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.emulator.AppServerEmulator;
import edgenode.emulator.AppServerListener;
import edgenode.emulator.CapacityModel;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.emulator.IdempotencyGroupModel;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointHealthListener;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.node.EdgeNode;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.PolicyEngine;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A whole fleet that starts at one moment asks more of discovery than it can serve: a node must not
 * wait for it.
 */
@Timeout(60)
class FleetStartTest {
  /**
   * Ms from the start of the node's own code until it listens, with discovery silent; code takes no
   * time here.
   */
  private static double up(boolean known, List<String> log) throws Exception {
    VirtualLoop loop = new VirtualLoop();
    LocalTransport transport = new LocalTransport("start" + known);
    NettyEdgeEventLoop world = new NettyEdgeEventLoop(loop, transport, loop, log::add);
    DiscoveryEmulator discovery =
        new DiscoveryEmulator(world, 0, (now, host) -> {})
            .start(new InetSocketAddress("10.1.0.1", 7000));
    new CounterEmulator(world, CounterEmulator.Limits.DEFAULT, new Trace())
        .start(new InetSocketAddress("10.1.0.2", 7000));
    AppServerEmulator server =
        new AppServerEmulator(
                world,
                "s0",
                new IdempotencyGroupModel("a", 0, 7500),
                new CapacityModel.Size(2, 16, 32, 8, 0.3, 5000),
                AppServerEmulator.ConnectionOptions.DEFAULT,
                new AppServerListener() {},
                1)
            .start(new InetSocketAddress("10.2.0.1", 7000));
    discovery.set(server.entry("active"));
    discovery.setSilent(true);
    String list =
        known
            ? "{\"seq\":1,\"whole\":true,\"hosts\":[" + server.entry("active").json() + "]}"
            : "null";
    String told =
        EmulatedWorld.CONFIG.formatted(
            "n0", "10.3.0.1:7000", "10.1.0.1:7000", "10.1.0.2:7000", 1L, 0, 14);
    NodeConfig config =
        NodeConfig.parse(
            JsonValue.parse(told.replaceFirst("\\{", "{\"known\":" + list + ",")), Map.of());
    EdgeNode node =
        new EdgeNode(config, PolicyEngine::new, null, new ProcessLoop(loop, transport, log::add));
    CompletableFuture<Void> up = node.startAsync(part -> {});
    double at = 0;
    while (!up.isDone() && at < 10_000) {
      at += 10;
      loop.runUntil(at);
    }
    return at;
  }

  @Test
  void aNodeThatKnowsAListServesFromItWhileDiscoveryIsSilent() throws Exception {
    List<String> log = new ArrayList<>();
    double ms = up(true, log);
    assertTrue(ms <= 300, "listens after " + ms + " ms: " + log);
  }

  @Test
  void aNodeThatKnowsNothingWaitsForDiscovery() throws Exception {
    double ms = up(false, new ArrayList<>());
    assertTrue(ms >= 3990 && ms < 10_000, "listens after " + ms + " ms");
  }

  /**
   * A hundred nodes by sixty servers: nearly all connections opened ahead never carried a request.
   */
  @Test
  void onlySmallFleetsConnectAhead() throws Exception {
    assertEquals(1, connectsAhead(3));
    assertEquals(0, connectsAhead(100));
  }

  private static int connectsAhead(int nodes) throws Exception {
    VirtualLoop loop = new VirtualLoop();
    LocalTransport transport = new LocalTransport("ahead" + nodes);
    NettyEdgeEventLoop world = new NettyEdgeEventLoop(loop, transport, loop, line -> {});
    AppServerEmulator server =
        new AppServerEmulator(
                world,
                "s0",
                new IdempotencyGroupModel("a", 0, 7500),
                new CapacityModel.Size(2, 16, 32, 8, 0.3, 5000),
                AppServerEmulator.ConnectionOptions.DEFAULT,
                new AppServerListener() {},
                1)
            .start(new InetSocketAddress("10.2.0.1", 7000));
    NodeConfig config =
        NodeConfig.parse(
            JsonValue.parse(
                EmulatedWorld.CONFIG.formatted(
                    "n0", "10.3.0.1:7000", "10.1.0.1:7000", "10.1.0.2:7000", 1L, 0, nodes)),
            Map.of());
    int[] connects = {0};
    EndpointHealthListener health =
        new EndpointHealthListener() {
          @Override
          public void connected(String id) {
            connects[0]++;
          }

          @Override
          public void responded(String id) {}

          @Override
          public void connectFailed(String id, boolean refused, int standing) {}
        };
    UpstreamConnectionPool pool =
        new UpstreamConnectionPool(
            new ProcessLoop(loop, transport, line -> {}),
            health,
            (id, outcome, took, load) -> {},
            config,
            64);
    pool.endpointsChanged(
        List.of(
            new DiscoveredEndpoint(
                new EndpointInfo("s0", 0, "a", EndpointState.UP, "k", 0, 1),
                server.entry("active").dial())));
    loop.runUntil(1000);
    assertTrue(pool.whenReady().isDone());
    return connects[0];
  }
}
