package edgenode.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgenode.policy.EndpointState;
import org.junit.jupiter.api.Test;

/** Endpoints that are listed at one address: the process that has started last has it. */
class AddressOwnersTest extends MembershipFixture {
  /**
   * Guards against work that was sent to a process that had come up at the address of another one,
   * for which it was taken until the list had the old one removed.
   */
  @Test
  void endpointWhoseAddressANewOneTakesGetsNothingNew() {
    start("s0", "s1");
    DiscoveredEndpoint newProcess = endpoint("t0", "s0:1", EndpointState.UP, nowMs);
    receive(SOURCE_A, 41, false, newProcess);
    assertEquals("s1 t0", upEndpoints());
    receive(SOURCE_A, 42, false, down("s0"));
    receive(SOURCE_A, 43, false, up("s0")); // it is changed, and has not started anew
    assertEquals("s1 t0", upEndpoints());
    receive(SOURCE_A, 44, true, up("s0"), up("s1"), newProcess);
    assertEquals("s1 t0", upEndpoints());
    receive(SOURCE_A, 45, false, endpoint("s0", "s0:2", EndpointState.UP, 0));
    advance(1000);
    assertEquals("s0 s1 t0", upEndpoints()); // it has an address of its own again
  }

  /** An endpoint whose process starts once more at its old address has it again. */
  @Test
  void endpointThatStartsAgainHasItsAddressAgain() {
    start("s0", "s1");
    receive(SOURCE_A, 41, false, endpoint("t0", "s0:1", EndpointState.UP, nowMs));
    assertEquals("s1 t0", upEndpoints());
    receive(SOURCE_A, 42, false, endpoint("s0", "s0:1", EndpointState.UP, nowMs + 1));
    advance(1000);
    assertEquals("s0 s1", upEndpoints());
  }

  /** Once the later process is removed, the list counts for the earlier one. */
  @Test
  void laterStartedOfTwoAtOneAddressHasIt() {
    receive(
        SOURCE_A,
        40,
        true,
        endpoint("s0", "x:1", EndpointState.UP, 2),
        endpoint("s1", "x:1", EndpointState.UP, 1),
        endpoint("s2", "y:1", EndpointState.UP, 1),
        endpoint("s3", "y:1", EndpointState.UP, 1));
    assertEquals("s0 s2 s3", upEndpoints()); // of the last two it is not known
    receive(SOURCE_A, 41, false, removed("s0"));
    advance(1000);
    assertEquals("s1 s2 s3", upEndpoints());
  }

  /** Guards against keeping an endpoint for alive, as another one answers at its address. */
  @Test
  void missingEndpointWhoseAddressIsTakenIsNotQuarantined() {
    start("s0", "s1", "s2", "s3", "s4");
    receive(SOURCE_A, 41, true, endpoint("t0", "s0:1", EndpointState.UP, 0));
    assertEquals("s1 s2 s3 s4 t0", upEndpoints());
    receive(SOURCE_A, 42, false, endpoint("t1", "s1:1", EndpointState.UP, 0));
    assertEquals("s2 s3 s4 t0 t1", upEndpoints());
  }
}
