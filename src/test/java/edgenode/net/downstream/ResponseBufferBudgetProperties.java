package edgenode.net.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Bounds of the buffered responses, whatever clients send and read. */
class ResponseBufferBudgetProperties {
  private static final int CONNECTIONS = 40;
  private static final int MAX_VALUE_BYTES = 64 << 10;

  /** Buffered responses stay under the limit, and no connection has more than half of it. */
  @Property(tries = 200, seed = "1")
  void bufferedBytesStayWithinTheLimits(@ForAll long seed) {
    Random random = new Random(seed);
    ResponseBufferBudget budget = new ResponseBufferBudget();
    long[] connectionBytes = new long[CONNECTIONS];
    long totalBytes = 0;
    for (int i = 0; i < 2000; i++) {
      int connection = random.nextInt(1 + random.nextInt(CONNECTIONS));
      if (random.nextInt(5) > 0) {
        int bytes = random.nextInt(MAX_VALUE_BYTES);
        if (budget.canBuffer(connectionBytes[connection], bytes)) {
          budget.add(bytes);
          connectionBytes[connection] += bytes;
          totalBytes += bytes;
        }
      } else {
        long bytes = connectionBytes[connection] / (1 + random.nextInt(3));
        budget.remove(bytes);
        connectionBytes[connection] -= bytes;
        totalBytes -= bytes;
      }
      assertEquals(totalBytes, budget.bufferedBytes());
      assertTrue(totalBytes <= ResponseBufferBudget.MAX_TOTAL_BYTES);
      assertTrue(connectionBytes[connection] <= ResponseBufferBudget.MAX_TOTAL_BYTES / 2);
    }
  }

  /**
   * Clients that ask for as much as they may, and read nothing, leave capacity for a client that
   * has nothing buffered, also where responses are larger than those before.
   */
  @Property(tries = 200, seed = "2")
  void slowClientsLeaveBufferForOthers(@ForAll long seed) {
    Random random = new Random(seed);
    ResponseBufferBudget budget = new ResponseBufferBudget();
    budget.responseReceived(MAX_VALUE_BYTES);
    int clients = 1 + random.nextInt(CONNECTIONS);
    long[] connectionBytes = new long[clients];
    for (int i = 0; i < 3000; i++) {
      int client = random.nextInt(clients);
      if (budget.canStart(connectionBytes[client], 0)) {
        connectionBytes[client] += MAX_VALUE_BYTES;
        budget.add(MAX_VALUE_BYTES);
        budget.responseReceived(MAX_VALUE_BYTES);
      }
      assertTrue(budget.canStart(0, 0));
      assertTrue(budget.canBuffer(0, MAX_VALUE_BYTES));
    }
  }

  /** Short responses let a client send as many commands at once as are admitted. */
  @Test
  void shortResponsesAllowDeepPipelines() {
    ResponseBufferBudget budget = new ResponseBufferBudget();
    assertTrue(budget.canStart(0, 255));
    budget.responseReceived(MAX_VALUE_BYTES);
    assertFalse(budget.canStart(0, 255));
    for (int i = 0; i < 100; i++) {
      budget.responseReceived(200);
    }
    assertTrue(budget.canStart(0, 255));
  }

  /**
   * Without free bytes nothing is started, and a connection with nothing buffered is no exception.
   */
  @Test
  void nothingIsStartedWhereTheLimitIsReached() {
    ResponseBufferBudget budget = new ResponseBufferBudget();
    budget.add(ResponseBufferBudget.MAX_TOTAL_BYTES);
    assertFalse(budget.canStart(0, 0));
    assertFalse(budget.canBuffer(0, 1));
    budget.remove(1);
    assertTrue(budget.canStart(0, 0));
  }
}
