package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.membership.MembershipStats;
import edgenode.policy.EndpointState;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Liveness from connections to servers, and implausible endpoint lists, on a real node. */
@Timeout(60)
class EndpointLivenessTest {
  private static boolean isUp(DiscoveryFixture fixture, String endpointId) {
    return fixture.endpointStates.get(endpointId) == EndpointState.UP;
  }

  private static MembershipStats membershipFigures(DiscoveryFixture fixture) {
    return CompletableFuture.supplyAsync(
            () -> fixture.node.discovery().stats(), fixture.node.loop().group())
        .join();
  }

  /** The process fails while it is listed: nothing is sent to it. It returns, and warms up. */
  @Test
  void deadEndpointGetsNoRequestsAndWarmsUpOnReturn() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      assertEquals(0, fixture.startedAtMs.get("a"));
      fixture.appServer.crash();
      DiscoveryFixture.await("it is known as dead", () -> !isUp(fixture, "a"));
      long requestsBefore = fixture.agent.requestCount();
      DiscoveryFixture.await(
          "looks that list it", () -> fixture.agent.requestCount() > requestsBefore + 4);
      assertTrue(!isUp(fixture, "a"), "the list brought it back, and nobody answers there");
      double downAtMs = System.currentTimeMillis();
      fixture.appServer.restart();
      fixture.awaitServing("a");
      assertTrue(
          fixture.startedAtMs.get("a") >= downAtMs - 1,
          "started at " + fixture.startedAtMs.get("a") + ", was down at " + downAtMs);
    }
  }

  /** A list that is suddenly empty is not applied while the endpoints respond. */
  @Test
  void emptyListIsQuarantinedWhileEndpointsRespond() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      fixture.agent.restart(60, List.of());
      DiscoveryFixture.await("held", () -> membershipFigures(fixture).quarantinedCount() == 1);
      long commandsBefore = fixture.commandCount.get();
      Thread.sleep(
          1500); // longer than a response counts as a sign of life: later responses keep the
      // quarantine
      assertTrue(
          isUp(fixture, "a") && fixture.commandCount.get() > commandsBefore + 10, "held, and used");
      fixture.appServer.crash();
      DiscoveryFixture.await(
          "it does not answer any more: the list is right", () -> !isUp(fixture, "a"));
    }
  }

  /**
   * Discovery lost its state and its versions start again: draining and new endpoints are applied.
   */
  @Test
  void listVersionsThatGoBackwardsAreFollowed() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      int watchesBefore = fixture.agent.watchCount();
      fixture.agent.restart(3, List.of(fixture.host("a", "active"), fixture.host("b", "active")));
      fixture.awaitServing("b");
      DiscoveryFixture.await(
          "the watch is asked anew", () -> fixture.agent.watchCount() > watchesBefore);
      long drainingSinceNanos = System.nanoTime();
      fixture.agent.set(fixture.host("b", "leaving"));
      assertTrue(
          fixture.awaitDrained("b", drainingSinceNanos) < DiscoveryFixture.DRAIN_GRACE_MS,
          "honoured late");
    }
  }
}
