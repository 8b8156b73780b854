package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointHealthListener;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.membership.MembershipStats;
import edgenode.membership.MembershipUpdate;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Carries out what {@link Membership} decides: passes on what sources and connections report, runs
 * its timers, and notifies a {@link MembershipListener} of the view. Lives on the event loop.
 */
public final class MembershipService implements EndpointSourceListener, EndpointHealthListener {
  /** How long a retired source may still report; the platform closes a former agent after 1.5 s. */
  private static final double RETIREMENT_GRACE_MS = 2000;

  /** So many refused connects in a row are not the restart of an agent. */
  private static final int REFUSED_CONNECT_THRESHOLD = 4;

  private static final double REACHABILITY_CHECK_INTERVAL_MS = 250;
  private static final int FAIL_OVER_CHECKS = 4;

  private final EdgeEventLoop loop;
  private final MembershipListener listener;
  private final Membership membership;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private final List<SourceDefinition> definitions;
  private final double failOverMs;
  private int definitionIndex;
  private double confirmedAtMs;
  private EndpointSource source;
  private String sourceId;
  private int sourceCount;
  private int refusedConnects;
  private boolean isCheckScheduled;
  private Future<?> timer;
  private double timerAtMs = Double.POSITIVE_INFINITY;

  /**
   * Creates a service that connects when it is started.
   *
   * @param definitions the sources, the first one to be used first
   * @param failOverMs after how long without a report the next source takes over, where there is
   *     one (ms)
   */
  public MembershipService(
      EdgeEventLoop loop,
      MembershipListener listener,
      MembershipLimits limits,
      List<SourceDefinition> definitions,
      double failOverMs) {
    this.loop = loop;
    this.listener = listener;
    this.definitions = new ArrayList<>(definitions);
    this.failOverMs = failOverMs;
    sourceId = newSourceId(definitions.get(0));
    membership = new Membership(limits, sourceId);
  }

  /** This platform's source: the agent at an address. */
  public static SourceDefinition agentSource(InetSocketAddress address) {
    return new SourceDefinition(
        address.getHostString() + ":" + address.getPort(),
        (loop, listener, sourceId) -> new AgentSource(loop, listener, address, sourceId));
  }

  /** Done when the source itself has reported its list. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  /**
   * Starts the first source.
   *
   * @param initialList a list that was known before, used until the source reports; null where
   *     there is none
   */
  public void start(EndpointListJson initialList) {
    if (initialList != null) {
      apply(
          membership.loadInitialList(loop.nowMs(), initialList.version(), initialList.endpoints()));
    }
    startSource();
    if (definitions.size() > 1) {
      loop.schedule(failOverMs / FAIL_OVER_CHECKS, this::checkFailOver);
    }
  }

  private void startSource() {
    confirmedAtMs = loop.nowMs();
    source = definitions.get(definitionIndex).factory().create(loop, this, sourceId);
    source.start();
  }

  /**
   * Replaces a source by another, as after a change of its address. The former one counts until the
   * new one has reported, and a while longer.
   */
  public void replaceSource(SourceDefinition current, SourceDefinition replacement) {
    if (replacement.name().equals(current.name())) {
      return;
    }
    for (int i = 0; i < definitions.size(); i++) {
      if (definitions.get(i).name().equals(current.name())) {
        definitions.set(i, replacement);
        if (i == definitionIndex) {
          switchTo(i);
        }
        return;
      }
    }
  }

  private void switchTo(int index) {
    String formerId = sourceId;
    definitionIndex = index;
    sourceId = newSourceId(definitions.get(index));
    membership.switchSource(loop.nowMs(), sourceId);
    // Also where one of its connections never ends.
    loop.schedule(2 * RETIREMENT_GRACE_MS, () -> sourceClosed(formerId));
    if (source != null) {
      source.retire(RETIREMENT_GRACE_MS);
      startSource();
    }
  }

  private void checkFailOver() {
    loop.schedule(failOverMs / FAIL_OVER_CHECKS, this::checkFailOver);
    double silentMs = loop.nowMs() - confirmedAtMs;
    if (silentMs < failOverMs) {
      return;
    }
    int next = (definitionIndex + 1) % definitions.size();
    loop.logLine(
        "membership: no update from "
            + sourceId
            + " for "
            + Math.round(silentMs)
            + " ms, failing over to "
            + definitions.get(next).name());
    switchTo(next);
  }

  /**
   * A source that comes into use again gets another id: it may have been restarted meanwhile, with
   * other versions.
   */
  private String newSourceId(SourceDefinition definition) {
    return definition.name() + (sourceCount++ == 0 ? "" : "#" + sourceCount);
  }

  /** The view in figures. */
  public MembershipStats stats() {
    return membership.stats(loop.nowMs());
  }

  // ---- from sources ----

  @Override
  public long resumeVersion(String reporterId) {
    return reporterId.equals(sourceId) ? membership.resumeVersion() : -1;
  }

  @Override
  public void endpointsReceived(
      String reporterId, long version, boolean isComplete, List<DiscoveredEndpoint> endpoints) {
    apply(membership.endpointsReceived(loop.nowMs(), reporterId, version, isComplete, endpoints));
    confirm(reporterId);
  }

  @Override
  public boolean confirmUnchanged(String reporterId, long version) {
    boolean isUnchanged = membership.confirmUnchanged(loop.nowMs(), reporterId, version);
    if (isUnchanged) {
      confirm(reporterId);
    }
    return isUnchanged;
  }

  @Override
  public void sourceConfirmed(String reporterId) {
    apply(membership.sourceConfirmed(loop.nowMs(), reporterId));
    confirm(reporterId);
  }

  private void confirm(String reporterId) {
    if (reporterId.equals(sourceId)) {
      confirmedAtMs = loop.nowMs();
      refusedConnects = 0;
      ready.complete(null);
    }
  }

  @Override
  public void requestFailed(String reporterId, boolean isRefused) {
    if (!reporterId.equals(sourceId)) {
      return;
    }
    refusedConnects = isRefused ? refusedConnects + 1 : 0;
    if (refusedConnects >= REFUSED_CONNECT_THRESHOLD) {
      listener.discoveryRefused();
    }
    listener.discoveryFailed();
  }

  @Override
  public void sourceClosed(String reporterId) {
    apply(membership.sourceClosed(loop.nowMs(), reporterId));
  }

  // ---- from connections to endpoints ----

  @Override
  public void responded(String id) {
    MembershipUpdate update = membership.responded(loop.nowMs(), id);
    if (update != MembershipUpdate.NONE) { // nearly every response changes nothing
      apply(update);
    }
  }

  @Override
  public void connected(String id) {
    apply(membership.connected(loop.nowMs(), id));
  }

  @Override
  public void connectFailed(String id, boolean isRefused, int openConnections) {
    apply(membership.connectFailed(loop.nowMs(), id, isRefused, openConnections));
  }

  // ---- the view ----

  private void apply(MembershipUpdate update) {
    for (String message : update.messages()) {
      loop.logLine("membership: " + message);
    }
    if (!update.endpoints().isEmpty()) {
      listener.endpointsChanged(update.endpoints(), update.isComplete());
    }
    if (update.mustResync() && source != null) {
      source.resync();
    }
    scheduleReachabilityChecks();
    scheduleTick();
  }

  private void scheduleReachabilityChecks() {
    if (isCheckScheduled || membership.endpointsToCheck().isEmpty()) {
      return;
    }
    isCheckScheduled = true;
    loop.schedule(
        REACHABILITY_CHECK_INTERVAL_MS,
        () -> {
          isCheckScheduled = false;
          Collection<String> ids = new ArrayList<>(membership.endpointsToCheck());
          ids.forEach(listener::checkReachable);
          scheduleReachabilityChecks();
        });
  }

  private void scheduleTick() {
    double atMs = membership.nextTickMs();
    if (atMs >= timerAtMs) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    timerAtMs = atMs;
    timer =
        loop.schedule(
            Math.max(1, atMs - loop.nowMs()),
            () -> {
              timerAtMs = Double.POSITIVE_INFINITY;
              timer = null;
              apply(membership.tick(loop.nowMs()));
            });
  }
}
