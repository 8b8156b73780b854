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
 * Carries out what {@link Membership} decides: feeds it what sources and connections say, and tells
 * its view.
 */
public final class MembershipService implements EndpointSourceListener, EndpointHealthListener {
  /** Who is told the view. */
  public interface MembershipListener {
    /** Servers that have changed, or all where whole. */
    void endpointsChanged(List<DiscoveredEndpoint> endpoints, boolean isComplete);

    /** A call to discovery failed. */
    void discoveryFailed();

    /** Discovery refuses every connection. */
    void discoveryRefused();

    /**
     * Tries a connect to a server, and tells {@link MembershipService#reachable} or {@link *
     * Members#unreachable}.
     */
    void probeEndpoint(String id);
  }

  /** How a source is made. */
  public interface SourceFactory {
    EndpointSource create(EdgeEventLoop loop, EndpointSourceListener listener, String sourceId);
  }

  /** A place that tells of servers; its name is compared, and told in the log. */
  public record SourceDefinition(String name, SourceFactory factory) {}

  /**
   * A source that was left may tell for so long (ms) still: the platform's old agent closes after
   * 1.5 s.
   */
  private static final double LEFT = 2000;

  /** So many refusals in a row are no restart of an agent. */
  private static final int REFUSED = 4;

  /** Between tries of a server that is dead or held (ms). */
  private static final double TRY = 250;

  private final EdgeEventLoop loop;
  private final MembershipListener view;
  private final Membership core;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private final List<SourceDefinition> places;
  private final double failOver;
  private int at;
  private double heardAt;
  private EndpointSource source;
  private String space;
  private int spaces;
  private int refused;
  private boolean trying;
  private Future<?> timer;
  private double timerAt = Double.POSITIVE_INFINITY;

  /**
   * @param places where servers are told, the first one first
   * @param failOver after how long of silence (ms) the next place takes over, where there is one
   */
  public MembershipService(
      EdgeEventLoop loop,
      MembershipListener view,
      MembershipLimits limits,
      List<SourceDefinition> places,
      double failOver) {
    this.loop = loop;
    this.view = view;
    this.places = new ArrayList<>(places);
    this.failOver = failOver;
    space = name(places.get(0).name());
    core = new Membership(limits, space);
  }

  /** For this platform: the agent at an address. */
  public static SourceDefinition agentSource(InetSocketAddress address) {
    return new SourceDefinition(
        address.getHostString() + ":" + address.getPort(),
        (loop, sink, space) -> new AgentSource(loop, sink, address, space));
  }

  /** Done when discovery itself has told its list. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  /** What was known at the start serves until discovery answers; null where nothing was. */
  public void start(EndpointListJson known) {
    if (known != null) {
      apply(core.loadInitialList(loop.nowMs(), known.version(), known.endpoints()));
    }
    begin();
    if (places.size() > 1) {
      loop.schedule(failOver / 4, this::watchOver);
    }
  }

  private void begin() {
    heardAt = loop.nowMs();
    source = places.get(at).factory.create(loop, this, space);
    source.start();
  }

  /**
   * A place is elsewhere now; the old one counts until the new one has told, and a while longer.
   */
  public void replaceSource(SourceDefinition current, SourceDefinition replacement) {
    if (replacement.name.equals(current.name)) {
      return;
    }
    for (int i = 0; i < places.size(); i++) {
      if (places.get(i).name.equals(current.name)) {
        places.set(i, replacement);
        if (i == at) {
          change(i);
        }
        return;
      }
    }
  }

  private void change(int to) {
    String before = space;
    at = to;
    space = name(places.get(to).name);
    core.switchSource(loop.nowMs(), space);
    loop.schedule(2 * LEFT, () -> sourceClosed(before)); // also where a connection of it never ends
    if (source != null) {
      source.retire(LEFT);
      begin();
    }
  }

  /** The place in use may have fallen silent. */
  private void watchOver() {
    loop.schedule(failOver / 4, this::watchOver);
    if (loop.nowMs() - heardAt >= failOver) {
      int next = (at + 1) % places.size();
      loop.logLine(
          "servers: nothing from "
              + space
              + " for "
              + Math.round(loop.nowMs() - heardAt)
              + " ms, "
              + places.get(next).name
              + " takes over");
      change(next);
    }
  }

  /**
   * Names of spaces differ, also where discovery moves back: it may have started anew meanwhile.
   */
  private String name(String of) {
    return of + (spaces++ == 0 ? "" : "#" + spaces);
  }

  public MembershipStats stats() {
    return core.stats(loop.nowMs());
  }

  // ---- from sources ----

  @Override
  public long resumeVersion(String of) {
    return of.equals(space) ? core.resumeVersion() : -1;
  }

  @Override
  public void endpointsReceived(
      String of, long seq, boolean whole, List<DiscoveredEndpoint> entries) {
    apply(core.endpointsReceived(loop.nowMs(), of, seq, whole, entries));
    heardOf(of);
  }

  @Override
  public boolean confirmUnchanged(String of, long seq) {
    boolean same = core.confirmUnchanged(loop.nowMs(), of, seq);
    if (same) {
      heardOf(of);
    }
    return same;
  }

  @Override
  public void sourceConfirmed(String of) {
    apply(core.sourceConfirmed(loop.nowMs(), of));
    heardOf(of);
  }

  private void heardOf(String of) {
    if (of.equals(space)) {
      heardAt = loop.nowMs();
      refused = 0;
      ready.complete(null);
    }
  }

  @Override
  public void requestFailed(String of, boolean wasRefused) {
    if (!of.equals(space)) {
      return;
    }
    refused = wasRefused ? refused + 1 : 0;
    if (refused >= REFUSED) {
      view.discoveryRefused();
    }
    view.discoveryFailed();
  }

  @Override
  public void sourceClosed(String of) {
    apply(core.sourceClosed(loop.nowMs(), of));
  }

  // ---- from connections to servers ----

  @Override
  public void responded(String id) {
    MembershipUpdate changes = core.responded(loop.nowMs(), id);
    if (changes != MembershipUpdate.NONE) { // as with nearly every answer
      apply(changes);
    }
  }

  @Override
  public void connected(String id) {
    apply(core.connected(loop.nowMs(), id));
  }

  @Override
  public void connectFailed(String id, boolean wasRefused, int standing) {
    apply(core.connectFailed(loop.nowMs(), id, wasRefused, standing));
  }

  // ---- the view ----

  private void apply(MembershipUpdate changes) {
    for (String note : changes.messages()) {
      loop.logLine("servers: " + note);
    }
    if (!changes.endpoints().isEmpty()) {
      view.endpointsChanged(changes.endpoints(), changes.isComplete());
    }
    if (changes.mustResync() && source != null) {
      source.resync();
    }
    tryOut();
    arm();
  }

  private void tryOut() {
    if (trying || core.endpointsToProbe().isEmpty()) {
      return;
    }
    trying = true;
    loop.schedule(
        TRY,
        () -> {
          trying = false;
          Collection<String> all = new ArrayList<>(core.endpointsToProbe());
          all.forEach(view::probeEndpoint);
          tryOut();
        });
  }

  private void arm() {
    double at = core.nextTickMs();
    if (at >= timerAt) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    timerAt = at;
    timer =
        loop.schedule(
            Math.max(1, at - loop.nowMs()),
            () -> {
              timerAt = Double.POSITIVE_INFINITY;
              timer = null;
              apply(core.tick(loop.nowMs()));
            });
  }
}
