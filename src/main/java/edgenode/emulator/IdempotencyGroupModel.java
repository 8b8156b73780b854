package edgenode.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What the servers of one idempotency group know together of keyed requests: a request that starts
 * there again within the window has no second effect. Memory is bounded by the requests of one
 * window. Not safe for use by several threads.
 */
public final class IdempotencyGroupModel {
  private record StartedRequest(String key, double startedAtMs) {}

  private final String site;
  private final int block;
  private final double windowMs;
  private final Map<String, Double> startedAtByKey = new HashMap<>();
  private final ArrayDeque<StartedRequest> startedInOrder = new ArrayDeque<>();

  /**
   * Creates a group without requests.
   *
   * @param site name of its site in the endpoint list
   * @param block its number in the endpoint list
   * @param windowMs how long a duplicate is recognised
   */
  public IdempotencyGroupModel(String site, int block, double windowMs) {
    this.site = site;
    this.block = block;
    this.windowMs = windowMs;
  }

  /** Name of the site in the endpoint list. */
  public String site() {
    return site;
  }

  /** Number of the group in the endpoint list. */
  public int block() {
    return block;
  }

  /** Records the start of a keyed request; true where it is a duplicate within the window. */
  public boolean startOrFindDuplicate(double nowMs, String customer, String key) {
    while (!startedInOrder.isEmpty() && startedInOrder.peek().startedAtMs + windowMs <= nowMs) {
      StartedRequest expired = startedInOrder.poll();
      startedAtByKey.remove(expired.key, expired.startedAtMs);
    }
    String customerKey = customer + '/' + key;
    if (startedAtByKey.containsKey(customerKey)) {
      return true;
    }
    startedAtByKey.put(customerKey, nowMs);
    startedInOrder.add(new StartedRequest(customerKey, nowMs));
    return false;
  }

  int cachedKeyCount() {
    return startedInOrder.size();
  }
}
