package edgenode.node;

import edgenode.membership.MembershipStats;
import edgenode.admin.AdminOperations;
import edgenode.ledger.RequestLedger;
import edgenode.membership.Membership;

/** What operators may call; exists only where the configuration has an address for them. */
final class NodeOperations implements AdminOperations {
  private final NodeComponents components;
  private final NodeStartup startup;
  private final GracefulShutdown shutdown;
  private final FiguresCheck figuresCheck;

  NodeOperations(NodeComponents components, NodeStartup startup, GracefulShutdown shutdown) {
    this.components = components;
    this.startup = startup;
    this.shutdown = shutdown;
    figuresCheck = new FiguresCheck(components);
  }

  /** Starts the periodic check of the figures, once clients are accepted. */
  void startFiguresCheck() {
    figuresCheck.startPeriodic();
  }

  @Override
  public String notReadyReason() {
    if (shutdown.isShuttingDown()) {
      return "ending";
    }
    if (!startup.isReady()) {
      return "starting";
    }
    return shutdown.isAccepting() ? null : "draining";
  }

  @Override
  public String startDrain() {
    shutdown.startDrain();
    return null;
  }

  @Override
  public String cancelDrain() {
    return shutdown.cancelDrain() ? null : "the process is ending";
  }

  @Override
  public String telemetryJson() {
    MembershipStats members = components.discovery.stats();
    int ejected = components.policy.ejectedCount();
    String notReadyReason = notReadyReason();
    boolean isConsistent = figuresCheck.check(false);
    DuplicateRequestHandler duplicates = components.duplicates;
    return TelemetryJson.write(
        new TelemetryJson.Figures(
            components.ledger,
            components.requests.openRequestCount(),
            duplicates == null ? null : duplicates.figures(),
            duplicates == null ? null : duplicates.storeFigures(),
            members,
            members.endpointCount() - members.upCount() + ejected,
            notReadyReason == null ? "serving" : notReadyReason,
            isConsistent,
            figuresCheck.violationCount()));
  }

  @Override
  public String customersJson(String afterCustomer, int limit) {
    RequestLedger ledger = components.ledger;
    return ledger.tracksCustomers()
        ? TelemetryJson.writeCustomers(ledger, afterCustomer, limit)
        : null;
  }
}
