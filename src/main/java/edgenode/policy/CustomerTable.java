package edgenode.policy;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The customers seen lately. Those with traffic are active: each quota tick goes through them. */
final class CustomerTable {
  private final boolean hasCounter;
  private final PolicyTimers timers;
  private final Map<String, QuotaPlan> plans = new HashMap<>();
  private final Map<String, Customer> byName = new HashMap<>();
  private final Set<Customer> active = new LinkedHashSet<>();

  CustomerTable(PolicySettings settings, PolicyTimers timers) {
    this.timers = timers;
    hasCounter = settings.capabilities().hasCounter();
    for (QuotaPlan plan : settings.plans()) {
      plans.put(plan.name(), plan);
    }
  }

  /** The plan of a name, null where the settings have none. */
  QuotaPlan findPlan(String planName) {
    return plans.get(planName);
  }

  /**
   * The customer of a request, with the plan of its first request: a customer whose plan changes
   * keeps its former plan until {@link #forgetIdle} has forgotten it, after 30 s without requests
   * at the earliest.
   */
  Customer findOrAdd(IncomingRequest request, QuotaPlan plan, double usualGrantShare) {
    double nowMs = timers.nowMs();
    Customer customer = byName.get(request.customerName());
    if (customer == null) {
      customer =
          new Customer(
              request.customerName(),
              plan,
              request.nodeSpread(),
              hasCounter,
              usualGrantShare,
              nowMs);
      byName.put(customer.name, customer);
    }
    customer.lastSeenMs = nowMs;
    customer.arrivedUnitsInTick += request.units();
    return customer;
  }

  void activate(Customer customer) {
    active.add(customer);
  }

  /** The active customers in the order in which they became so; idle ones may be removed. */
  Iterator<Customer> activeIterator() {
    return active.iterator();
  }

  /**
   * Forgets customers that have been idle for so long that their buckets must be full: a new record
   * is as good.
   */
  void forgetIdle() {
    double nowMs = timers.nowMs();
    Iterator<Customer> iterator = byName.values().iterator();
    while (iterator.hasNext()) {
      Customer customer = iterator.next();
      if (!active.contains(customer)
          && !customer.isInDispatchRing
          && nowMs - customer.lastSeenMs > CounterCallKind.QUOTA_EPOCH_MS) {
        iterator.remove();
      }
    }
  }
}
