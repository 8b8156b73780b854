package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Requests the complete list from the agent again and again. A request that is not answered within
 * {@link AgentSource#POLL_TIMEOUT_MS} is sent once more on a new connection. While nothing is
 * answered, requests become rarer, and the last ones stay open: a discovery that is back answers
 * those first.
 */
final class AgentPoller {
  /** Connections that may be open at once: the one in use, and one that was not answered. */
  private static final int MAX_CONNECTIONS = 2;

  private static final int MAX_BACKOFF_SHIFT = 4;

  private final AgentSession session;
  private final AgentWatch watch;
  private final List<PollConnection> connections = new ArrayList<>();
  private final ByteBuf request;
  private int unansweredRequests;
  private double nextPollMs;

  /** The last response that held a list, with its head; responses are compared with it. */
  private ByteBuf lastResponse = Unpooled.EMPTY_BUFFER;

  private long lastVersion = -1;

  AgentPoller(AgentSession session, AgentWatch watch) {
    this.session = session;
    this.watch = watch;
    request =
        Unpooled.unreleasableBuffer(
            Unpooled.copiedBuffer(
                "GET " + AgentSession.PATH + " HTTP/1.1\r\nhost: " + session.host() + "\r\n\r\n",
                StandardCharsets.US_ASCII));
  }

  /** The bytes of a request, to be written once. */
  ByteBuf request() {
    return request.duplicate();
  }

  /** Whether the next request is due; requests are rarer while nobody answers. */
  boolean isDue(double nowMs) {
    return nowMs >= nextPollMs;
  }

  /** Requests the list on a connection that is idle, or on a new one. */
  void poll() {
    for (PollConnection connection : connections) {
      if (connection.isGrowing()) {
        return; // a response that takes longer than two intervals would never be complete
      }
    }
    nextPollMs = session.loop.nowMs() + intervalMs() - AgentSource.POLL_INTERVAL_MS / 2;
    for (PollConnection connection : connections) {
      if (!connection.isAwaitingResponse() && connection.isEstablished()) {
        connection.request();
        return;
      }
    }
    if (connections.size() >= MAX_CONNECTIONS) {
      connections.get(0).close(); // the one that has been silent longest
    }
    PollConnection connection = new PollConnection(session, this);
    connections.add(connection);
    session.connect(connection);
  }

  private double intervalMs() {
    if (unansweredRequests < MAX_CONNECTIONS) {
      return AgentSource.POLL_INTERVAL_MS;
    }
    int shift = Math.min(unansweredRequests - 1, MAX_BACKOFF_SHIFT);
    return Math.min(AgentSource.MAX_POLL_INTERVAL_MS, AgentSource.POLL_INTERVAL_MS * (1 << shift));
  }

  /** Closes all connections. */
  void closeAll() {
    for (PollConnection connection : connections.toArray(new PollConnection[0])) {
      connection.close();
    }
  }

  /** Parses the next response even if it equals the last one. */
  void forgetLastResponse() {
    lastResponse = Unpooled.EMPTY_BUFFER;
  }

  /** The last response that held a list; empty where there is none. */
  ByteBuf lastResponse() {
    return lastResponse;
  }

  long lastVersion() {
    return lastVersion;
  }

  /** Remembers a response for comparison, with its list's version. */
  void setLastResponse(ByteBuf response, long version) {
    lastResponse = Unpooled.copiedBuffer(response);
    lastVersion = version;
  }

  // ---- events of connections ----

  /** A list of this version was received. */
  void listReceived(long version) {
    watch.pollReceived(version);
  }

  /** A request was answered with a list. */
  void responded(PollConnection connection) {
    unansweredRequests = 0;
    watch.agentResponded();
    connection.cancelTimeout();
  }

  /** A request was not answered in time. */
  void timedOut() {
    unansweredRequests++;
    if (unansweredRequests <= MAX_CONNECTIONS) {
      poll();
    }
  }

  /** A connection was lost with a request open. */
  void requestLost() {
    unansweredRequests++;
    if (unansweredRequests <= MAX_CONNECTIONS) {
      nextPollMs = 0;
    }
  }

  /** Returns false where the connection was removed before. */
  boolean remove(PollConnection connection) {
    return connections.remove(connection);
  }
}
