package edgenode.node;

import edgenode.ledger.RequestLedger;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Checks that the figures agree with each other, with the request table and with the clients'
 * connections. Inconsistent figures are a fault of the program: they are logged, each kind once,
 * and counted. On the event loop only.
 */
final class FiguresCheck {
  /** Interval (ms) at which the node checks by itself. */
  private static final double CHECK_INTERVAL_MS = 1000;

  /** Every such check includes the accounts of all customers: 10,000 take 3 ms. */
  private static final int CUSTOMER_CHECK_EVERY = 10;

  private static final int MAX_REPORTED_VIOLATIONS = 50;

  private final NodeComponents components;
  private final Set<String> reportedViolations = new HashSet<>();
  private long violationCount;
  private long periodicChecks;

  FiguresCheck(NodeComponents components) {
    this.components = components;
  }

  /** Starts to check at intervals, so that a violation is found before anyone reads the figures. */
  void startPeriodic() {
    components.loop.schedule(CHECK_INTERVAL_MS, this::runPeriodic);
  }

  private void runPeriodic() {
    startPeriodic();
    check(++periodicChecks % CUSTOMER_CHECK_EVERY == 0);
  }

  /** Violations since the start, each time that one was found. */
  long violationCount() {
    return violationCount;
  }

  /** Checks now; whether all figures agree. */
  boolean check(boolean includesCustomers) {
    RequestLedger ledger = components.ledger;
    List<String> violations =
        ledger.audit(
            components.requests.openRequestCount(), components.downstream.openRequestCount());
    if (includesCustomers && ledger.tracksCustomers()) {
      violations.addAll(ledger.auditCustomers());
    }
    violationCount += violations.size();
    for (String violation : violations) {
      if (reportedViolations.size() < MAX_REPORTED_VIOLATIONS
          && reportedViolations.add(violation.substring(0, violation.indexOf(':')))) {
        components.loop.logLine("figures do not add up: " + violation);
      }
    }
    return violations.isEmpty();
  }
}
