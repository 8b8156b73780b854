package edgenode.net.discovery;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import java.net.InetSocketAddress;

/**
 * The discovery of this platform: an agent on the same machine that answers at once. A connection
 * that has stalled looks like one that has nothing to say; so the list is watched on one connection
 * ({@link AgentWatch}) and polled on another ({@link AgentPoller}), every {@link
 * #POLL_INTERVAL_MS}. A poll that is not answered within {@link #POLL_TIMEOUT_MS} is repeated on a
 * new connection, so that a drain is known after the sum of both at the latest, wherever one
 * connection has stalled.
 *
 * <p>A list longer than {@link #MAX_POLLED_LIST_BYTES} costs too much to be polled so often: then
 * the watch itself is renewed each time that it has said nothing for a poll interval, from the last
 * version.
 *
 * <p>After a call that failed, was refused or was given up, a change must be known {@link
 * #RECOVERY_LIMIT_MS} after discovery can be reached again: a call's own timeout, the backoff
 * behind it and the call that follows must fit in that. docs/design/moments.md has the sums.
 */
public final class AgentSource implements EndpointSource {
  static final double POLL_INTERVAL_MS = 125;
  static final double POLL_TIMEOUT_MS = 60;

  /** The interval of polls while nothing is answered. */
  static final double MAX_POLL_INTERVAL_MS = 800;

  static final int MAX_POLLED_LIST_BYTES = 48 << 10;

  /** The operators' limit for the time from a recovery of discovery to the list being known. */
  static final double RECOVERY_LIMIT_MS = 6000;

  private final AgentSession session;
  private final AgentWatch watch;
  private final AgentPoller poller;

  /**
   * Creates a source that connects when it is started.
   *
   * @param sourceId the name that is given to the listener with each report
   */
  public AgentSource(
      EdgeEventLoop loop,
      EndpointSourceListener listener,
      InetSocketAddress address,
      String sourceId) {
    session = new AgentSession(loop, listener, address, sourceId);
    watch = new AgentWatch(session);
    poller = new AgentPoller(session, watch);
  }

  @Override
  public void start() {
    watch.open();
    session.loop.schedule(POLL_INTERVAL_MS, this::tick);
  }

  @Override
  public void resync() {
    poller.forgetLastResponse();
    poller.closeAll();
    watch.reopen();
  }

  @Override
  public void retire(double graceMs) {
    session.retire();
    poller.closeAll();
    session.loop.schedule(
        graceMs,
        () -> {
          watch.close();
          session.reportIfClosed();
        });
  }

  private void tick() {
    if (session.isRetired()) {
      return;
    }
    session.loop.schedule(POLL_INTERVAL_MS, this::tick);
    double nowMs = session.loop.nowMs();
    watch.checkSilence(nowMs);
    if (!poller.isDue(nowMs)) {
      return;
    }
    if (watch.replacesPolls()) {
      watch.renewIfQuiet(nowMs);
    } else {
      poller.poll();
    }
  }
}
