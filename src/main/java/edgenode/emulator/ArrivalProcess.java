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
  public interface RateCurve {
    double ratePerSecond(double ms);
  }

  /**
   * A campus that asks.
   *
   * @param id 16 hex digits, below 2^33
   * @param planName named as in the settings
   * @param weight its part of all requests, against the others'
   */
  public record Customer(String id, String planName, double weight) {
    public Customer {
      if (!id.matches("0{7}[01][0-9a-f]{8}") || !(weight > 0)) {
        throw new IllegalArgumentException("no customer, or no weight: " + id + " " + weight);
      }
    }
  }

  /**
   * A class of requests.
   *
   * @param hasIdempotencyKey whether each has an idempotency key and goes by CALL.POST
   * @param patienceMs how long its client waits
   * @param weight its part of all requests, against the others'
   */
  public record RequestKind(
      String name, boolean hasIdempotencyKey, double patienceMs, double weight) {}

  /** One request: {@code at} ms from the start; {@code key} is null in a class without. */
  public record Arrival(
      long number, double atMs, Customer customer, RequestKind kind, String idempotencyKey) {}

  private final List<Customer> customers;
  private final List<RequestKind> requestKinds;
  private final RateCurve rate;
  private final double peakRatePerSecond;
  private final Random random;
  private double nowMs;
  private long number;

  /**
   * @param peakRatePerSecond the highest rate (a second) that the curve reaches
   */
  public ArrivalProcess(
      long seed,
      List<Customer> customers,
      List<RequestKind> requestKinds,
      RateCurve rate,
      double peakRatePerSecond) {
    if (customers.isEmpty() || requestKinds.isEmpty() || !(peakRatePerSecond > 0)) {
      throw new IllegalArgumentException("no campus, no class, or no rate");
    }
    this.customers = List.copyOf(customers);
    this.requestKinds = List.copyOf(requestKinds);
    this.rate = rate;
    this.peakRatePerSecond = peakRatePerSecond;
    random = new Random(seed);
  }

  /** The next one; the times never go back. */
  public Arrival next() {
    do {
      nowMs += -Math.log(1 - random.nextDouble()) / peakRatePerSecond * 1000;
    } while (random.nextDouble() * peakRatePerSecond > rate.ratePerSecond(nowMs));
    double customerDraw =
        random.nextDouble() * customers.stream().mapToDouble(Customer::weight).sum();
    double kindDraw =
        random.nextDouble() * requestKinds.stream().mapToDouble(RequestKind::weight).sum();
    Customer chosenCustomer = customers.get(customers.size() - 1);
    for (Customer candidate : customers) {
      customerDraw -= candidate.weight;
      if (customerDraw < 0) {
        chosenCustomer = candidate;
        break;
      }
    }
    RequestKind chosenKind = requestKinds.get(requestKinds.size() - 1);
    for (RequestKind candidate : requestKinds) {
      kindDraw -= candidate.weight;
      if (kindDraw < 0) {
        chosenKind = candidate;
        break;
      }
    }
    String key =
        chosenKind.hasIdempotencyKey ? Long.toHexString(random.nextLong() | 1L << 63) : null;
    return new Arrival(++number, nowMs, chosenCustomer, chosenKind, key);
  }
}
