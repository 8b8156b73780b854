package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What the policy remembers while requests come under ever new names, or with very long waits. */
class CustomerMemoryTest {
  private static final int REQUESTS = 100_000;
  private static final int MAX_CUSTOMERS = 500;

  /** A request that is not sent in so short a time (ms). */
  private static final double SHORT_WAIT_MS = 20;

  private static void arrive(FakeGateway gateway, long id, String customerName, double waitMs) {
    gateway.engine.requestArrived(
        gateway.nowMs,
        new IncomingRequest(id, "read", "big", customerName, waitMs, 1, 2, 0, false));
  }

  /**
   * Guards against memory that grew without end, and quota ticks of ever more customers, while one
   * client sent requests under ever new names that could not be sent in time.
   */
  @Test
  void customersOfWhichNothingWasSentAreNotRemembered() {
    FakeGateway gateway = FakeGateway.withoutCounter().start(); // no endpoints: nothing is sent
    for (int i = 1; i <= REQUESTS; i++) {
      arrive(gateway, i, "customer " + i, SHORT_WAIT_MS);
      if (i % 100 == 0) {
        gateway.advanceTo(gateway.nowMs + 2 * SHORT_WAIT_MS);
      }
    }
    int remembered = gateway.engine.customers().size();
    assertTrue(remembered <= 2 * CustomerTable.MANY_CUSTOMERS, remembered + " customers");
  }

  /** With as many customers as can be remembered, a further one is rejected; known ones are not. */
  @Test
  void furtherCustomersAreRejectedAtTheLimit() {
    FakeGateway gateway = new FakeGateway();
    gateway.maxCustomers = MAX_CUSTOMERS;
    gateway.start().listEndpoints(6);
    for (int i = 1; i <= MAX_CUSTOMERS; i++) {
      arrive(gateway, i, "customer " + i, 2000);
    }
    long before = gateway.actionCount("reject");
    arrive(gateway, REQUESTS, "further", 2000);
    assertEquals(before + 1, gateway.actionCount("reject"));
    arrive(gateway, REQUESTS + 1, "customer 1", 2000);
    assertEquals(before + 1, gateway.actionCount("reject"));
  }

  /** Guards against timers that held each request for as long as its client would have waited. */
  @Test
  void finishedRequestsAreNotHeldByTheirTimers() {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(6);
    for (int i = 1; i <= REQUESTS / 10; i++) {
      arrive(gateway, i, "one", 3_600_000);
      gateway.answerCounter(CallOutcome.OK);
      if (gateway.lastEndpointOf(i) != null) {
        gateway.answerAfter(i, 20);
      }
      gateway.actions.clear();
      gateway.advanceTo(gateway.nowMs + 10);
    }
    int timers = gateway.engine.timers().size();
    assertTrue(timers < 9000, timers + " timers");
  }
}
