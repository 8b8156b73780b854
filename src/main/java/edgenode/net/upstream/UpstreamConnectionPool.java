package edgenode.net.upstream;

import edgenode.config.NodeConfig;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.EndpointHealthListener;
import edgenode.net.resp.LongValueDecoder;
import edgenode.net.resp.RespCodec;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointState;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * Connections to app servers, and the attempts and probes on them. A connection carries one request
 * at a time: answers come in order, so a slow one would hold up those behind it, and giving it up
 * end them all.
 */
public final class UpstreamConnectionPool {
  /** What is asked of an app server, and who hears how it ended. */
  public interface UpstreamRequest {
    /** The command as it goes out at this time. */
    ArrayRedisMessage command(double nowMs, ByteBufAllocator alloc);

    /**
     * Whether its client still waits; asked before it is written to a connection that it had to
     * wait for.
     */
    boolean isClientWaiting();

    /** Its last byte has been written to the server's connection. */
    void attemptWritten(UpstreamAttempt attempt);

    /**
     * Told once, after {@link #send} has returned.
     *
     * @param value where the outcome is OK; the pool's to release
     * @param load the server's report in the order of the settings' fields, or empty
     */
    void attemptEnded(
        UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load);

    /**
     * Told in the place of {@link #ended} where the value is too long to be kept: the attempt has
     * ended well, and the value comes as it is read.
     *
     * @param lengthBytes bytes
     * @return who takes the value, or null where nobody wants it any more
     */
    ValueSink valueStarted(UpstreamAttempt attempt, int lengthBytes, ValueSource source);
  }

  /**
   * Takes a long value. One of {@link #whole} and {@link #broken} ends it, unless the source was
   * stopped.
   */
  public interface ValueSink {
    /**
     * @param bytes the sink's to release
     */
    void onData(ByteBuf bytes);

    /** The answer came whole. */
    void onComplete();

    /** The rest will not come. */
    void onAborted();
  }

  /** Where a long value comes from. */
  public interface ValueSource {
    /** Whether more may come now; until told otherwise it may. */
    void setReading(boolean isReading);

    /** Nobody wants the rest: the sink hears no more. */
    void cancel();
  }

  /** Who hears what probes bring. */
  public interface HealthCheckListener {
    /**
     * @param durationMs ms
     */
    void healthCheckEnded(String endpointId, CallOutcome outcome, double durationMs, double[] load);
  }

  /** Where a server has told nothing of its load. */
  public static final double[] NO_LOAD_REPORT = new double[0];

  /**
   * Part of the servers' idle limit after which a connection is retired: a race would be a reset.
   */
  private static final double IDLE_RETIREMENT_SHARE = 0.4;

  /** With more nodes than this most of the connections opened ahead would never carry a request. */
  private static final int MAX_NODES_TO_CONNECT_AHEAD = 8;

  private static final double IDLE_SWEEP_INTERVAL_MS = 500;

  /** The value, the figures on use, the load report. */
  private static final int RESPONSE_ELEMENTS = 3;

  private static final double HEALTH_CHECK_TIMEOUT_MS = 250;
  private static final int MAX_ARRAY_ELEMENTS = 16;

  /** An answer that has begun is whole within this (ms), or it will not be. */
  private static final double PARTIAL_RESPONSE_TIMEOUT_MS = 250;

  /** A long value of which nothing comes for so long (ms) while it may flow will not be whole. */
  private static final double VALUE_STALL_TIMEOUT_MS = 15_000;

  /** One whose client takes nothing for so long (ms) is given up. */
  private static final double CLIENT_STALL_TIMEOUT_MS = 60_000;

  /** Read at a time (bytes): many long values may be on their way at once. */
  private static final int MIN_READ_BYTES = 256;

  private static final int INITIAL_READ_BYTES = 2048;
  private static final int MAX_READ_BYTES = 32 << 10;

  /**
   * Rest (ms) of a connection after an answer: a second answer may come some milliseconds behind
   * the first, and on a connection that carries the next request by then it would be taken for that
   * one's.
   */
  private static final double REUSE_DELAY_MS = 10;

  /** The reports' names for what the settings call otherwise. */
  private static final Map<String, String> LOAD_FIELD_NAMES =
      Map.of(
          "inflight",
          "outstanding",
          "queue",
          "backlog",
          "util",
          "utilization",
          "latency_ms",
          "recent_ms",
          "qps",
          "throughput",
          "eps",
          "errors_per_s");

  /** What is out on a connection: an attempt of some work, or a probe, which has none. */
  public static final class UpstreamAttempt {
    /** Counted from 0 for each request. */
    public final int number;

    /** When it was asked for (ms on the loop's clock). */
    public final double requestedAtMs;

    /** It must not be written from then on (ms). */
    private final double writeDeadlineMs;

    private final UpstreamRequest request;
    private final String endpointId;
    private boolean isEnded;
    private boolean isWritten;
    private UpstreamConnection connection;

    /**
     * @param writeDeadlineMs when it must not be written any more (ms), or infinity
     */
    public UpstreamAttempt(
        UpstreamRequest request,
        int number,
        String endpointId,
        double requestedAtMs,
        double writeDeadlineMs) {
      this.writeDeadlineMs = writeDeadlineMs;
      this.request = request;
      this.number = number;
      this.endpointId = endpointId;
      this.requestedAtMs = requestedAtMs;
    }

    /** Whether its last byte has been written. */
    public boolean isWritten() {
      return isWritten;
    }

    /** It is not to be sent at all, and is told elsewhere. */
    public void discard() {
      isEnded = true;
    }

    /**
     * It waits for a connection, or for one to have rested: nothing of it has been written
     * anywhere.
     */
    public boolean isQueued() {
      return !isEnded && connection == null;
    }
  }

  /** A server as the list has it, with its connections. */
  private static final class EndpointConnections {
    final String id;
    final String address;
    final InetSocketAddress socketAddress;
    final ArrayDeque<UpstreamConnection> idle = new ArrayDeque<>();
    final Set<UpstreamConnection> connections = new LinkedHashSet<>();
    final ArrayDeque<UpstreamAttempt> queuedAttempts = new ArrayDeque<>();
    int connectingCount;
    boolean isUp;

    EndpointConnections(String id, String address) {
      this.id = id;
      this.address = address;
      socketAddress = NodeConfig.parseAddress(address);
    }

    /**
     * Writes on the connection that was used last, of those that have rested; false where none has.
     */
    boolean writeOnRested(UpstreamAttempt attempt, double nowMs) {
      for (Iterator<UpstreamConnection> iterator = idle.descendingIterator();
          iterator.hasNext(); ) {
        UpstreamConnection connection = iterator.next();
        if (nowMs - connection.lastUsedMs >= REUSE_DELAY_MS && connection.channel.isActive()) {
          iterator.remove();
          connection.write(attempt);
          return true;
        }
      }
      return false;
    }
  }

  private final EdgeEventLoop eventLoop;
  private final EndpointHealthListener health;
  private final HealthCheckListener healthCheckListener;
  private final Bootstrap bootstrap;
  private final NodeConfig config;
  private final int maxConnections;
  private final Map<String, EndpointConnections> endpoints = new HashMap<>();
  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();
  private int openCount;

  /**
   * @param maxConnections connections that are held at once; at the bound an idle one of another
   *     server makes room
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
    bootstrap =
        eventLoop
            .transport()
            .newClientBootstrap(eventLoop.group(), (int) config.connectTimeoutMs())
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES));
  }

  /** Done when no connection that the first list asked for is still to come up or fail. */
  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  // ---- the list ----

  /** Servers that have changed. */
  public void endpointsChanged(List<DiscoveredEndpoint> members) {
    for (DiscoveredEndpoint member : members) {
      String id = member.info().id();
      EndpointConnections previous = endpoints.get(id);
      if (member.info().state() == EndpointState.REMOVED) {
        drain(endpoints.remove(id));
        continue;
      }
      EndpointConnections endpoint = previous;
      if (previous == null || !previous.address.equals(member.address())) {
        drain(previous);
        endpoint = new EndpointConnections(id, member.address());
        endpoints.put(id, endpoint);
      }
      endpoint.isUp = member.info().state() == EndpointState.UP;
      if (!endpoint.isUp) {
        drain(endpoint);
      } else if (endpoint.connections.isEmpty()
          && endpoint.connectingCount == 0
          && config.settings().nodeCount() <= MAX_NODES_TO_CONNECT_AHEAD) {
        connect(endpoint); // so that the first request need not wait for one
      }
    }
    completeWhenReady();
  }

  /** Nothing new goes to a server that drains, is gone or has moved; what is out there may end. */
  private void drain(EndpointConnections endpoint) {
    if (endpoint == null) {
      return;
    }
    endpoint.isUp = false;
    for (UpstreamConnection connection : endpoint.idle.toArray(new UpstreamConnection[0])) {
      connection.channel.close();
    }
    while (!endpoint.queuedAttempts.isEmpty()) {
      UpstreamAttempt attempt = endpoint.queuedAttempts.poll();
      eventLoop.execute(() -> end(attempt, CallOutcome.NO_CONNECTION, null, NO_LOAD_REPORT));
    }
  }

  /**
   * A connect to a server that is shown down, to see whether it lives; kept where that brings it
   * back.
   */
  public void checkReachable(String endpointId) {
    EndpointConnections endpoint = endpoints.get(endpointId);
    if (endpoint != null && endpoint.isUp && !endpoint.connections.isEmpty()) {
      health.connected(endpointId); // a process that died would have reset it
    } else if (endpoint != null
        && endpoint.connectingCount == 0
        && (openCount < maxConnections || closeOneIdle())) {
      connect(endpoint);
    }
  }

  public void start() {
    eventLoop.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeIdleConnections);
  }

  private void closeIdleConnections() {
    eventLoop.schedule(IDLE_SWEEP_INTERVAL_MS, this::closeIdleConnections);
    double usedBeforeMs = eventLoop.nowMs() - config.keepAliveMs() * IDLE_RETIREMENT_SHARE;
    for (EndpointConnections endpoint : endpoints.values()) {
      while (!endpoint.idle.isEmpty() && endpoint.idle.peek().lastUsedMs < usedBeforeMs) {
        endpoint.idle.poll().channel.close();
      }
    }
  }

  private void completeWhenReady() {
    if (!whenReady.isDone()
        && !endpoints.isEmpty()
        && endpoints.values().stream().allMatch(t -> t.connectingCount == 0)) {
      whenReady.complete(null);
    }
  }

  // ---- attempts ----

  public void send(UpstreamAttempt attempt) {
    EndpointConnections endpoint = endpoints.get(attempt.endpointId);
    if (endpoint == null || !endpoint.isUp) {
      eventLoop.execute(() -> end(attempt, CallOutcome.NO_CONNECTION, null, NO_LOAD_REPORT));
      return;
    }
    if (endpoint.writeOnRested(attempt, eventLoop.nowMs())) {
      return;
    }
    if (!endpoint.idle.isEmpty()) {
      endpoint.queuedAttempts.add(attempt); // sooner than a new connection would be up
      eventLoop.schedule(REUSE_DELAY_MS, () -> dispatchQueued(endpoint));
      return;
    }
    if (openCount >= maxConnections && !closeOneIdle()) {
      eventLoop.execute(() -> end(attempt, CallOutcome.NO_CONNECTION, null, NO_LOAD_REPORT));
      return;
    }
    endpoint.queuedAttempts.add(attempt);
    connect(endpoint);
  }

  /**
   * The attempt that has waited longest goes first; none is left with no connection to come or to
   * rest.
   */
  private void dispatchQueued(EndpointConnections endpoint) {
    while (!endpoint.queuedAttempts.isEmpty()) {
      UpstreamAttempt attempt = endpoint.queuedAttempts.peek();
      if (eventLoop.nowMs() >= attempt.writeDeadlineMs) {
        eventLoop.execute(() -> end(attempt, CallOutcome.NO_CONNECTION, null, NO_LOAD_REPORT));
      } else if (attempt.request != null && !attempt.request.isClientWaiting()) {
        eventLoop.execute(() -> end(attempt, CallOutcome.NOT_SENT, null, NO_LOAD_REPORT));
      } else if (!endpoint.writeOnRested(attempt, eventLoop.nowMs())) {
        break;
      }
      endpoint.queuedAttempts.poll();
    }
    if (endpoint.queuedAttempts.size() > endpoint.connectingCount + endpoint.idle.size()) {
      connect(endpoint);
    }
  }

  public void checkHealth(String endpointId) {
    UpstreamAttempt attempt =
        new UpstreamAttempt(null, 0, endpointId, eventLoop.nowMs(), Double.POSITIVE_INFINITY);
    eventLoop.schedule(HEALTH_CHECK_TIMEOUT_MS, () -> abandon(attempt, CallOutcome.TIMEOUT));
    send(attempt);
  }

  /** Stops waiting for an attempt. One that was not written whole cannot have run. */
  public void abandon(UpstreamAttempt attempt, CallOutcome outcome) {
    if (attempt.isEnded) {
      return;
    }
    UpstreamConnection connection = attempt.connection;
    boolean isUnwritten = connection == null || !connection.isWritten;
    detach(attempt); // first: whoever hears of the end may send the next one at once
    end(
        attempt,
        isUnwritten && outcome == CallOutcome.TIMEOUT ? CallOutcome.NO_CONNECTION : outcome,
        null,
        NO_LOAD_REPORT);
  }

  private void detach(UpstreamAttempt attempt) {
    if (attempt.connection == null) {
      EndpointConnections endpoint = endpoints.get(attempt.endpointId);
      if (endpoint != null) {
        endpoint.queuedAttempts.remove(attempt);
      }
    } else {
      attempt.connection.currentAttempt = null;
      attempt.connection.channel.close(); // its answer is still owed on it: never to be used again
    }
  }

  /**
   * Nobody wants its answer any more. One that still waits for a connection is not sent when that
   * comes up, and is told as not sent; one that is on a connection goes on.
   */
  public void cancelIfQueued(UpstreamAttempt attempt) {
    if (attempt.isQueued()) {
      detach(attempt);
      eventLoop.execute(() -> end(attempt, CallOutcome.NOT_SENT, null, NO_LOAD_REPORT));
    }
  }

  private void end(
      UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
    if (attempt.isEnded) {
      return;
    }
    attempt.isEnded = true;
    if (attempt.request == null) {
      healthCheckListener.healthCheckEnded(
          attempt.endpointId, outcome, eventLoop.nowMs() - attempt.requestedAtMs, load);
    } else {
      attempt.request.attemptEnded(attempt, outcome, value, load);
    }
  }

  // ---- connections ----

  /** At the bound an idle connection of another server makes room. */
  private boolean closeOneIdle() {
    for (EndpointConnections endpoint : endpoints.values()) {
      if (!endpoint.idle.isEmpty()) {
        endpoint.idle.poll().channel.close();
        return true;
      }
    }
    return false;
  }

  private void connect(EndpointConnections endpoint) {
    UpstreamConnection connection = new UpstreamConnection(endpoint);
    endpoint.connectingCount++;
    openCount++;
    ChannelFuture connected =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    connection.channel = channel;
                    connection.undecodedBytes =
                        RespCodec.addResponseCodec(channel.pipeline(), MAX_ARRAY_ELEMENTS);
                    channel.pipeline().addLast(connection);
                  }
                })
            .connect(eventLoop.transport().toSocketAddress(endpoint.socketAddress));
    connected.addListener(
        result -> {
          endpoint.connectingCount--;
          boolean isCurrent =
              endpoints.get(endpoint.id)
                  == endpoint; // of an address that was left it tells nothing
          if (result.isSuccess()) {
            endpoint.connections.add(connection);
            if (isCurrent) {
              health.connected(endpoint.id); // which may bring it back up
            }
          } else if (result.cause() instanceof ConnectException && isCurrent) {
            health.connectFailed(
                endpoint.id,
                !(result.cause() instanceof ConnectTimeoutException),
                endpoint.connections.size());
          }
          if (!result.isSuccess()) {
            openCount--;
            // every attempt that waits began a connection: one too few now, and the oldest goes
            // without
            if (endpoint.queuedAttempts.size() > endpoint.connectingCount + endpoint.idle.size()) {
              UpstreamAttempt attempt =
                  endpoint.queuedAttempts
                      .poll(); // later: with no descriptor left it fails inside the send
              eventLoop.execute(
                  () -> end(attempt, CallOutcome.NO_CONNECTION, null, NO_LOAD_REPORT));
            }
          } else if (!endpoint.isUp) {
            connection.channel.close();
          } else {
            connection.release();
            connection.lastUsedMs -= REUSE_DELAY_MS; // nothing has been answered on it
            dispatchQueued(endpoint);
          }
          completeWhenReady();
          eventLoop.flushPending();
        });
  }

  private final class UpstreamConnection extends ChannelInboundHandlerAdapter
      implements ValueSource {
    private final EndpointConnections endpoint;
    private Channel channel;
    private UpstreamAttempt currentAttempt;

    /** Takes the long value that is on its way here, or null. */
    private ValueSink sink;

    private boolean isPassingValue;
    private boolean isReading;
    private double lastProgressMs;
    private Future<?> stallTimer;
    private RespCodec.UndecodedByteCounter undecodedBytes;
    private boolean isWritten;
    private boolean answered;
    private boolean isResponseTimerSet;
    private double lastUsedMs;

    UpstreamConnection(EndpointConnections endpoint) {
      this.endpoint = endpoint;
    }

    void write(UpstreamAttempt attempt) {
      currentAttempt = attempt;
      attempt.connection = this;
      isWritten = false;
      isResponseTimerSet = false;
      ArrayRedisMessage command =
          attempt.request == null
              ? RespCodec.command(channel.alloc(), "INFO", "load")
              : attempt.request.command(eventLoop.nowMs(), channel.alloc());
      channel
          .write(command)
          .addListener(
              result -> {
                if (result.isSuccess() && attempt.request != null) {
                  attempt.isWritten = true;
                  attempt.request.attemptWritten(attempt);
                }
                if (currentAttempt == attempt) {
                  isWritten = result.isSuccess();
                }
              });
      eventLoop.flushLater(channel);
    }

    /** Ready for the next request, after a rest. */
    void release() {
      lastUsedMs = eventLoop.nowMs();
      if (endpoint.isUp) {
        endpoint.idle.addLast(this);
        if (!endpoint.queuedAttempts.isEmpty()) {
          eventLoop.schedule(REUSE_DELAY_MS, () -> dispatchQueued(endpoint));
        }
      } else {
        channel.close();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (msg instanceof LongValueDecoder.ValueStart start) {
        startValue(start);
        return;
      }
      if (msg instanceof LongValueDecoder.ValueChunk chunk) {
        lastProgressMs = eventLoop.nowMs();
        if (sink != null) {
          sink.onData(chunk.bytes());
        } else {
          chunk.bytes().release(); // the connection is about to be closed
        }
        return;
      }
      if (sink != null) {
        readTrailer((RedisMessage) msg);
        return;
      }
      try {
        undecodedBytes.messageDecoded((RedisMessage) msg);
        UpstreamAttempt attempt = currentAttempt;
        currentAttempt = null;
        if (attempt == null || !isWritten || !answered(attempt, (RedisMessage) msg)) {
          channel.close(); // nothing was asked, or not this: what comes next belongs to nobody
          if (attempt != null) { // now that it is out no more: the next one may go at once
            end(attempt, CallOutcome.ERROR, null, NO_LOAD_REPORT);
          }
          return;
        }
        answered = true;
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void startValue(LongValueDecoder.ValueStart start) {
      UpstreamAttempt attempt = currentAttempt;
      currentAttempt = null;
      if (attempt == null || attempt.isEnded || !isWritten || attempt.request == null) {
        channel.close(); // nothing was asked, or no value
        if (attempt != null) {
          end(attempt, CallOutcome.ERROR, null, NO_LOAD_REPORT);
        }
        return;
      }
      attempt.isEnded = true;
      health.responded(endpoint.id);
      isPassingValue = true; // its flow may be told before it has returned
      isReading = true;
      lastProgressMs = eventLoop.nowMs();
      sink = attempt.request.valueStarted(attempt, start.lengthBytes(), this);
      if (sink == null) {
        isPassingValue = false;
        channel.close();
      } else {
        stallTimer = eventLoop.schedule(VALUE_STALL_TIMEOUT_MS, this::checkProgress);
      }
    }

    private ValueSink endValue() {
      ValueSink endedSink = sink;
      sink = null;
      isPassingValue = false;
      if (endedSink != null) {
        stallTimer.cancel(false);
      }
      return endedSink;
    }

    /** What stands behind a long value: whatever it says, the value is whole. */
    private void readTrailer(RedisMessage msg) {
      undecodedBytes.messageDecoded(msg);
      ReferenceCountUtil.release(msg);
      ValueSink endedSink = endValue();
      channel.config().setAutoRead(true);
      answered = true;
      endedSink.onComplete();
    }

    private void checkProgress() {
      double remainingMs =
          lastProgressMs
              + (isReading ? VALUE_STALL_TIMEOUT_MS : CLIENT_STALL_TIMEOUT_MS)
              - eventLoop.nowMs();
      if (remainingMs <= 0) {
        abortValue();
        channel.close();
      } else {
        stallTimer = eventLoop.schedule(remainingMs, this::checkProgress);
      }
    }

    private void abortValue() {
      ValueSink endedSink = endValue();
      if (endedSink != null) {
        endedSink.onAborted();
      }
    }

    @Override
    public void setReading(boolean on) {
      if (isPassingValue && on != isReading) {
        isReading = on;
        lastProgressMs = eventLoop.nowMs();
        channel.config().setAutoRead(on);
      }
    }

    @Override
    public void cancel() {
      if (endValue() != null) {
        channel.close();
      }
    }

    /**
     * Takes an answer in one of the protocol's forms; false where it is in none: it may have run.
     */
    private boolean answered(UpstreamAttempt attempt, RedisMessage msg) {
      if (msg instanceof ArrayRedisMessage array
          && !array.isNull()
          && array.children().size() == RESPONSE_ELEMENTS
          && RespCodec.isBulkString(array.children().get(0))
          && attempt.request != null) {
        List<RedisMessage> elements = array.children();
        health.responded(endpoint.id);
        end(
            attempt,
            CallOutcome.OK,
            elements.get(0),
            parseLoadReport(RespCodec.textOf(elements.get(2))));
      } else if (msg instanceof ErrorRedisMessage error) {
        String text = error.content();
        boolean isBusy = text.equals("BUSY") || text.startsWith("BUSY ");
        if (!isBusy && !text.startsWith("ERR ")) {
          eventLoop.logFailure("app server", new IllegalStateException(text));
          return false;
        }
        int space = text.lastIndexOf(' ');
        end(
            attempt,
            isBusy ? CallOutcome.FULL : CallOutcome.ERROR,
            null,
            text.indexOf('=', space) > 0
                ? parseLoadReport(text.substring(space + 1))
                : NO_LOAD_REPORT);
      } else if (attempt.request == null && RespCodec.isBulkString(msg)) {
        end(attempt, CallOutcome.OK, null, parseLoadReport(RespCodec.textOf(msg)));
      } else {
        return false;
      }
      return true;
    }

    /**
     * A connection is used again only after an answer with nothing behind it: a second copy or half
     * a message would be taken for the next request's. One with half an answer is waited for, but
     * not long.
     */
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (sink != null) {
        eventLoop.flushPending();
        return;
      }
      if (currentAttempt == null && undecodedBytes.pendingBytes() != 0) {
        channel.close();
      } else if (answered) {
        release();
      } else if (currentAttempt != null
          && undecodedBytes.pendingBytes() != 0
          && !isResponseTimerSet) {
        isResponseTimerSet = true;
        UpstreamAttempt attempt = currentAttempt;
        eventLoop.schedule(PARTIAL_RESPONSE_TIMEOUT_MS, () -> failMalformed(attempt));
      }
      answered = false;
      eventLoop.flushPending();
    }

    private void failMalformed(UpstreamAttempt attempt) {
      if (currentAttempt == attempt) {
        currentAttempt = null;
        channel.close();
        end(attempt, CallOutcome.ERROR, null, NO_LOAD_REPORT);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      openCount--;
      endpoint.idle.remove(this);
      endpoint.connections.remove(this);
      if (endpoint.isUp && !endpoint.queuedAttempts.isEmpty()) {
        dispatchQueued(endpoint);
      }
      abortValue();
      UpstreamAttempt attempt = currentAttempt;
      currentAttempt = null;
      if (attempt != null) {
        end(
            attempt,
            isWritten ? CallOutcome.RESET : CallOutcome.NO_CONNECTION,
            null,
            NO_LOAD_REPORT);
      }
      eventLoop.flushPending();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // behind our own close the codec tells only of what it had not read to its end
      if (!(cause instanceof java.io.IOException)
          && (currentAttempt != null || sink != null || channel.isActive())) {
        eventLoop.logFailure("app server connection", cause);
        abortValue();
        if (currentAttempt
            != null) { // what came cannot be read: an error of this answer, not of the server
          failMalformed(currentAttempt);
        }
      }
      channel.close();
    }
  }

  /** The values in the order of the settings' fields; what is not told is not a number. */
  private double[] parseLoadReport(String report) {
    List<String> fields = config.settings().loadReportFields();
    if (report == null || fields.isEmpty()) {
      return NO_LOAD_REPORT;
    }
    double[] values = new double[fields.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int equalsAt = pair.indexOf('=');
      if (equalsAt > 0) {
        String name = pair.substring(0, equalsAt);
        int index = fields.indexOf(name);
        index = index < 0 ? fields.indexOf(LOAD_FIELD_NAMES.getOrDefault(name, name)) : index;
        try {
          if (index >= 0) {
            values[index] = Math.max(0, Double.parseDouble(pair.substring(equalsAt + 1)));
          }
        } catch (NumberFormatException e) {
          values[index] = Double.NaN;
        }
      }
    }
    return values;
  }
}
