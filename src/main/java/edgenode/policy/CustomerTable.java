package edgenode.policy;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** The customers seen lately. Those with traffic are active: each quota tick goes through them. */
final class CustomerTable {
  /** With more customers, those of which nothing has been sent are not remembered. */
  static final int MANY_CUSTOMERS = 4096;

  /** Heap (bytes) that a customer takes. */
  private static final int CUSTOMER_BYTES = 700;

  /** Customers may take this part of the heap together; requests of further ones are rejected. */
  private static final int HEAP_DIVISOR = 3;

  private final boolean hasCounter;
  private final PolicyTimers timers;
  private final int maxCustomers;
  private final Map<String, QuotaPlan> plans = new HashMap<>();
  private final Map<String, Customer> byName = new HashMap<>();
  private final Set<Customer> active = new LinkedHashSet<>();

  /**
   * @param maxCustomers that are remembered at most
   */
  CustomerTable(PolicySettings settings, PolicyTimers timers, int maxCustomers) {
    this.timers = timers;
    this.maxCustomers = maxCustomers;
    hasCounter = settings.capabilities().hasCounter();
    for (QuotaPlan plan : settings.plans()) {
      plans.put(plan.name(), plan);
    }
  }

  /** How many customers a process with this heap may remember. */
  static int maxCustomersOfHeap() {
    long heapBytes = Runtime.getRuntime().maxMemory();
    return (int) Math.min(Integer.MAX_VALUE, heapBytes / HEAP_DIVISOR / CUSTOMER_BYTES);
  }

  /** The plan of a name, null where the settings have none. */
  QuotaPlan findPlan(String planName) {
    return plans.get(planName);
  }

  /**
   * The customer of a request, with the plan of its first request: a customer whose plan changes
   * keeps its former plan until {@link #forgetIdle} has forgotten it, after 30 s without requests
   * at the earliest.
   *
   * @return null where there are too many customers to remember another one
   */
  Customer findOrAdd(IncomingRequest request, QuotaPlan plan, double usualGrantShare) {
    double nowMs = timers.nowMs();
    Customer customer = byName.get(request.customerName());
    if (customer == null) {
      if (byName.size() >= maxCustomers) {
        return null;
      }
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
   * A request has ended that was not sent. Where there are many customers, forgets its customer if
   * nothing else is known of it: a client may send requests under ever new names, faster than any
   * time after which they are forgotten.
   */
  void forgetIfUnused(Customer customer) {
    if (byName.size() > MANY_CUSTOMERS && customer.isUnused()) {
      byName.remove(customer.name, customer);
      active.remove(customer);
    }
  }

  /** How many customers are remembered. */
  int size() {
    return byName.size();
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
