package edgenode.net.upstream;

import edgenode.config.NodeConfig;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/** One endpoint's connections and the attempts that wait for one of them. */
final class EndpointConnections {
  final String id;

  /** {@code address:port} as the endpoint list has it. */
  final String address;

  final InetSocketAddress socketAddress;

  /** Connections without an attempt, the least recently used first. */
  final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();

  /** All established connections. */
  final Set<UpstreamConnection> connections = new LinkedHashSet<>();

  /** Attempts without a connection, the oldest first. */
  final ArrayDeque<UpstreamAttempt> queuedAttempts = new ArrayDeque<>();

  /** Connects that have neither succeeded nor failed yet. */
  int connectingCount;

  /** Whether new attempts may go here. */
  boolean isUp;

  EndpointConnections(String id, String address) {
    this.id = id;
    this.address = address;
    socketAddress = NodeConfig.parseAddress(address);
  }

  /**
   * Writes the attempt on the most recently used connection that may be reused; false where there
   * is none.
   */
  boolean writeOnIdle(UpstreamAttempt attempt, double nowMs) {
    for (Iterator<UpstreamConnection> iterator = idle.descendingIterator(); iterator.hasNext(); ) {
      UpstreamConnection connection = iterator.next();
      if (connection.isReusable(nowMs)) {
        iterator.remove();
        connection.write(attempt);
        return true;
      }
    }
    return false;
  }

  /** Whether more attempts wait than connections that are idle or being established. */
  boolean needsConnection() {
    return queuedAttempts.size() > connectingCount + idle.size();
  }
}
