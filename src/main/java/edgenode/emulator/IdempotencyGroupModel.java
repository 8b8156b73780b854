package edgenode.emulator;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * What the servers of one rack know together of keyed requests: one that begins there again within
 * the window has no second effect. Memory is bounded by what begins within a window. Not safe for
 * use by several threads.
 */
public final class IdempotencyGroupModel {
  private record StartedRequest(String key, double startedAtMs) {}

  private final String site;
  private final int block;
  private final double windowMs;
  private final Map<String, Double> startedAtByKey = new HashMap<>();
  private final ArrayDeque<StartedRequest> startedInOrder = new ArrayDeque<>();

  /**
   * @param site of its site
   * @param block its number, as lists tell it
   * @param windowMs for how long (ms) a repeat is known
   */
  public IdempotencyGroupModel(String site, int block, double windowMs) {
    this.site = site;
    this.block = block;
    this.windowMs = windowMs;
  }

  public String site() {
    return site;
  }

  public int block() {
    return block;
  }

  /** A keyed request begins; true where it began within the window before, and so is dropped. */
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
