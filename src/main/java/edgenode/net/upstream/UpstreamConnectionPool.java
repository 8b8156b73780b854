package edgenode.net.upstream;

import edgenode.config.NodeConfig;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointHealthListener;
import edgenode.net.resp.PartialMessageBudget;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointState;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The connections to all endpoints, and the attempts and health checks on them. Opens connections
 * when attempts need them, up to a limit, reuses idle ones and closes those that have been idle for
 * long. Runs on the event loop thread only.
 */
public final class UpstreamConnectionPool {
  /** The load report of an endpoint that sent none. */
  public static final double[] NO_LOAD_REPORT = new double[0];

  /**
   * Idle connections are closed after this share of the endpoints' keep-alive: at its end an
   * attempt could meet the endpoint's own close, and would be reset.
   */
  private static final double IDLE_RETIREMENT_SHARE = 0.4;

  /** With more nodes, most connections opened ahead would never carry a request. */
  private static final int MAX_NODES_TO_CONNECT_AHEAD = 8;

  private static final double IDLE_SWEEP_INTERVAL_MS = 500;
  private static final double HEALTH_CHECK_TIMEOUT_MS = 250;

  /** Sizes of one read, small at first: many long values may be transferred at once. */
  private static final int MIN_READ_BYTES = 256;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 32 << 10;

  private final EdgeEventLoop eventLoop;
  private final EndpointHealthListener health;
  private final HealthCheckListener healthCheckListener;
  private final Bootstrap bootstrap;
  private final NodeConfig config;
  private final int maxConnections;
  private final ResponseReader responseReader;
  private final PartialMessageBudget partialResponses = new PartialMessageBudget();
  private final Map<String, EndpointConnections> endpoints = new HashMap<>();
  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();

  /** Connections that are established or being established. */
  private int openCount;

  /**
   * Creates a pool without connections.
   *
   * @param health receives which endpoints were reached, or not
   * @param maxConnections most connections at once; at the limit an idle connection of any endpoint
   *     is closed to make room
   */
  public UpstreamConnectionPool(
      EdgeEventLoop eventLoop,
      EndpointHealthListener health,
      HealthCheckListener healthCheckListener,
      NodeConfig config,
      int maxConnections) {
    this.eventLoop = eventLoop;
    this.health = health;
    this.healthCheckListener = healthCheckListener;
    this.config = config;
    this.maxConnections = maxConnections;
    responseReader =
        new ResponseReader(this, eventLoop, health, config.settings().loadReportFields());
    bootstrap =
        eventLoop
            .transport()
            .newClientBootstrap(eventLoop.group(), (int) config.connectTimeoutMs())
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
  }

  PartialMessageBudget partialResponses() {
    return partialResponses;
  }

  /** Completed once all connects that the first endpoint list caused have succeeded or failed. */
  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  /** Starts closing connections that are idle for long. */
  public void start() {
    eventLoop.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeIdleConnections);
  }

  private void closeIdleConnections() {
    eventLoop.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeIdleConnections);
    double usedBeforeMs = eventLoop.nowMs() - config.keepAliveMs() * IDLE_RETIREMENT_SHARE;
    for (EndpointConnections endpoint : endpoints.values()) {
      while (!endpoint.idle.isEmpty() && endpoint.idle.peek().lastUsedMs() < usedBeforeMs) {
        endpoint.idle.poll().close();
      }
    }
  }

  // ---- the endpoint list ----

  /**
   * The membership's list has changed.
   *
   * @param changed the endpoints that are new, changed or removed
   */
  public void endpointsChanged(List<DiscoveredEndpoint> changed) {
    for (DiscoveredEndpoint endpoint : changed) {
      endpointChanged(endpoint);
    }
    completeWhenReady();
  }

  private void endpointChanged(DiscoveredEndpoint discovered) {
    String id = discovered.info().id();
    EndpointConnections previous = endpoints.get(id);
    if (discovered.info().state() == EndpointState.REMOVED) {
      drain(endpoints.remove(id));
      return;
    }
    EndpointConnections endpoint = previous;
    if (previous == null || !previous.address.equals(discovered.address())) {
      drain(previous);
      endpoint = new EndpointConnections(id, discovered.address());
      endpoints.put(id, endpoint);
    }
    endpoint.isUp = discovered.info().state() == EndpointState.UP;
    if (!endpoint.isUp) {
      drain(endpoint);
    } else if (endpoint.connections.isEmpty()
        && endpoint.connectingCount == 0
        && config.settings().nodeCount() <= MAX_NODES_TO_CONNECT_AHEAD) {
      connect(endpoint); // so that the first request need not wait for one
    }
  }

  /**
   * Sends nothing more to an endpoint that is draining, removed or has another address; attempts in
   * flight may end.
   *
   * @param endpoint may be null: nothing to do
   */
  private void drain(EndpointConnections endpoint) {
    if (endpoint == null) {
      return;
    }
    endpoint.isUp = false;
    for (UpstreamConnection connection : endpoint.idle.toArray(new UpstreamConnection[0])) {
      connection.close();
    }
    while (!endpoint.queuedAttempts.isEmpty()) {
      endLater(endpoint.queuedAttempts.poll(), CallOutcome.NO_CONNECTION);
    }
  }

  private void completeWhenReady() {
    if (!whenReady.isDone()
        && !endpoints.isEmpty()
        && endpoints.values().stream().allMatch(endpoint -> endpoint.connectingCount == 0)) {
      whenReady.complete(null);
    }
  }

  // ---- attempts ----

  /**
   * Sends an attempt, at once or when a connection is available. Its end is reported to its request
   * after this method has returned: {@link CallOutcome#NO_CONNECTION} where the endpoint is not up
   * or no connection can be had.
   */
  public void send(UpstreamAttempt attempt) {
    EndpointConnections endpoint = endpoints.get(attempt.endpointId());
    if (endpoint == null || !endpoint.isUp) {
      endLater(attempt, CallOutcome.NO_CONNECTION);
      return;
    }
    if (endpoint.writeOnReusable(attempt, eventLoop.nowMs())) {
      return;
    }
    if (!endpoint.idle.isEmpty()) {
      endpoint.queuedAttempts.add(attempt); // sooner than a new connection would be established
      eventLoop.schedule(UpstreamConnection.REUSE_DELAY_MS, () -> dispatchQueued(endpoint));
      return;
    }
    if (openCount >= maxConnections && !closeOneIdle()) {
      endLater(attempt, CallOutcome.NO_CONNECTION);
      return;
    }
    endpoint.queuedAttempts.add(attempt);
    connect(endpoint);
  }

  /** Writes queued attempts, the oldest first, and connects where too few connections are left. */
  void dispatchQueued(EndpointConnections endpoint) {
    while (!endpoint.queuedAttempts.isEmpty()) {
      UpstreamAttempt attempt = endpoint.queuedAttempts.peek();
      if (eventLoop.nowMs() >= attempt.writeDeadlineMs()) {
        endLater(attempt, CallOutcome.NO_CONNECTION);
      } else if (!attempt.isHealthCheck() && !attempt.request().isClientWaiting()) {
        endLater(attempt, CallOutcome.NOT_SENT);
      } else if (!endpoint.writeOnReusable(attempt, eventLoop.nowMs())) {
        break;
      }
      endpoint.queuedAttempts.poll();
    }
    if (endpoint.needsConnection()) {
      connect(endpoint);
    }
  }

  /** Asks an endpoint for its load report; the listener receives the result. */
  public void checkHealth(String endpointId) {
    UpstreamAttempt attempt =
        new UpstreamAttempt(null, 0, endpointId, eventLoop.nowMs(), Double.POSITIVE_INFINITY);
    eventLoop.schedule(HEALTH_CHECK_TIMEOUT_MS, () -> abandon(attempt, CallOutcome.TIMEOUT));
    send(attempt);
  }

  /**
   * Stops waiting for an attempt; nothing happens where it has ended. One whose last byte was not
   * written cannot have run: its time-out is reported as {@link CallOutcome#NO_CONNECTION}.
   */
  public void abandon(UpstreamAttempt attempt, CallOutcome outcome) {
    if (attempt.isEnded()) {
      return;
    }
    UpstreamConnection connection = attempt.connection();
    boolean isUnwritten = connection == null || !connection.isWritten();
    detach(attempt); // first: a listener may send the next attempt at once
    end(
        attempt,
        isUnwritten && outcome == CallOutcome.TIMEOUT ? CallOutcome.NO_CONNECTION : outcome);
  }

  /**
   * Nobody waits for the attempt's response any more: one that is still queued is not sent, and
   * ends as {@link CallOutcome#NOT_SENT}; one that was written goes on.
   */
  public void cancelIfQueued(UpstreamAttempt attempt) {
    if (attempt.isQueued()) {
      detach(attempt);
      endLater(attempt, CallOutcome.NOT_SENT);
    }
  }

  private void detach(UpstreamAttempt attempt) {
    if (attempt.connection() != null) {
      attempt.connection().abandonAttempt();
      return;
    }
    EndpointConnections endpoint = endpoints.get(attempt.endpointId());
    if (endpoint != null) {
      endpoint.queuedAttempts.remove(attempt);
    }
  }

  private void endLater(UpstreamAttempt attempt, CallOutcome outcome) {
    eventLoop.execute(() -> end(attempt, outcome));
  }

  /** Ends an attempt without value and load report. */
  void end(UpstreamAttempt attempt, CallOutcome outcome) {
    end(attempt, outcome, null, NO_LOAD_REPORT);
  }

  /** Reports an attempt's end; nothing happens where it has ended before. */
  void end(UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
    if (attempt.isEnded()) {
      return;
    }
    attempt.markEnded();
    if (attempt.isHealthCheck()) {
      healthCheckListener.healthCheckEnded(
          attempt.endpointId(), outcome, eventLoop.nowMs() - attempt.requestedAtMs, load);
    } else {
      attempt.request().attemptEnded(attempt, outcome, value, load);
    }
  }

  // ---- connections ----

  /**
   * Connects to an endpoint that the membership holds for down, to see whether it is back; the
   * health listener receives the result.
   */
  public void checkReachable(String endpointId) {
    EndpointConnections endpoint = endpoints.get(endpointId);
    if (endpoint != null && endpoint.isUp && !endpoint.connections.isEmpty()) {
      health.connected(endpointId); // a process that had ended would have reset it
    } else if (endpoint != null
        && endpoint.connectingCount == 0
        && (openCount < maxConnections || closeOneIdle())) {
      connect(endpoint);
    }
  }

  /** Closes the longest idle connection of the first endpoint that has one; false without any. */
  private boolean closeOneIdle() {
    for (EndpointConnections endpoint : endpoints.values()) {
      if (!endpoint.idle.isEmpty()) {
        endpoint.idle.poll().close();
        return true;
      }
    }
    return false;
  }

  private void connect(EndpointConnections endpoint) {
    UpstreamConnection connection =
        new UpstreamConnection(this, eventLoop, responseReader, endpoint);
    endpoint.connectingCount++;
    openCount++;
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                connection.attachTo(channel);
              }
            })
        .connect(eventLoop.transport().toSocketAddress(endpoint.socketAddress))
        .addListener(result -> connectEnded(endpoint, connection, result));
  }

  private void connectEnded(
      EndpointConnections endpoint, UpstreamConnection connection, Future<?> result) {
    endpoint.connectingCount--;
    if (result.isSuccess()) {
      endpoint.connections.add(connection);
    }
    reportReachability(endpoint, result);
    if (!result.isSuccess()) {
      openCount--;
      failOneQueued(endpoint);
    } else if (!endpoint.isUp) {
      connection.close();
    } else {
      connection.established();
      dispatchQueued(endpoint);
    }
    completeWhenReady();
    eventLoop.flushPending();
  }

  /** An address that the endpoint had before says nothing about it. */
  private void reportReachability(EndpointConnections endpoint, Future<?> result) {
    if (endpoints.get(endpoint.id) != endpoint) {
      return;
    }
    if (result.isSuccess()) {
      health.connected(endpoint.id); // which may bring it back up
    } else if (result.cause() instanceof ConnectException) {
      health.connectFailed(
          endpoint.id, Transport.isRefused(result.cause()), endpoint.connections.size());
    }
  }

  /**
   * Fails the oldest queued attempt where fewer connects and idle connections are left than
   * attempts wait. Later, as a connect that finds no file descriptor fails inside {@link #send}.
   */
  private void failOneQueued(EndpointConnections endpoint) {
    if (endpoint.needsConnection()) {
      endLater(endpoint.queuedAttempts.poll(), CallOutcome.NO_CONNECTION);
    }
  }

  /** An established connection has been closed by either side. */
  void connectionClosed(UpstreamConnection connection, EndpointConnections endpoint) {
    openCount--;
    endpoint.idle.remove(connection);
    endpoint.connections.remove(connection);
    if (endpoint.isUp && !endpoint.queuedAttempts.isEmpty()) {
      dispatchQueued(endpoint);
    }
  }

  /** An endpoint has answered a request. */
  void endpointResponded(EndpointConnections endpoint) {
    health.responded(endpoint.id);
  }
}
