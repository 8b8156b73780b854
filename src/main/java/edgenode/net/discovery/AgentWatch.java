package edgenode.net.discovery;

/**
 * The life cycle of the watch: opened with a backoff, closed when it is silent for too long, and
 * renewed beside the connection that stands when a poll is ahead of it.
 */
final class AgentWatch {
  /**
   * A watch sends a line every 2 s: one that misses two and stays silent is dead. The next one is
   * opened at once, and a connect that needs all its time must still fit in the recovery limit.
   */
  private static final double SILENCE_TIMEOUT_MS =
      AgentSource.RECOVERY_LIMIT_MS - AgentSession.CONNECT_TIMEOUT_MS - 500;

  /** A poll was ahead of the watch for so long: the watch has stalled. */
  private static final double MAX_LAG_MS = 80;

  /** After a connection that worked the next one is opened at once. */
  private static final double INITIAL_BACKOFF_MS = 10;

  private static final double MAX_BACKOFF_MS = 2000;

  /** Watches that failed without a line, in a row, after which a long list is polled after all. */
  private static final int MAX_FAILED_WATCHES = 2;

  /** Timers fire with a precision of 1 ms. */
  private static final double TIMER_SLACK_MS = 1;

  private final AgentSession session;
  private WatchConnection following;

  /**
   * The watch that stays in use until its replacement, which is being connected or waits for its
   * response, is answered; null where none is replaced.
   */
  private WatchConnection retiring;

  private boolean isConnecting;
  private double backoffMs = INITIAL_BACKOFF_MS;
  private double renewedAtMs = Double.NEGATIVE_INFINITY;
  private double renewalIntervalMs = AgentSource.POLL_INTERVAL_MS;
  private int failedWatches;

  AgentWatch(AgentSession session) {
    this.session = session;
  }

  /** Opens a watch, unless there is one or the source was retired. */
  void open() {
    if (isConnecting || following != null || session.isRetired()) {
      return;
    }
    isConnecting = true;
    session.connect(new WatchConnection(session, this));
  }

  /** Replaces an established watch by a new one. */
  void reopen() {
    if (following != null) {
      WatchConnection old = following;
      following = null;
      old.close();
      open();
    }
  }

  /** Closes the established connections. */
  void close() {
    if (following != null) {
      following.close();
    }
    if (retiring != null) {
      retiring.close();
    }
  }

  /** Closes a watch that has been silent for too long. */
  void checkSilence(double nowMs) {
    if (following != null && nowMs - following.lastReadMs() > SILENCE_TIMEOUT_MS) {
      backoffMs = INITIAL_BACKOFF_MS; // the silence was the pause: connect again without backoff
      following.close();
    }
  }

  /**
   * Whether the list is too long to be polled, and the watch is renewed in place of that; not if
   * watches keep failing.
   */
  boolean replacesPolls() {
    return session.listBytes() > AgentSource.MAX_POLLED_LIST_BYTES
        && failedWatches < MAX_FAILED_WATCHES;
  }

  /** Renews a watch that has said nothing for a poll interval. */
  void renewIfQuiet(double nowMs) {
    renewalIntervalMs = AgentSource.POLL_INTERVAL_MS;
    if (following != null
        && following.isAwaitingResponse()
        && nowMs - following.lastReadMs() >= AgentSource.POLL_INTERVAL_MS - TIMER_SLACK_MS) {
      renew();
    }
  }

  /** Opens a watch beside the one that stands, which ends when the new one is answered. */
  private void renew() {
    double nowMs = session.loop.nowMs();
    if (isConnecting || nowMs - renewedAtMs < renewalIntervalMs) {
      return;
    }
    if (retiring != null) { // the newest has not been answered either
      retiring.close();
    }
    renewedAtMs = nowMs;
    retiring = following;
    following = null;
    open();
  }

  // ---- versions ----

  /** The first list of a watch arrived. */
  void listReceived(long version) {
    if (following != null && version <= following.version()) {
      caughtUp();
    }
  }

  /** A poll brought a list: a watch that stays behind it has stalled. */
  void pollReceived(long version) {
    if (following == null) {
      return;
    }
    if (version <= following.version()) {
      caughtUp();
      return;
    }
    if (!following.isStreaming()) {
      return;
    }
    double nowMs = session.loop.nowMs();
    if (Double.isNaN(following.behindSinceMs())) {
      following.setBehindSinceMs(nowMs);
    } else if (nowMs - following.behindSinceMs() >= MAX_LAG_MS) {
      renew();
      renewalIntervalMs = Math.min(2 * renewalIntervalMs, MAX_BACKOFF_MS);
    }
  }

  private void caughtUp() {
    following.setBehindSinceMs(Double.NaN);
    renewalIntervalMs = AgentSource.POLL_INTERVAL_MS;
  }

  // ---- events of connections ----

  void established(WatchConnection connection) {
    isConnecting = false;
    following = connection;
  }

  /** The response to a watch began: the one that it replaces ends. */
  void responseStarted(WatchConnection connection) {
    if (retiring != null && retiring != connection) {
      retiring.close();
    }
  }

  /** A watch brought its first list. */
  void resetBackoff() {
    backoffMs = INITIAL_BACKOFF_MS;
  }

  /** A watch brought a line. */
  void messageReceived() {
    resetBackoff();
    failedWatches = 0;
  }

  /** A poll was answered: a long list is polled once for each further watch that fails. */
  void agentResponded() {
    failedWatches = Math.min(failedWatches, MAX_FAILED_WATCHES - 1);
  }

  void connectFailed(boolean isRefused) {
    if (retiring != null) { // the one that stands goes on
      following = retiring;
      retiring = null;
    }
    failed(isRefused);
  }

  void disconnected(WatchConnection connection) {
    if (connection == following) {
      following = null;
      failed(false);
    } else if (connection == retiring) {
      retiring = null;
    }
  }

  private void failed(boolean isRefused) {
    isConnecting = false;
    if (session.isRetired()) {
      return;
    }
    failedWatches++;
    session.listener.requestFailed(session.sourceId, isRefused);
    session.loop.schedule(backoffMs, this::open);
    backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
  }
}
