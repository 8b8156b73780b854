package edgenode.ledger;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts what became of the requests of this process, by class. Each accepted request has one
 * outcome and is open until then, so at every moment accepted = served + rejected + failed +
 * abandoned + open. No I/O, not thread-safe.
 *
 * <p>Optionally it also counts for each customer. Customers beyond a bound share one account, which
 * takes over the accounts of those idle for longest: at every moment the sums over all accounts are
 * the counts of the classes. A request then costs O(log n) in the number of accounts, else O(1).
 */
public final class RequestLedger {
  /** How a request ends. */
  public enum RequestOutcome {
    /** The client has the value. */
    SERVED,
    /** The client got a response that says that nothing ran and it may retry. */
    REJECTED,
    /** The client got any other response, or its response broke off. */
    FAILED,
    /** The client disconnected before it had a response. */
    ABANDONED
  }

  // Indexes in the counts of one class.
  private static final int ACCEPTED = 0;
  private static final int OPEN = 1;
  private static final int ATTEMPTS = 2;
  private static final int FIRST_OUTCOME = 3;
  private static final int COUNTS_PER_CLASS = FIRST_OUTCOME + RequestOutcome.values().length;

  /** Of the accounts idle for longest, how many are looked at for one without open requests. */
  private static final int MAX_FOLD_CANDIDATES = 8;

  /** The counts of one class, of all customers or of one, since the start of the process. */
  public static final class ClassCounters {
    private final String className;

    /** The counters of the class, where these are of a customer; else null. */
    private final ClassCounters classTotal;

    /**
     * The counters that took these over, or null. An attempt may be sent after its request has
     * ended, and its customer's account be folded by then.
     */
    private ClassCounters successor;

    /** The counts of all classes of an account: one array, so that an audit reads them in a row. */
    private final long[] counts;

    private final int baseIndex;

    private ClassCounters(
        String className, ClassCounters classTotal, long[] counts, int baseIndex) {
      this.className = className;
      this.classTotal = classTotal;
      this.counts = counts;
      this.baseIndex = baseIndex;
    }

    /** The name of the class in the settings; empty for all classes that they do not name. */
    public String className() {
      return className;
    }

    /** A request is accepted; it is open until {@link #requestEnded}. */
    public void requestAccepted() {
      if (successor != null) {
        successor.requestAccepted();
        return;
      }
      counts[baseIndex + ACCEPTED]++;
      counts[baseIndex + OPEN]++;
      if (classTotal != null) {
        classTotal.requestAccepted();
      }
    }

    /** An open request has ended. */
    public void requestEnded(RequestOutcome outcome) {
      if (successor != null) {
        successor.requestEnded(outcome);
        return;
      }
      counts[baseIndex + FIRST_OUTCOME + outcome.ordinal()]++;
      counts[baseIndex + OPEN]--;
      if (classTotal != null) {
        classTotal.requestEnded(outcome);
      }
    }

    /** An attempt was written completely to an endpoint. */
    public void attemptSent() {
      if (successor != null) {
        successor.attemptSent();
        return;
      }
      counts[baseIndex + ATTEMPTS]++;
      if (classTotal != null) {
        classTotal.attemptSent();
      }
    }

    /** Requests accepted. */
    public long acceptedCount() {
      return counts[baseIndex + ACCEPTED];
    }

    /** Requests accepted and not ended yet. */
    public long openCount() {
      return counts[baseIndex + OPEN];
    }

    /** Attempts sent. */
    public long attemptCount() {
      return counts[baseIndex + ATTEMPTS];
    }

    /** Requests that ended in this way. */
    public long outcomeCount(RequestOutcome outcome) {
      return counts[baseIndex + FIRST_OUTCOME + outcome.ordinal()];
    }

    /** What does not add up, in the terms of the telemetry, or null. */
    private String describeImbalance() {
      if (isBalanced(counts, baseIndex)) {
        return null;
      }
      return className
          + ": taken "
          + acceptedCount()
          + ", but served "
          + outcomeCount(RequestOutcome.SERVED)
          + " + refused "
          + outcomeCount(RequestOutcome.REJECTED)
          + " + failed "
          + outcomeCount(RequestOutcome.FAILED)
          + " + abandoned "
          + outcomeCount(RequestOutcome.ABANDONED)
          + " + open "
          + openCount();
    }
  }

  private static boolean isBalanced(long[] counts, int baseIndex) {
    long sum = counts[baseIndex + OPEN];
    for (int i = baseIndex + FIRST_OUTCOME; i < baseIndex + COUNTS_PER_CLASS; i++) {
      sum += counts[i];
    }
    return sum == counts[baseIndex + ACCEPTED] && counts[baseIndex + OPEN] >= 0;
  }

  /** The requests of one customer, by class. */
  public static final class CustomerAccount {
    private final String customer;
    private final long[] counts;
    private final List<ClassCounters> classCounters = new ArrayList<>();

    private CustomerAccount(String customer, RequestLedger ledger) {
      this.customer = customer;
      counts = new long[ledger.counts.length];
      for (ClassCounters total : ledger.allCounters) {
        classCounters.add(new ClassCounters(total.className, total, counts, total.baseIndex));
      }
    }

    /** The customer's name; empty for the account of all that have none of their own. */
    public String customer() {
      return customer;
    }

    /** In the order of the settings; last the classes that they do not name. */
    public List<ClassCounters> classCounters() {
      return classCounters;
    }

    private long openCount() {
      long sum = 0;
      for (int i = OPEN; i < counts.length; i += COUNTS_PER_CLASS) {
        sum += counts[i];
      }
      return sum;
    }
  }

  private final List<ClassCounters> classCounters = new ArrayList<>();
  private final ClassCounters unknownClassCounters;

  /** The counters of all classes, unknown ones last, and the array that holds their counts. */
  private final List<ClassCounters> allCounters = new ArrayList<>();

  private final long[] counts;

  /** How many accounts there may be; 0 where customers are not counted apart. */
  private final int maxCustomers;

  private final TreeMap<String, CustomerAccount> accounts = new TreeMap<>();

  /** The account idle for longest first. */
  private final Set<CustomerAccount> accountsByLastUse = new LinkedHashSet<>();

  private final CustomerAccount otherCustomers;

  /**
   * A ledger by class only.
   *
   * @param classNames the classes that the settings name, in their order
   */
  public RequestLedger(List<String> classNames) {
    this(classNames, 0);
  }

  /**
   * A ledger by class and customer.
   *
   * @param classNames the classes that the settings name, in their order
   * @param maxCustomers for how many customers to count apart; 0 for none
   */
  public RequestLedger(List<String> classNames, int maxCustomers) {
    counts = new long[(classNames.size() + 1) * COUNTS_PER_CLASS];
    for (String className : classNames) {
      classCounters.add(
          new ClassCounters(className, null, counts, classCounters.size() * COUNTS_PER_CLASS));
    }
    unknownClassCounters =
        new ClassCounters("", null, counts, classCounters.size() * COUNTS_PER_CLASS);
    allCounters.addAll(classCounters);
    allCounters.add(unknownClassCounters);
    this.maxCustomers = maxCustomers;
    otherCustomers = new CustomerAccount("", this);
  }

  /**
   * The counters of a class. Classes that the settings do not name share one, as clients can make
   * up any number of them.
   */
  public ClassCounters countersFor(String className) {
    return allCounters.get(classIndex(className));
  }

  private int classIndex(String className) {
    for (int i = 0; i < classCounters.size(); i++) { // a handful
      if (classCounters.get(i).className.equals(className)) {
        return i;
      }
    }
    return classCounters.size();
  }

  /**
   * The counters for a request of this customer; they count in those of the class too. The customer
   * counts as used now.
   */
  public ClassCounters countersFor(String className, String customer) {
    return maxCustomers == 0
        ? countersFor(className)
        : accountFor(customer).classCounters.get(classIndex(className));
  }

  private CustomerAccount accountFor(String customer) {
    CustomerAccount account = accounts.get(customer);
    if (account == null) {
      if (accounts.size() >= maxCustomers && !foldIdleAccount()) {
        return otherCustomers;
      }
      account = new CustomerAccount(customer, this);
      accounts.put(customer, account);
    } else {
      accountsByLastUse.remove(account);
    }
    accountsByLastUse.add(account);
    return account;
  }

  /**
   * Moves the counts of an idle account to the shared one. An account with open requests stays, as
   * they end in its counters.
   *
   * @return whether there is room for another account
   */
  private boolean foldIdleAccount() {
    Iterator<CustomerAccount> candidates = accountsByLastUse.iterator();
    for (int i = 0; i < MAX_FOLD_CANDIDATES && candidates.hasNext(); i++) {
      CustomerAccount account = candidates.next();
      if (account.openCount() == 0) {
        candidates.remove();
        accounts.remove(account.customer);
        fold(account);
        return true;
      }
    }
    return false;
  }

  private void fold(CustomerAccount account) {
    for (int i = 0; i < counts.length; i++) {
      otherCustomers.counts[i] += account.counts[i];
    }
    for (int i = 0; i < account.classCounters.size(); i++) {
      account.classCounters.get(i).successor = otherCustomers.classCounters.get(i);
    }
  }

  /** Whether customers are counted apart. */
  public boolean tracksCustomers() {
    return maxCustomers > 0;
  }

  /**
   * Accounts in the order of the customers' names.
   *
   * @param afterCustomer the name before the first; empty to begin with the first of all
   * @param limit accounts at most
   */
  public List<CustomerAccount> accounts(String afterCustomer, int limit) {
    List<CustomerAccount> page = new ArrayList<>();
    for (CustomerAccount account : accounts.tailMap(afterCustomer, false).values()) {
      if (page.size() >= limit) {
        break;
      }
      page.add(account);
    }
    return page;
  }

  /** The shared account of all customers that have none of their own. */
  public CustomerAccount otherCustomers() {
    return otherCustomers;
  }

  /** The counters of the classes that the settings name, in their order. */
  public List<ClassCounters> classCounters() {
    return classCounters;
  }

  /** The counters of all classes that the settings do not name. */
  public ClassCounters unknownClassCounters() {
    return unknownClassCounters;
  }

  /** Requests of all classes that are accepted and not ended yet. */
  public long openCount() {
    long sum = 0;
    for (ClassCounters counters : allCounters) {
      sum += counters.openCount();
    }
    return sum;
  }

  /** Attempts sent for requests of all classes. */
  public long attemptCount() {
    long sum = 0;
    for (ClassCounters counters : allCounters) {
      sum += counters.attemptCount();
    }
    return sum;
  }

  /**
   * Checks the counts against each other, the request table and the client connections.
   *
   * @param tableCount requests in the table that have not ended
   * @param owedResponses responses that client connections wait for
   * @return what does not add up, a line each; empty where everything does
   */
  public List<String> audit(long tableCount, long owedResponses) {
    List<String> findings = new ArrayList<>();
    for (ClassCounters counters : classCounters) {
      String finding = counters.describeImbalance();
      if (finding != null) {
        findings.add(finding);
      }
    }
    String unknownFinding = unknownClassCounters.describeImbalance();
    if (unknownFinding != null) {
      findings.add("(unknown class)" + unknownFinding);
    }
    if (openCount() != tableCount) {
      findings.add("table: open by the ledger " + openCount() + ", in the table " + tableCount);
    }
    if (openCount() != owedResponses) {
      findings.add(
          "clients: open by the ledger " + openCount() + ", owed on connections " + owedResponses);
    }
    return findings;
  }

  /**
   * Checks the counts of all accounts, and their sums against the classes. O(n) in the number of
   * accounts.
   *
   * @return what does not add up, a line each; empty where everything does
   */
  public List<String> auditCustomers() {
    List<String> findings = new ArrayList<>();
    long[] remainders = counts.clone();
    subtractAccount(remainders, otherCustomers, findings);
    for (CustomerAccount account : accounts.values()) {
      subtractAccount(remainders, account, findings);
    }
    for (ClassCounters counters : allCounters) {
      int base = counters.baseIndex;
      boolean isBalanced = true;
      for (int i = base; i < base + COUNTS_PER_CLASS; i++) {
        isBalanced &= remainders[i] == 0;
      }
      if (!isBalanced) {
        findings.add(
            "campuses: of class '"
                + counters.className
                + "' their sums leave taken "
                + remainders[base + ACCEPTED]
                + ", open "
                + remainders[base + OPEN]
                + ", attempts "
                + remainders[base + ATTEMPTS]
                + " unaccounted for");
      }
    }
    return findings;
  }

  private static void subtractAccount(
      long[] remainders, CustomerAccount account, List<String> findings) {
    for (int base = 0; base < remainders.length; base += COUNTS_PER_CLASS) {
      if (!isBalanced(account.counts, base)) {
        ClassCounters counters = account.classCounters.get(base / COUNTS_PER_CLASS);
        findings.add("campus " + account.customer + ", " + counters.describeImbalance());
      }
      for (int i = base; i < base + COUNTS_PER_CLASS; i++) {
        remainders[i] -= account.counts[i];
      }
    }
  }
}
