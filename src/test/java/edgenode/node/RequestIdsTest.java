package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which request ids are remembered, and for how long. */
class RequestIdsTest {
  private final RequestIds ids = new RequestIds();

  @Test
  void idOfAnEndedRequestMayComeAgain() {
    ids.opened("a");
    assertTrue(ids.isOpen("a"));
    ids.closed("a");
    assertFalse(ids.isOpen("a"));
    assertFalse(ids.mayHaveRun("a", 0));
  }

  @Test
  void idOfALeftClientIsRememberedForItsTime() {
    ids.opened("a");
    ids.abandoned("a", 0);
    assertFalse(ids.isOpen("a"));
    assertTrue(ids.mayHaveRun("a", RequestIds.RETENTION_MS - 1));
    assertFalse(ids.mayHaveRun("a", RequestIds.RETENTION_MS));
  }

  /** Guards against memory that grows with each client that leaves. */
  @Test
  void numberOfRememberedIdsIsBounded() {
    int clients = 3 * RequestIds.MAX_ABANDONED;
    for (int i = 0; i < clients; i++) {
      ids.abandoned("id" + i, 0);
      assertTrue(ids.abandonedCount() <= RequestIds.MAX_ABANDONED);
    }
    assertTrue(ids.mayHaveRun("id" + (clients - 1), 1));
    ids.abandoned("last", RequestIds.RETENTION_MS);
    assertEquals(1, ids.abandonedCount());
  }
}
