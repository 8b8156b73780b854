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

/**
 * What connections to servers say beside the list, and lists that cannot be right, on a real node.
 */
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

  /** The process dies, its entry lives on: nothing more is sent. It comes back, and is cold. */
  @Test
  void deadEndpointGetsNoRequestsAndWarmsUpOnReturn() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      assertEquals(0, fixture.startedAtMs.get("a"));
      fixture.appServer.die();
      DiscoveryFixture.await("it is known as dead", () -> !isUp(fixture, "a"));
      long requestsBefore = fixture.agent.requests();
      DiscoveryFixture.await(
          "looks that list it", () -> fixture.agent.requests() > requestsBefore + 4);
      assertTrue(!isUp(fixture, "a"), "the list brought it back, and nobody answers there");
      double downAtMs = System.currentTimeMillis();
      fixture.appServer.back();
      fixture.awaitServing("a");
      assertTrue(
          fixture.startedAtMs.get("a") >= downAtMs - 1,
          "started at " + fixture.startedAtMs.get("a") + ", was down at " + downAtMs);
    }
  }

  /** A list that is suddenly empty is not believed while the servers answer. */
  @Test
  void emptyListIsQuarantinedWhileEndpointsRespond() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      fixture.agent.restart(60, List.of());
      DiscoveryFixture.await("held", () -> membershipFigures(fixture).quarantinedCount() == 1);
      long commandsBefore = fixture.commandCount.get();
      Thread.sleep(1500); // longer than an answer counts: the ones that come meanwhile hold it
      assertTrue(
          isUp(fixture, "a") && fixture.commandCount.get() > commandsBefore + 10, "held, and used");
      fixture.appServer.die();
      DiscoveryFixture.await(
          "it does not answer any more: the list is right", () -> !isUp(fixture, "a"));
    }
  }

  /**
   * Discovery lost its state and counts from below: a drain from there is honoured, and so is what
   * comes up.
   */
  @Test
  void listVersionsThatGoBackwardsAreFollowed() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      fixture.agent.set(fixture.host("a", "active"));
      fixture.awaitServing("a");
      int watchesBefore = fixture.agent.watches();
      fixture.agent.restart(3, List.of(fixture.host("a", "active"), fixture.host("b", "active")));
      fixture.awaitServing("b");
      DiscoveryFixture.await(
          "the watch is asked anew", () -> fixture.agent.watches() > watchesBefore);
      long drainingSinceNanos = System.nanoTime();
      fixture.agent.set(fixture.host("b", "leaving"));
      assertTrue(
          fixture.awaitDrained("b", drainingSinceNanos) < DiscoveryFixture.DRAIN_GRACE_MS,
          "honoured late");
    }
  }
}
