package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.Agent;
import edgenode.membership.Membership;
import edgenode.policy.EndpointState;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * What connections to servers say beside the list, and lists that cannot be right, on a real node.
 */
@Timeout(60)
class HealthTest {
  private static boolean up(Rig rig, String id) {
    return rig.view.get(id) == EndpointState.UP;
  }

  private static Membership.Figures figures(Rig rig) {
    return CompletableFuture.supplyAsync(
            () -> rig.node.members().figures(), rig.node.loop().group())
        .join();
  }

  /** The process dies, its entry lives on: nothing more is sent. It comes back, and is cold. */
  @Test
  void aDeadServerGetsNothingAndIsColdWhenItIsBack() throws Exception {
    try (Rig rig = new Rig(new Agent(40))) {
      rig.agent.set(rig.host("a", "active"));
      rig.serves("a");
      assertEquals(0, rig.born.get("a"));
      rig.app.die();
      Rig.await("it is known as dead", () -> !up(rig, "a"));
      long asked = rig.agent.requests();
      Rig.await("looks that list it", () -> rig.agent.requests() > asked + 4);
      assertTrue(!up(rig, "a"), "the list brought it back, and nobody answers there");
      double down = System.currentTimeMillis();
      rig.app.back();
      rig.serves("a");
      assertTrue(
          rig.born.get("a") >= down - 1,
          "started at " + rig.born.get("a") + ", was down at " + down);
    }
  }

  /** A list that is suddenly empty is not believed while the servers answer. */
  @Test
  void anEmptyListIsHeldWhileServersAnswer() throws Exception {
    try (Rig rig = new Rig(new Agent(40))) {
      rig.agent.set(rig.host("a", "active"));
      rig.serves("a");
      rig.agent.restart(60, List.of());
      Rig.await("held", () -> figures(rig).held() == 1);
      long before = rig.sends.get();
      Thread.sleep(1500); // longer than an answer counts: the ones that come meanwhile hold it
      assertTrue(up(rig, "a") && rig.sends.get() > before + 10, "held, and used");
      rig.app.die();
      Rig.await("it does not answer any more: the list is right", () -> !up(rig, "a"));
    }
  }

  /**
   * Discovery lost its state and counts from below: a drain from there is honoured, and so is what
   * comes up.
   */
  @Test
  void versionsThatGoBackAreFollowed() throws Exception {
    try (Rig rig = new Rig(new Agent(40))) {
      rig.agent.set(rig.host("a", "active"));
      rig.serves("a");
      int watches = rig.agent.watches();
      rig.agent.restart(3, List.of(rig.host("a", "active"), rig.host("b", "active")));
      rig.serves("b");
      Rig.await("the watch is asked anew", () -> rig.agent.watches() > watches);
      long told = System.nanoTime();
      rig.agent.set(rig.host("b", "leaving"));
      assertTrue(rig.drained("b", told) < Rig.GRACE, "honoured late");
    }
  }
}
