package edgenode.net.downstream;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.PartialMessageBudget;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Accepts clients' connections, bounds their number and sends clients away when the node drains. On
 * the event loop only, except for {@link #bind}.
 */
public final class ClientListener {
  /**
   * Part of the connection limit that is accepted beyond it while evicted connections are closing.
   */
  public static final double OVER_LIMIT_SHARE = 1.0 / 16;

  private static final int BACKLOG = 1024;

  /** Sizes of one read. A read buffer is held with the part of a command that was read into it. */
  private static final int MIN_READ_BYTES = 64;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 16 << 10;

  /** Reads of one connection in a pass of the loop, in which the others wait. */
  private static final int MAX_READS_PER_PASS = 4;

  /** A connection without a complete command for this time (ms) gets an error and is closed. */
  private static final double COMMAND_TIMEOUT_MS = 2500;

  private static final double SWEEP_INTERVAL_MS = 250;

  /**
   * Least time (ms) between evictions while nothing is accepted: most connections close at once.
   */
  private static final double MIN_EVICTION_DELAY_MS = 20;

  /**
   * A client that takes nothing of its responses for this time (ms) is disconnected, also in a
   * drain. One that reads slowly is seen to take something only when its system has room for a
   * whole segment again, or for a sixteenth of its buffer: 64 KB at a time on loopback.
   */
  private static final double STALL_TIMEOUT_MS = 60_000;

  /** The same once the process is about to end, which waits for its clients. */
  private static final double SHUTDOWN_STALL_TIMEOUT_MS = 15_000;

  private final EdgeEventLoop loop;
  private final RequestHandler requestHandler;
  private final int maxConnections;
  private final boolean isAddressShared;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** The connections that are not closing. */
  private final EvictionOrder<ClientConnection> evictionOrder = new EvictionOrder<>();

  private final PartialMessageBudget partialCommands = new PartialMessageBudget();
  private final ResponseBufferBudget responseBudget = new ResponseBufferBudget();

  /** Null until the address is bound. */
  private Channel listenChannel;

  /** Nothing is accepted, as the limit is reached. */
  private boolean isAcceptPaused;

  private boolean isEvictionScheduled;
  private boolean isClosing;
  private boolean isReadingStopped;
  private boolean isShuttingDown;
  private boolean isAcceptingClients = true;

  /**
   * Creates a listener that is not bound.
   *
   * @param maxConnections connections held at once; at the limit an idle one is evicted
   * @param isAddressShared whether another process may listen at the same address, as a new version
   *     does during an upgrade
   */
  public ClientListener(
      EdgeEventLoop loop,
      RequestHandler requestHandler,
      int maxConnections,
      boolean isAddressShared) {
    this.loop = loop;
    this.requestHandler = requestHandler;
    this.maxConnections = maxConnections;
    this.isAddressShared = isAddressShared;
  }

  /** Binds the address; from any thread. The future fails where the address cannot be bound. */
  public ChannelFuture bind(InetSocketAddress address) {
    ServerBootstrap bootstrap = loop.transport().newServerBootstrap(loop.group(), BACKLOG);
    bootstrap.childOption(
        ChannelOption.RECVBUF_ALLOCATOR,
        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
            .maxMessagesPerRead(MAX_READS_PER_PASS));
    return (isAddressShared ? loop.transport().withSharedPort(bootstrap) : bootstrap)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                listenChannel = channel; // here, as a client may connect before bind returns
              }
            })
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connectionAccepted(channel);
              }
            })
        .bind(loop.transport().toSocketAddress(address));
  }

  /** Starts the periodic sweep of connections. */
  public void start() {
    loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
  }

  private void connectionAccepted(Channel channel) {
    ClientConnection connection = new ClientConnection(this, loop, channel);
    connections.add(connection);
    evictionOrder.connected(connection, connection.acceptedAtMs());
    enforceConnectionLimit();
  }

  /** A connection is closed: it is in no table any more. */
  void connectionClosed(ClientConnection connection) {
    connections.remove(connection);
    evictionOrder.remove(connection);
  }

  /**
   * Closes connections that are silent or stopped within a command; they would use up the limit.
   */
  private void sweep() {
    loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    double nowMs = loop.nowMs();
    for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
      connection.responses().useFreedBuffers();
      connection.closeIfStalled(nowMs);
      if (connection.isCommandOverdue(nowMs - COMMAND_TIMEOUT_MS)) {
        connection.rejectInput("no whole command came");
      } else if (isClosing
          && connection.isBetweenRequests()
          && connection.acceptedAtMs() < nowMs - EvictionOrder.SILENT_GRACE_MS) {
        connection.closeGracefully(); // accepted after the others were closed, and silent
      }
    }
  }

  /**
   * Above the limit evicts a connection; where none may be evicted, stops accepting. That ends when
   * a connection closes, or when one may be evicted: as time has passed, or as it is idle by now.
   */
  void enforceConnectionLimit() {
    if (connections.size() > maxConnections) {
      ClientConnection evicted = evictionOrder.nextToEvict(loop.nowMs());
      if (evicted != null) {
        evicted.evict();
      }
    }
    double maxAccepted = maxConnections + Math.max(1, maxConnections * OVER_LIMIT_SHARE);
    isAcceptPaused = connections.size() >= maxAccepted;
    listenChannel.config().setAutoRead(!isAcceptPaused);
    evictLater();
  }

  /** All commands of a connection are answered: it may be evicted. */
  void connectionIdle(ClientConnection connection) {
    evictionOrder.allResponsesWritten(connection, loop.nowMs());
    evictLater();
  }

  /** While nothing is accepted, looks again as soon as a connection may be evicted. */
  private void evictLater() {
    double evictableAtMs = evictionOrder.nextEvictableMs();
    if (isAcceptPaused && !isEvictionScheduled && evictableAtMs < Double.POSITIVE_INFINITY) {
      isEvictionScheduled = true;
      double delayMs = Math.max(MIN_EVICTION_DELAY_MS, evictableAtMs - loop.nowMs());
      loop.schedule(delayMs, this::evictionDue);
    }
  }

  private void evictionDue() {
    isEvictionScheduled = false;
    if (isAcceptPaused) {
      enforceConnectionLimit();
    }
  }

  /**
   * Closes the connections that are between requests, and from now on each after its last response.
   * A partially read command may be completed, and is answered.
   */
  public void closeIdleConnections() {
    isClosing = true;
    for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
      if (connection.isBetweenRequests()) {
        connection.closeGracefully();
      }
    }
  }

  /** Sets how PING is answered: whether load balancers are to send clients here. */
  public void setAcceptingClients(boolean isAccepting) {
    isAcceptingClients = isAccepting;
  }

  /**
   * Reads no further commands from connections with open requests; others may complete the command
   * that is partially read.
   */
  public void stopFurtherRequests() {
    isReadingStopped = true;
    updateReading();
  }

  /**
   * Reverts {@link #closeIdleConnections} and {@link #stopFurtherRequests}; connections that are
   * closing stay so.
   */
  public void cancelClose() {
    isClosing = false;
    isReadingStopped = false;
    updateReading();
  }

  private void updateReading() {
    for (ClientConnection connection : connections) {
      connection.updateReading();
    }
  }

  /** Where another process listens at the same address, it gets all new connections from now on. */
  public void stopAcceptingAtSharedAddress() {
    if (isAddressShared
        && listenChannel != null
        && !loop.transport().yieldNewConnections(listenChannel)) {
      loop.logLine("clients: new connections go on being dealt to both processes at this address");
    }
  }

  /** The process ends once its clients have their responses, or have stopped to read. */
  public void startShutdown() {
    isShuttingDown = true;
  }

  /** Closes the listening socket, where there is one; connections stay. */
  public void stopListening() {
    if (listenChannel != null) {
      listenChannel.close();
    }
  }

  /** Accepted requests without a complete response, counted at the connections: O(requests). */
  public int openRequestCount() {
    int count = 0;
    for (ClientConnection connection : connections) {
      count += connection.openRequestCount();
    }
    return count;
  }

  /** Whether all connections are closed. */
  public boolean hasNoConnections() {
    return connections.isEmpty();
  }

  /** Whether a client has not read all of a response. */
  public boolean hasUnwrittenResponses() {
    for (ClientConnection connection : connections) {
      if (connection.hasUndeliveredResponses()) {
        return true;
      }
    }
    return false;
  }

  RequestHandler requestHandler() {
    return requestHandler;
  }

  PartialMessageBudget partialCommands() {
    return partialCommands;
  }

  ResponseBufferBudget responseBudget() {
    return responseBudget;
  }

  EvictionOrder<ClientConnection> evictionOrder() {
    return evictionOrder;
  }

  boolean isClosing() {
    return isClosing;
  }

  /** Time (ms) after which a client is disconnected that takes nothing of its responses. */
  double stallTimeoutMs() {
    return isShuttingDown ? SHUTDOWN_STALL_TIMEOUT_MS : STALL_TIMEOUT_MS;
  }

  boolean isReadingStopped() {
    return isReadingStopped;
  }

  boolean isAcceptingClients() {
    return isAcceptingClients;
  }
}
