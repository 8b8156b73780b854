package edgenode.ledger;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;

/**
 * What became of the requests of this process, by class: each one that is taken has one end, and
 * until then it is open. So at every moment taken = served + refused + failed + abandoned + open. A
 * pure core.
 *
 * <p>Where it is told to, it keeps the same figures for each campus. Campuses beyond a bound share
 * one account, which also takes over those that have asked nothing for longest: the sums over all
 * accounts are those of the classes at every moment. A request costs O(log n) then, else O(1).
 */
public final class RequestLedger {
  /** The ways in which a request ends. */
  public enum RequestOutcome {
    /** The client has the value. */
    SERVED,
    /** The client was told that trying again is harmless. */
    REJECTED,
    /** The client was told anything else, or its answer broke off. */
    FAILED,
    /** The client went away before it had an answer. */
    ABANDONED
  }

  /** The figures of one class; all counts from the start of the process. */
  public static final class ClassCounters {
    private final String className;

    /** The class's row, where this one is a campus's; else null. */
    private final ClassCounters classTotal;

    /**
     * Which row has taken over this one's figures: an attempt may be written after its request has
     * ended.
     */
    private ClassCounters successor;

    /**
     * The figures of all rows of an account, so that an audit reads them in one go; this row's are
     * at a place.
     */
    private final long[] values;

    private final int baseIndex;

    private ClassCounters(String name, ClassCounters whole, long[] f, int at) {
      this.className = name;
      this.classTotal = whole;
      this.values = f;
      this.baseIndex = at;
    }

    /** The class, as the settings name it. */
    public String className() {
      return className;
    }

    /** A request is taken; it is open until its {@link #ended}. */
    public void requestAccepted() {
      if (successor != null) {
        successor.requestAccepted();
        return;
      }
      values[baseIndex + ACCEPTED_INDEX]++;
      values[baseIndex + OPEN_INDEX]++;
      if (classTotal != null) {
        classTotal.requestAccepted();
      }
    }

    /** An open request has ended. */
    public void requestEnded(RequestOutcome how) {
      if (successor != null) {
        successor.requestEnded(how);
        return;
      }
      values[baseIndex + FIRST_OUTCOME_INDEX + how.ordinal()]++;
      values[baseIndex + OPEN_INDEX]--;
      if (classTotal != null) {
        classTotal.requestEnded(how);
      }
    }

    /** An attempt was written whole to a server. */
    public void attemptSent() {
      if (successor != null) {
        successor.attemptSent();
        return;
      }
      values[baseIndex + ATTEMPTS_INDEX]++;
      if (classTotal != null) {
        classTotal.attemptSent();
      }
    }

    public long acceptedCount() {
      return values[baseIndex + ACCEPTED_INDEX];
    }

    public long openCount() {
      return values[baseIndex + OPEN_INDEX];
    }

    public long attemptCount() {
      return values[baseIndex + ATTEMPTS_INDEX];
    }

    public long outcomeCount(RequestOutcome how) {
      return values[baseIndex + FIRST_OUTCOME_INDEX + how.ordinal()];
    }

    private String describeImbalance() {
      if (isBalanced(values, baseIndex)) {
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

  private static final int ACCEPTED_INDEX = 0;
  private static final int OPEN_INDEX = 1;
  private static final int ATTEMPTS_INDEX = 2;
  private static final int FIRST_OUTCOME_INDEX = 3;
  private static final int VALUES_PER_CLASS = FIRST_OUTCOME_INDEX + RequestOutcome.values().length;

  private static boolean isBalanced(long[] f, int at) {
    long sum = f[at + OPEN_INDEX];
    for (int i = at + FIRST_OUTCOME_INDEX; i < at + VALUES_PER_CLASS; i++) {
      sum += f[i];
    }
    return sum == f[at + ACCEPTED_INDEX] && f[at + OPEN_INDEX] >= 0;
  }

  /** What one campus asked, by class; the last row is of classes that nobody knows. */
  public static final class CustomerAccount {
    private final String customer;
    private final long[] values;
    private final List<ClassCounters> classCounters = new ArrayList<>();

    private CustomerAccount(String campus, RequestLedger ledger) {
      this.customer = campus;
      values = new long[ledger.values.length];
      for (ClassCounters row : ledger.allCounters) {
        classCounters.add(new ClassCounters(row.className, row, values, row.baseIndex));
      }
    }

    public String customer() {
      return customer;
    }

    /** In the order of the settings, and that of unknown classes behind. */
    public List<ClassCounters> classCounters() {
      return classCounters;
    }

    private long openCount() {
      long sum = 0;
      for (int at = OPEN_INDEX; at < values.length; at += VALUES_PER_CLASS) {
        sum += values[at];
      }
      return sum;
    }
  }

  /** So many of those that have asked nothing for longest are looked at for one to fold. */
  private static final int MAX_FOLD_CANDIDATES = 8;

  private final List<ClassCounters> classCounters = new ArrayList<>();
  private final ClassCounters unknownClassCounters;
  private final long[] values;
  private final List<ClassCounters> allCounters = new ArrayList<>();
  private final int maxCustomers;
  private final TreeMap<String, CustomerAccount> accounts = new TreeMap<>();

  /** The one that has asked nothing for longest first. */
  private final Set<CustomerAccount> accountsByLastUse = new LinkedHashSet<>();

  private final CustomerAccount otherCustomers;

  /**
   * @param classes the classes that the settings name, in their order
   */
  public RequestLedger(List<String> classes) {
    this(classes, 0);
  }

  /**
   * @param campuses of how many campuses the figures are kept apart; 0: of none
   */
  public RequestLedger(List<String> classes, int campuses) {
    values = new long[(classes.size() + 1) * VALUES_PER_CLASS];
    for (String name : classes) {
      classCounters.add(
          new ClassCounters(name, null, values, classCounters.size() * VALUES_PER_CLASS));
    }
    unknownClassCounters =
        new ClassCounters("", null, values, classCounters.size() * VALUES_PER_CLASS);
    allCounters.addAll(classCounters);
    allCounters.add(unknownClassCounters);
    maxCustomers = campuses;
    otherCustomers = new CustomerAccount("", this);
  }

  /**
   * The row of a class; those that the settings do not name share one, as clients make up names
   * without end.
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

  /** The row in which a request of this campus is counted, and with it in its class's. */
  public ClassCounters countersFor(String className, String customer) {
    return maxCustomers == 0
        ? countersFor(className)
        : accountFor(customer).classCounters.get(classIndex(className));
  }

  private CustomerAccount accountFor(String customer) {
    CustomerAccount account = accounts.get(customer);
    if (account == null) {
      if (accounts.size() >= maxCustomers && !foldOldestIdle()) {
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

  /** One with open requests stays: they end in its rows. */
  private boolean foldOldestIdle() {
    Iterator<CustomerAccount> it = accountsByLastUse.iterator();
    for (int i = 0; i < MAX_FOLD_CANDIDATES && it.hasNext(); i++) {
      CustomerAccount account = it.next();
      if (account.openCount() == 0) {
        it.remove();
        accounts.remove(account.customer);
        for (int k = 0; k < values.length; k++) {
          otherCustomers.values[k] += account.values[k];
        }
        for (int r = 0; r < account.classCounters.size(); r++) {
          account.classCounters.get(r).successor = otherCustomers.classCounters.get(r);
        }
        return true;
      }
    }
    return false;
  }

  /** Whether the figures are kept by campus. */
  public boolean tracksCustomers() {
    return maxCustomers > 0;
  }

  /**
   * Accounts in the order of the campuses' names.
   *
   * @param after the first ones' names are behind this; "" for the first of all
   */
  public List<CustomerAccount> accounts(String after, int limit) {
    List<CustomerAccount> page = new ArrayList<>();
    for (CustomerAccount account : accounts.tailMap(after, false).values()) {
      if (page.size() >= limit) {
        break;
      }
      page.add(account);
    }
    return page;
  }

  /** All campuses together that have no account of their own. */
  public CustomerAccount otherCustomers() {
    return otherCustomers;
  }

  /** The classes that the settings name, in their order. */
  public List<ClassCounters> classCounters() {
    return classCounters;
  }

  /** What was asked of classes that nobody knows. */
  public ClassCounters unknownClassCounters() {
    return unknownClassCounters;
  }

  /** Requests that are taken and have not ended. */
  public long openCount() {
    long sum = 0;
    for (ClassCounters row : allCounters) {
      sum += row.openCount();
    }
    return sum;
  }

  /** Attempts written whole to servers, for requests of all classes. */
  public long attemptCount() {
    long sum = 0;
    for (ClassCounters row : allCounters) {
      sum += row.attemptCount();
    }
    return sum;
  }

  /**
   * Holds the figures against themselves, against the table of requests and against what clients
   * are owed.
   *
   * @param inTable how many requests that have not ended the table has
   * @param owed how many answers the connections of clients wait for
   * @return what does not add up, a line each; empty where all does
   */
  public List<String> audit(long inTable, long owed) {
    List<String> wrong = new ArrayList<>();
    for (ClassCounters row : classCounters) {
      if (row.describeImbalance() != null) {
        wrong.add(row.describeImbalance());
      }
    }
    if (unknownClassCounters.describeImbalance() != null) {
      wrong.add("(unknown class)" + unknownClassCounters.describeImbalance());
    }
    if (openCount() != inTable) {
      wrong.add("table: open by the ledger " + openCount() + ", in the table " + inTable);
    }
    if (openCount() != owed) {
      wrong.add("clients: open by the ledger " + openCount() + ", owed on connections " + owed);
    }
    return wrong;
  }

  /**
   * Holds the campuses' figures against themselves and their sums against the classes'; reads every
   * account.
   *
   * @return what does not add up, a line each; empty where all does
   */
  public List<String> auditCustomers() {
    List<String> wrong = new ArrayList<>();
    long[] left = values.clone();
    subtractAccount(left, otherCustomers, wrong);
    for (CustomerAccount account : accounts.values()) {
      subtractAccount(left, account, wrong);
    }
    for (ClassCounters row : allCounters) {
      boolean none = true;
      for (int i = row.baseIndex; i < row.baseIndex + VALUES_PER_CLASS; i++) {
        none &= left[i] == 0;
      }
      if (!none) {
        wrong.add(
            "campuses: of class '"
                + row.className
                + "' their sums leave taken "
                + left[row.baseIndex + ACCEPTED_INDEX]
                + ", open "
                + left[row.baseIndex + OPEN_INDEX]
                + ", attempts "
                + left[row.baseIndex + ATTEMPTS_INDEX]
                + " unaccounted for");
      }
    }
    return wrong;
  }

  private static void subtractAccount(long[] left, CustomerAccount account, List<String> wrong) {
    for (int at = 0; at < left.length; at += VALUES_PER_CLASS) {
      if (!isBalanced(account.values, at)) {
        wrong.add(
            "campus "
                + account.customer
                + ", "
                + account.classCounters.get(at / VALUES_PER_CLASS).describeImbalance());
      }
      for (int i = at; i < at + VALUES_PER_CLASS; i++) {
        left[i] -= account.values[i];
      }
    }
  }
}
