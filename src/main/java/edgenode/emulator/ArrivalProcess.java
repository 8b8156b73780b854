package edgenode.emulator;

import java.util.List;
import java.util.Random;

/**
 * What clients ask, drawn ahead from a seed: a Poisson process whose rate follows a curve
 * (thinning; Lewis and Shedler 1979). No arrival depends on what became of those before, so a slow
 * edge node is not spared. A pure core.
 */
public final class ArrivalProcess {
  /**
   * The rate at a time: requests a second at {@code at} ms from the start, never above {@code *
   * most}.
   */
  public interface Rate {
    double at(double ms);
  }

  /**
   * A campus that asks.
   *
   * @param customer 16 hex digits, below 2^33
   * @param plan named as in the settings
   * @param weight its part of all requests, against the others'
   */
  public record Campus(String customer, String plan, double weight) {
    public Campus {
      if (!customer.matches("0{7}[01][0-9a-f]{8}") || !(weight > 0)) {
        throw new IllegalArgumentException("no customer, or no weight: " + customer + " " + weight);
      }
    }
  }

  /**
   * A class of requests.
   *
   * @param keyed whether each has an idempotency key and goes by CALL.POST
   * @param patienceMs how long its client waits
   * @param weight its part of all requests, against the others'
   */
  public record Kind(String name, boolean keyed, double patienceMs, double weight) {}

  /** One request: {@code at} ms from the start; {@code key} is null in a class without. */
  public record Arrival(long number, double at, Campus campus, Kind kind, String key) {}

  private final List<Campus> campuses;
  private final List<Kind> kinds;
  private final Rate rate;
  private final double most;
  private final Random random;
  private double at;
  private long number;

  /**
   * @param most the highest rate (a second) that the curve reaches
   */
  public ArrivalProcess(
      long seed, List<Campus> campuses, List<Kind> kinds, Rate rate, double most) {
    if (campuses.isEmpty() || kinds.isEmpty() || !(most > 0)) {
      throw new IllegalArgumentException("no campus, no class, or no rate");
    }
    this.campuses = List.copyOf(campuses);
    this.kinds = List.copyOf(kinds);
    this.rate = rate;
    this.most = most;
    random = new Random(seed);
  }

  /** The next one; the times never go back. */
  public Arrival next() {
    do {
      at += -Math.log(1 - random.nextDouble()) / most * 1000;
    } while (random.nextDouble() * most > rate.at(at));
    double campus = random.nextDouble() * campuses.stream().mapToDouble(Campus::weight).sum();
    double kind = random.nextDouble() * kinds.stream().mapToDouble(Kind::weight).sum();
    Campus who = campuses.get(campuses.size() - 1);
    for (Campus c : campuses) {
      campus -= c.weight;
      if (campus < 0) {
        who = c;
        break;
      }
    }
    Kind what = kinds.get(kinds.size() - 1);
    for (Kind k : kinds) {
      kind -= k.weight;
      if (kind < 0) {
        what = k;
        break;
      }
    }
    String key = what.keyed ? Long.toHexString(random.nextLong() | 1L << 63) : null;
    return new Arrival(++number, at, who, what, key);
  }
}
