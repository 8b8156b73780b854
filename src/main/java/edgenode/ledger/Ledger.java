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
public final class Ledger {
  /** The ways in which a request ends. */
  public enum End {
    /** The client has the value. */
    SERVED,
    /** The client was told that trying again is harmless. */
    REFUSED,
    /** The client was told anything else, or its answer broke off. */
    FAILED,
    /** The client went away before it had an answer. */
    ABANDONED
  }

  /** The figures of one class; all counts from the start of the process. */
  public static final class Row {
    private final String name;

    /** The class's row, where this one is a campus's; else null. */
    private final Row whole;

    /**
     * Which row has taken over this one's figures: an attempt may be written after its request has
     * ended.
     */
    private Row heir;

    /**
     * The figures of all rows of an account, so that an audit reads them in one go; this row's are
     * at a place.
     */
    private final long[] f;

    private final int at;

    private Row(String name, Row whole, long[] f, int at) {
      this.name = name;
      this.whole = whole;
      this.f = f;
      this.at = at;
    }

    /** The class, as the settings name it. */
    public String name() {
      return name;
    }

    /** A request is taken; it is open until its {@link #ended}. */
    public void taken() {
      if (heir != null) {
        heir.taken();
        return;
      }
      f[at + TAKEN]++;
      f[at + OPEN]++;
      if (whole != null) {
        whole.taken();
      }
    }

    /** An open request has ended. */
    public void ended(End how) {
      if (heir != null) {
        heir.ended(how);
        return;
      }
      f[at + ENDS + how.ordinal()]++;
      f[at + OPEN]--;
      if (whole != null) {
        whole.ended(how);
      }
    }

    /** An attempt was written whole to a server. */
    public void attempt() {
      if (heir != null) {
        heir.attempt();
        return;
      }
      f[at + ATTEMPTS]++;
      if (whole != null) {
        whole.attempt();
      }
    }

    public long all() {
      return f[at + TAKEN];
    }

    public long open() {
      return f[at + OPEN];
    }

    public long attempts() {
      return f[at + ATTEMPTS];
    }

    public long count(End how) {
      return f[at + ENDS + how.ordinal()];
    }

    private String wrong() {
      if (adds(f, at)) {
        return null;
      }
      return name
          + ": taken "
          + all()
          + ", but served "
          + count(End.SERVED)
          + " + refused "
          + count(End.REFUSED)
          + " + failed "
          + count(End.FAILED)
          + " + abandoned "
          + count(End.ABANDONED)
          + " + open "
          + open();
    }
  }

  private static final int TAKEN = 0;
  private static final int OPEN = 1;
  private static final int ATTEMPTS = 2;
  private static final int ENDS = 3;
  private static final int WIDTH = ENDS + End.values().length;

  private static boolean adds(long[] f, int at) {
    long sum = f[at + OPEN];
    for (int i = at + ENDS; i < at + WIDTH; i++) {
      sum += f[i];
    }
    return sum == f[at + TAKEN] && f[at + OPEN] >= 0;
  }

  /** What one campus asked, by class; the last row is of classes that nobody knows. */
  public static final class Account {
    private final String campus;
    private final long[] f;
    private final List<Row> rows = new ArrayList<>();

    private Account(String campus, Ledger ledger) {
      this.campus = campus;
      f = new long[ledger.f.length];
      for (Row row : ledger.all) {
        rows.add(new Row(row.name, row, f, row.at));
      }
    }

    public String campus() {
      return campus;
    }

    /** In the order of the settings, and that of unknown classes behind. */
    public List<Row> rows() {
      return rows;
    }

    private long open() {
      long sum = 0;
      for (int at = OPEN; at < f.length; at += WIDTH) {
        sum += f[at];
      }
      return sum;
    }
  }

  /** So many of those that have asked nothing for longest are looked at for one to fold. */
  private static final int LOOKED_AT = 8;

  private final List<Row> rows = new ArrayList<>();
  private final Row unknown;
  private final long[] f;
  private final List<Row> all = new ArrayList<>();
  private final int most;
  private final TreeMap<String, Account> accounts = new TreeMap<>();

  /** The one that has asked nothing for longest first. */
  private final Set<Account> byUse = new LinkedHashSet<>();

  private final Account others;

  /**
   * @param classes the classes that the settings name, in their order
   */
  public Ledger(List<String> classes) {
    this(classes, 0);
  }

  /**
   * @param campuses of how many campuses the figures are kept apart; 0: of none
   */
  public Ledger(List<String> classes, int campuses) {
    f = new long[(classes.size() + 1) * WIDTH];
    for (String name : classes) {
      rows.add(new Row(name, null, f, rows.size() * WIDTH));
    }
    unknown = new Row("", null, f, rows.size() * WIDTH);
    all.addAll(rows);
    all.add(unknown);
    most = campuses;
    others = new Account("", this);
  }

  /**
   * The row of a class; those that the settings do not name share one, as clients make up names
   * without end.
   */
  public Row row(String type) {
    return all.get(index(type));
  }

  private int index(String type) {
    for (int i = 0; i < rows.size(); i++) { // a handful
      if (rows.get(i).name.equals(type)) {
        return i;
      }
    }
    return rows.size();
  }

  /** The row in which a request of this campus is counted, and with it in its class's. */
  public Row row(String type, String campus) {
    return most == 0 ? row(type) : account(campus).rows.get(index(type));
  }

  private Account account(String campus) {
    Account account = accounts.get(campus);
    if (account == null) {
      if (accounts.size() >= most && !fold()) {
        return others;
      }
      account = new Account(campus, this);
      accounts.put(campus, account);
    } else {
      byUse.remove(account);
    }
    byUse.add(account);
    return account;
  }

  /** One with open requests stays: they end in its rows. */
  private boolean fold() {
    Iterator<Account> it = byUse.iterator();
    for (int i = 0; i < LOOKED_AT && it.hasNext(); i++) {
      Account account = it.next();
      if (account.open() == 0) {
        it.remove();
        accounts.remove(account.campus);
        for (int k = 0; k < f.length; k++) {
          others.f[k] += account.f[k];
        }
        for (int r = 0; r < account.rows.size(); r++) {
          account.rows.get(r).heir = others.rows.get(r);
        }
        return true;
      }
    }
    return false;
  }

  /** Whether the figures are kept by campus. */
  public boolean byCampus() {
    return most > 0;
  }

  /**
   * Accounts in the order of the campuses' names.
   *
   * @param after the first ones' names are behind this; "" for the first of all
   */
  public List<Account> accounts(String after, int limit) {
    List<Account> page = new ArrayList<>();
    for (Account account : accounts.tailMap(after, false).values()) {
      if (page.size() >= limit) {
        break;
      }
      page.add(account);
    }
    return page;
  }

  /** All campuses together that have no account of their own. */
  public Account others() {
    return others;
  }

  /** The classes that the settings name, in their order. */
  public List<Row> rows() {
    return rows;
  }

  /** What was asked of classes that nobody knows. */
  public Row unknown() {
    return unknown;
  }

  /** Requests that are taken and have not ended. */
  public long open() {
    long sum = 0;
    for (Row row : all) {
      sum += row.open();
    }
    return sum;
  }

  /** Attempts written whole to servers, for requests of all classes. */
  public long attempts() {
    long sum = 0;
    for (Row row : all) {
      sum += row.attempts();
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
  public List<String> check(long inTable, long owed) {
    List<String> wrong = new ArrayList<>();
    for (Row row : rows) {
      if (row.wrong() != null) {
        wrong.add(row.wrong());
      }
    }
    if (unknown.wrong() != null) {
      wrong.add("(unknown class)" + unknown.wrong());
    }
    if (open() != inTable) {
      wrong.add("table: open by the ledger " + open() + ", in the table " + inTable);
    }
    if (open() != owed) {
      wrong.add("clients: open by the ledger " + open() + ", owed on connections " + owed);
    }
    return wrong;
  }

  /**
   * Holds the campuses' figures against themselves and their sums against the classes'; reads every
   * account.
   *
   * @return what does not add up, a line each; empty where all does
   */
  public List<String> checkCampuses() {
    List<String> wrong = new ArrayList<>();
    long[] left = f.clone();
    take(left, others, wrong);
    for (Account account : accounts.values()) {
      take(left, account, wrong);
    }
    for (Row row : all) {
      boolean none = true;
      for (int i = row.at; i < row.at + WIDTH; i++) {
        none &= left[i] == 0;
      }
      if (!none) {
        wrong.add(
            "campuses: of class '"
                + row.name
                + "' their sums leave taken "
                + left[row.at + TAKEN]
                + ", open "
                + left[row.at + OPEN]
                + ", attempts "
                + left[row.at + ATTEMPTS]
                + " unaccounted for");
      }
    }
    return wrong;
  }

  private static void take(long[] left, Account account, List<String> wrong) {
    for (int at = 0; at < left.length; at += WIDTH) {
      if (!adds(account.f, at)) {
        wrong.add("campus " + account.campus + ", " + account.rows.get(at / WIDTH).wrong());
      }
      for (int i = at; i < at + WIDTH; i++) {
        left[i] -= account.f[i];
      }
    }
  }
}
