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
  private record Begun(String key, double at) {}

  private final String name;
  private final int block;
  private final double window;
  private final Map<String, Double> begun = new HashMap<>();
  private final ArrayDeque<Begun> order = new ArrayDeque<>();

  /**
   * @param name of its site
   * @param block its number, as lists tell it
   * @param window for how long (ms) a repeat is known
   */
  public IdempotencyGroupModel(String name, int block, double window) {
    this.name = name;
    this.block = block;
    this.window = window;
  }

  public String site() {
    return name;
  }

  public int block() {
    return block;
  }

  /** A keyed request begins; true where it began within the window before, and so is dropped. */
  public boolean repeated(double now, String customer, String key) {
    while (!order.isEmpty() && order.peek().at + window <= now) {
      Begun old = order.poll();
      begun.remove(old.key, old.at);
    }
    String whole = customer + '/' + key;
    if (begun.containsKey(whole)) {
      return true;
    }
    begun.put(whole, now);
    order.add(new Begun(whole, now));
    return false;
  }

  int remembered() {
    return order.size();
  }
}
