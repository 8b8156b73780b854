package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.NodeConfig;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.policy.EndpointState;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentSkipListMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The platform's agent as a source, against an emulator on loopback. */
@Timeout(60)
class AgentSourceTest extends EndpointSourceFixture {
  private static DiscoveryAgentEmulator.Host host(String id, int port, String health) {
    return new DiscoveryAgentEmulator.Host(id, "127.0.0.1:" + port, health, 0);
  }

  private static SourceDefinition sourceOf(DiscoveryAgentEmulator agent) {
    return MembershipService.agentSource(NodeConfig.parseAddress(agent.address()));
  }

  /** One endpoint without an address cost the whole list. */
  @Test
  void invalidEndpointOfALongListIsSkipped() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      for (int i = 0; i < 10_000; i++) {
        agent.set(
            new DiscoveryAgentEmulator.Host(
                "s" + i, i == 77 ? "" : "127.0.0.1:" + (1000 + i), "active", 0));
      }
      start(0, sourceOf(agent));
      awaitCondition("all but one", () -> view.size() == 9999);
      assertTrue(
          log.stream().anyMatch(line -> line.contains("s77 has no address")), log.toString());
      agent.set(host("s5", 1005, "leaving"));
      awaitCondition("the drain", () -> view.get("s5").info().state() == EndpointState.DRAINING);
      agent.stallNow(DiscoveryAgentEmulator.ConnectionKind.WATCH);
      agent.set(host("s6", 1006, "leaving"));
      long setAt = System.nanoTime();
      awaitCondition(
          "the drain of a long list, its watch stalled",
          () -> view.get("s6").info().state() == EndpointState.DRAINING);
      System.out.printf(
          "list of 10,000, watch stalled: %.0f ms%n", (System.nanoTime() - setAt) / 1e6);
    }
  }

  /** A message that is no list costs its connection, and what follows counts. */
  @Test
  void malformedMessagesChangeNothing() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(host("a", 1001, "active"));
      agent.set(host("b", 1002, "active"));
      start(0, sourceOf(agent));
      awaitUp("a b");
      int watches = 0;
      for (String malformed :
          List.of(
              "{\"seq\":99,\"whole\":true",
              "{\"seq\":99,\"whole\":true,\"hosts\":7}",
              "[]",
              "null",
              "{\"seq\":99,\"whole\":true,\"hosts\":[{\"host\":",
              "\u0001 noise \u0002",
              "\"text\"")) {
        int watchesBefore = watches++;
        awaitCondition("a watch", () -> agent.watchCount() > watchesBefore);
        int before = failures.get();
        agent.sendMalformedLine(malformed);
        awaitCondition("the watch ends at " + malformed, () -> failures.get() > before);
        assertEquals("a b", upEndpoints());
      }
      int watchesBefore = watches;
      awaitCondition("a watch", () -> agent.watchCount() > watchesBefore);
      // a negative version removes nothing and brings nothing up
      agent.sendMalformedLine("{\"seq\":-4,\"whole\":true,\"hosts\":[]}");
      agent.sendMalformedLine(
          "{\"seq\":-4,\"whole\":false,\"hosts\":[{\"host\":\"q\",\"dial\":\"127.0.0.1:1\","
              + "\"health\":\"active\"}]}");
      agent.set(host("c", 1003, "active"));
      awaitUp("a b c");
    }
  }

  /** A line without end filled the memory. */
  @Test
  void lineOfAHundredMegabytesIsCutOff() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(host("a", 1001, "active"));
      agent.sendOversizedLine(100L << 20);
      start(0, sourceOf(agent));
      awaitCondition(
          "cut off",
          () ->
              log.stream()
                  .anyMatch(line -> line.contains("rejected a list of more than 8388608 bytes")));
      assertTrue(agent.sentByteCount() < 32L << 20, "sent " + agent.sentByteCount());
      agent.set(host("b", 1002, "active"));
      awaitUp("a b");
    }
  }

  @Test
  void viewFollowsAThousandEndpointsOfWhichATenthChangeEachSecond() throws Exception {
    Random random = new Random(5);
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      Map<String, String> truth = new ConcurrentSkipListMap<>();
      for (int i = 0; i < 1000; i++) {
        agent.set(host("s" + i, 2000 + i, "active"));
        truth.put("s" + i, "active");
      }
      start(0, sourceOf(agent));
      awaitCondition("all", () -> view.size() == 1000);
      for (int i = 0; i < 300; i++) {
        String id = "s" + random.nextInt(1000);
        String health = List.of("active", "leaving", "left").get(random.nextInt(3));
        agent.set(host(id, 2000 + Integer.parseInt(id.substring(1)), health));
        truth.put(id, health);
        Thread.sleep(10);
      }
      truth.values().removeIf(health -> health.equals("left"));
      awaitCondition(
          "the truth",
          () ->
              view.keySet().equals(truth.keySet())
                  && view.values().stream()
                      .allMatch(
                          endpoint ->
                              (endpoint.info().state() == EndpointState.UP)
                                  == truth.get(endpoint.info().id()).equals("active")));
    }
  }

  /** From A to B and back while the first connect to A was pending: that connect was used. */
  @Test
  void sourceMovesBackWhileAConnectIsPending() throws Exception {
    ServerSocket busyListener = new ServerSocket();
    try (DiscoveryAgentEmulator agentB = new DiscoveryAgentEmulator(10)) {
      busyListener.bind(new InetSocketAddress("127.0.0.1", 0), 1);
      List<Socket> queued = fillAcceptQueue(busyListener);
      int port = busyListener.getLocalPort();
      SourceDefinition sourceA =
          MembershipService.agentSource(NodeConfig.parseAddress("127.0.0.1:" + port));
      SourceDefinition sourceB = sourceOf(agentB);
      agentB.set(host("b1", 1001, "active"));
      start(0, sourceA);
      Thread.sleep(200);
      group.execute(() -> membership.replaceSource(sourceA, sourceB));
      awaitUp("b1");
      group.execute(() -> membership.replaceSource(sourceB, sourceA));
      for (Socket socket : queued) {
        socket.close();
      }
      busyListener.close();
      try (DiscoveryAgentEmulator agentA = new DiscoveryAgentEmulator("127.0.0.1", port, 20)) {
        agentA.set(host("a1", 1002, "active"));
        awaitUp("a1");
        agentB.set(host("b2", 1003, "active")); // nobody listens there any more
        agentA.set(host("a2", 1004, "active"));
        awaitUp("a1 a2");
        Thread.sleep(1200); // by then the connects of the first A are over
        assertEquals(1, agentA.watchCount(), "the first A's connect came up and was used");
      }
    } finally {
      busyListener.close();
    }
  }

  /** Connects until the queue is full: further connects stay pending. */
  private static List<Socket> fillAcceptQueue(ServerSocket listener) throws IOException {
    List<Socket> queued = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      Socket socket = new Socket();
      queued.add(socket);
      try {
        socket.connect(listener.getLocalSocketAddress(), 100);
      } catch (SocketTimeoutException e) {
        break;
      }
    }
    return queued;
  }

  /** Removed and added again under its id and address within 100 ms. */
  @Test
  void endpointRemovedAndAddedAtOnceIsUsedAgain() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(host("a", 1001, "active"));
      agent.set(host("b", 1002, "active"));
      start(0, sourceOf(agent));
      awaitUp("a b");
      agent.set(host("a", 1001, "left"));
      awaitUp("b");
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "active", 5000));
      awaitUp("a b");
      assertEquals(5000, view.get("a").info().startedAtMs());
    }
  }
}
