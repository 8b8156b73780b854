package edgenode.simulation.invariants;

import edgenode.policy.QuotaPlan;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Quota arithmetic: an exact token bucket for each customer over all edge nodes, fed by what came
 * to app servers. What was sent on while the store did not hold it is beyond the quota. The rule:
 * within any minute no more than 5% of what the quota gives in a minute, and as many units as the
 * nodes may each round by; a day that is shorter counts as its minute. What was refused while the
 * store held it (undershoot) is a figure and breaks nothing.
 */
public final class QuotaAudit implements InvariantChecker {
  /** Beyond the quota within any minute, against what the quota gives in it. */
  public static final double OVER = 0.05;

  private static final double MINUTE = 60_000;

  private static final class Account {
    private final String customer;
    private final QuotaPlan plan;
    private final Bucket store;
    private final ArrayDeque<double[]> beyond = new ArrayDeque<>();
    private final List<double[]> sends = new ArrayList<>();
    private double beyondNow;
    private double inside;
    private double beyondAll;
    private double refusedWithRoom;

    /** The most that was beyond within a minute, and the last that came of it. */
    private double most;

    private Event.Came mostAt;

    Account(String customer, QuotaPlan plan, double now) {
      this.customer = customer;
      this.plan = plan;
      store = new Bucket(plan.ratePerSecond(), plan.burstUnits(), now);
    }
  }

  /**
   * A customer's figures, in units.
   *
   * @param worst the most that was beyond the quota within a minute, as a share of what the quota
   *     gives in it
   */
  public record Figures(
      String customer,
      String plan,
      double inside,
      double beyond,
      double refusedWithRoom,
      double worst) {}

  private final InvariantTerms terms;
  private final Map<String, Event.Asked> asked = new HashMap<>();
  private final Map<String, Boolean> sent = new HashMap<>();
  private final Map<String, Account> accounts = new LinkedHashMap<>();
  private double began = Double.NaN;
  private double length = MINUTE;

  public QuotaAudit(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "quota";
  }

  @Override
  public void see(Event event) {
    if (Double.isNaN(began)) {
      began = event.at();
    }
    if (event instanceof Event.Asked a) {
      asked.put(a.id(), a);
    } else if (event instanceof Event.Came came
        && asked.containsKey(came.id())
        && sent.putIfAbsent(came.id(), true) == null) {
      sentOn(came, asked.get(came.id()));
    } else if (event instanceof Event.Heard heard
        && heard.answer() == Event.Answer.BUSY
        && asked.containsKey(heard.id())
        && !sent.containsKey(heard.id())) {
      Event.Asked a = asked.get(heard.id());
      Account account = account(a);
      if (account != null && account.store.holds(heard.at(), a.units())) {
        account.refusedWithRoom += a.units();
      }
    }
  }

  private Account account(Event.Asked a) {
    QuotaPlan plan = terms.plan(a.plan());
    return plan.ratePerSecond() > 0
        ? accounts.computeIfAbsent(a.customer(), c -> new Account(c, plan, began))
        : null;
  }

  private void sentOn(Event.Came came, Event.Asked a) {
    Account account = account(a);
    if (account == null) {
      return;
    }
    account.sends.add(new double[] {came.at(), a.units()});
    if (account.store.holds(came.at(), a.units())) {
      account.store.take(came.at(), a.units());
      account.inside += a.units();
      return;
    }
    account.beyond.add(new double[] {came.at(), a.units()});
    account.beyondNow += a.units();
    account.beyondAll += a.units();
    while (account.beyond.peek()[0] < came.at() - MINUTE) {
      account.beyondNow -= account.beyond.poll()[1];
    }
    if (account.beyondNow > account.most) {
      account.most = account.beyondNow;
      account.mostAt = came;
    }
  }

  /** What a customer sent on first, in order: time (ms) and units. */
  public double[][] sends(String customer) {
    Account account = accounts.get(customer);
    return account == null ? new double[0][] : account.sends.toArray(new double[0][]);
  }

  /**
   * What a store holds at a time (ms), after these sends; those that it did not hold took nothing.
   */
  public static double store(QuotaPlan plan, double[][] sends, double at) {
    Bucket store = new Bucket(plan.ratePerSecond(), plan.burstUnits(), 0);
    for (double[] send : sends) {
      if (send[0] > at) {
        break;
      }
      if (store.holds(send[0], send[1])) {
        store.take(send[0], send[1]);
      }
    }
    return store.units(at);
  }

  /** What a quota gives in a minute, or in a day that is shorter. */
  private static double gives(QuotaPlan plan, double length) {
    return plan.burstUnits() + plan.ratePerSecond() * Math.min(MINUTE, length) / 1000;
  }

  /** When (ms) units were sent on beyond a quota, given all sends. */
  public static double[] beyond(QuotaPlan plan, double[][] sends) {
    Bucket store = new Bucket(plan.ratePerSecond(), plan.burstUnits(), 0);
    return Arrays.stream(sends)
        .filter(
            send -> {
              boolean holds = store.holds(send[0], send[1]);
              if (holds) {
                store.take(send[0], send[1]);
              }
              return !holds;
            })
        .mapToDouble(send -> send[0])
        .toArray();
  }

  /** Of each customer that asked, in the order in which they first did; whole after the verdict. */
  public List<Figures> figures() {
    return accounts.values().stream()
        .map(
            a ->
                new Figures(
                    a.customer,
                    a.plan.name(),
                    a.inside,
                    a.beyondAll,
                    a.refusedWithRoom,
                    a.most / gives(a.plan, length)))
        .toList();
  }

  @Override
  public List<Violation> verdict(double at) {
    length = Math.max(1, at - (Double.isNaN(began) ? 0 : began));
    double rounding = terms.nodes() * (double) terms.mostUnits();
    List<Violation> breaches = new ArrayList<>();
    for (Account a : accounts.values()) {
      double gives = gives(a.plan, length);
      if (a.most > OVER * gives + rounding) {
        breaches.add(
            new Violation(
                rule(),
                a.mostAt.at(),
                a.mostAt.id(),
                String.format(
                    Locale.ROOT,
                    "customer %s"
                        + " (%s) had %.0f units beyond its quota within a minute that gives %.1f: %.1f%%; %.1f are granted,"
                        + " and %.0f for rounding",
                    a.customer,
                    a.plan.name(),
                    a.most,
                    gives,
                    100 * a.most / gives,
                    OVER * gives,
                    rounding)));
      }
    }
    return breaches;
  }
}
