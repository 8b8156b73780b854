package edgenode.emulator;

import java.util.List;
import java.util.Random;

/**
 * Requests of clients, drawn ahead from a seed: a Poisson process whose rate follows a curve
 * (thinning; Lewis and Shedler 1979). No arrival depends on the fate of earlier ones, so a slow
 * edge node gets no less load. No I/O; not safe for use by several threads.
 */
public final class ArrivalProcess {
  /** The arrival rate as a function of time; never above the peak that the process was given. */
  public interface RateCurve {
    /** Requests per second at {@code ms} from the start. */
    double ratePerSecond(double ms);
  }

  /**
   * A customer that sends requests.
   *
   * @param id 16 hex digits, below 2^33
   * @param planName named as in the settings
   * @param weight share of all requests, relative to the other customers; above 0
   */
  public record Customer(String id, String planName, double weight) {
    /** Checks the id and the weight. */
    public Customer {
      if (!id.matches("0{7}[01][0-9a-f]{8}") || !(weight > 0)) {
        throw new IllegalArgumentException("no customer id, or no weight: " + id + " " + weight);
      }
    }
  }

  /**
   * A kind of requests.
   *
   * @param name of the request class in the settings
   * @param hasIdempotencyKey whether each has an idempotency key and goes by CALL.POST
   * @param patienceMs how long its client waits
   * @param weight share of all requests, relative to the other kinds
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
   * Creates a process that starts at time 0.
   *
   * @param peakRatePerSecond the highest rate that the curve reaches, above 0
   */
  public ArrivalProcess(
      long seed,
      List<Customer> customers,
      List<RequestKind> requestKinds,
      RateCurve rate,
      double peakRatePerSecond) {
    if (customers.isEmpty() || requestKinds.isEmpty() || !(peakRatePerSecond > 0)) {
      throw new IllegalArgumentException("no customer, no request kind, or no rate");
    }
    this.customers = List.copyOf(customers);
    this.requestKinds = List.copyOf(requestKinds);
    this.rate = rate;
    this.peakRatePerSecond = peakRatePerSecond;
    random = new Random(seed);
  }

  /** Draws the next request; times never decrease. */
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
