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
  public static final double MAX_OVER_QUOTA_SHARE = 0.05;

  private static final double MINUTE_MS = 60_000;

  private static final class Account {
    private final String customer;
    private final QuotaPlan plan;
    private final TokenBucket bucket;
    private final ArrayDeque<double[]> overQuotaSends = new ArrayDeque<>();
    private final List<double[]> sends = new ArrayList<>();
    private double overQuotaInMinute;
    private double withinQuota;
    private double overQuotaTotal;
    private double rejectedWithinQuota;

    /** The most that was beyond within a minute, and the last that came of it. */
    private double maxOverQuotaInMinute;

    private Event.Came maxReachedBy;

    Account(String customer, QuotaPlan plan, double now) {
      this.customer = customer;
      this.plan = plan;
      bucket = new TokenBucket(plan.ratePerSecond(), plan.burstUnits(), now);
    }
  }

  /**
   * A customer's figures, in units.
   *
   * @param maxOverQuotaShare the most that was beyond the quota within a minute, as a share of what
   *     the quota gives in it
   */
  public record Figures(
      String customer,
      String plan,
      double withinQuota,
      double overQuota,
      double rejectedWithinQuota,
      double maxOverQuotaShare) {}

  private final InvariantTerms terms;
  private final Map<String, Event.Asked> asked = new HashMap<>();
  private final Map<String, Boolean> sent = new HashMap<>();
  private final Map<String, Account> accounts = new LinkedHashMap<>();
  private double beganAtMs = Double.NaN;
  private double lengthMs = MINUTE_MS;

  /** An audit of full buckets. */
  public QuotaAudit(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "quota";
  }

  @Override
  public void onEvent(Event event) {
    if (Double.isNaN(beganAtMs)) {
      beganAtMs = event.at();
    }
    if (event instanceof Event.Asked request) {
      asked.put(request.id(), request);
    } else if (event instanceof Event.Came arrival
        && asked.containsKey(arrival.id())
        && sent.putIfAbsent(arrival.id(), true) == null) {
      forwarded(arrival, asked.get(arrival.id()));
    } else if (event instanceof Event.Heard response
        && response.answer() == Event.Answer.BUSY
        && asked.containsKey(response.id())
        && !sent.containsKey(response.id())) {
      Event.Asked request = asked.get(response.id());
      Account account = account(request);
      if (account != null && account.bucket.holds(response.at(), request.units())) {
        account.rejectedWithinQuota += request.units();
      }
    }
  }

  private Account account(Event.Asked request) {
    QuotaPlan plan = terms.plan(request.plan());
    return plan.ratePerSecond() > 0
        ? accounts.computeIfAbsent(request.customer(), c -> new Account(c, plan, beganAtMs))
        : null;
  }

  private void forwarded(Event.Came arrival, Event.Asked request) {
    Account account = account(request);
    if (account == null) {
      return;
    }
    account.sends.add(new double[] {arrival.at(), request.units()});
    if (account.bucket.holds(arrival.at(), request.units())) {
      account.bucket.take(arrival.at(), request.units());
      account.withinQuota += request.units();
      return;
    }
    account.overQuotaSends.add(new double[] {arrival.at(), request.units()});
    account.overQuotaInMinute += request.units();
    account.overQuotaTotal += request.units();
    while (account.overQuotaSends.peek()[0] < arrival.at() - MINUTE_MS) {
      account.overQuotaInMinute -= account.overQuotaSends.poll()[1];
    }
    if (account.overQuotaInMinute > account.maxOverQuotaInMinute) {
      account.maxOverQuotaInMinute = account.overQuotaInMinute;
      account.maxReachedBy = arrival;
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
  public static double unitsAt(QuotaPlan plan, double[][] sends, double atMs) {
    TokenBucket bucket = new TokenBucket(plan.ratePerSecond(), plan.burstUnits(), 0);
    for (double[] send : sends) {
      if (send[0] > atMs) {
        break;
      }
      if (bucket.holds(send[0], send[1])) {
        bucket.take(send[0], send[1]);
      }
    }
    return bucket.units(atMs);
  }

  /** What a quota gives in a minute, or in a day that is shorter. */
  private static double quotaUnits(QuotaPlan plan, double lengthMs) {
    return plan.burstUnits() + plan.ratePerSecond() * Math.min(MINUTE_MS, lengthMs) / 1000;
  }

  /** When (ms) units were sent on beyond a quota, given all sends. */
  public static double[] overQuotaTimesMs(QuotaPlan plan, double[][] sends) {
    TokenBucket bucket = new TokenBucket(plan.ratePerSecond(), plan.burstUnits(), 0);
    return Arrays.stream(sends)
        .filter(
            send -> {
              boolean holds = bucket.holds(send[0], send[1]);
              if (holds) {
                bucket.take(send[0], send[1]);
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
                    a.withinQuota,
                    a.overQuotaTotal,
                    a.rejectedWithinQuota,
                    a.maxOverQuotaInMinute / quotaUnits(a.plan, lengthMs)))
        .toList();
  }

  @Override
  public List<Violation> violations(double at) {
    lengthMs = Math.max(1, at - (Double.isNaN(beganAtMs) ? 0 : beganAtMs));
    double rounding = terms.nodes() * (double) terms.maxRequestUnits();
    List<Violation> violations = new ArrayList<>();
    for (Account account : accounts.values()) {
      double quotaUnits = quotaUnits(account.plan, lengthMs);
      if (account.maxOverQuotaInMinute > MAX_OVER_QUOTA_SHARE * quotaUnits + rounding) {
        violations.add(
            new Violation(
                rule(),
                account.maxReachedBy.at(),
                account.maxReachedBy.id(),
                String.format(
                    Locale.ROOT,
                    "customer %s (%s) had %.0f units beyond its quota within a minute that gives"
                        + " %.1f: %.1f%%; %.1f are granted, and %.0f for rounding",
                    account.customer,
                    account.plan.name(),
                    account.maxOverQuotaInMinute,
                    quotaUnits,
                    100 * account.maxOverQuotaInMinute / quotaUnits,
                    MAX_OVER_QUOTA_SHARE * quotaUnits,
                    rounding)));
      }
    }
    return violations;
  }
}
