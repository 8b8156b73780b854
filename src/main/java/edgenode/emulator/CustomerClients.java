package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * Emulates the clients of edge nodes, from the protocol page. Requests start at the times drawn
 * ahead, whatever became of earlier ones, and latency counts from the time when a request was due
 * (no coordinated omission; G. Tene). A rejected request is retried as Retry-After says, a failed
 * one a few times, each with a new id; a client whose patience is over closes its connection. Runs
 * on the caller's event loop; all methods are for that loop's thread.
 */
public final class CustomerClients {
  /** How an attempt ended; reports print the names. */
  public enum Fate {
    /** Answered with a value. */
    SERVED,
    /** Rejected with BUSY. */
    REFUSED,
    /** Answered with another error, or with no valid response. */
    FAILED,
    /** The connection ended before the response. */
    LOST,
    /** The client's patience was over. */
    GIVEN_UP,
    /** No connection could be opened. */
    NOT_CONNECTED
  }

  /** Receives how each attempt ended and what passed on the clients' sockets. */
  public interface ClientListener {
    /**
     * An attempt ended.
     *
     * @param retry 0 for the first attempt
     * @param elapsedMs since it was due; for a retry since it was sent
     */
    void attemptEnded(ArrivalProcess.Arrival arrival, int retry, Fate fate, double elapsedMs);

    /** A request was written; its client waits {@code patienceMs} more. */
    default void requestSent(
        double nowMs,
        String requestId,
        ArrivalProcess.Arrival arrival,
        Target target,
        double patienceMs) {}

    /**
     * A response arrived. It counts for the request that was written last on that connection,
     * whether or not that had a response before.
     *
     * @param kind SERVED for a value, REFUSED for {@code -BUSY}, FAILED for all else
     */
    default void responseReceived(double nowMs, String requestId, Fate kind, String text) {}

    /** The edge node closed the connection before it sent the response. */
    default void connectionLost(double nowMs, String requestId) {}

    /** The client closed its connection without a response. */
    default void gaveUp(double nowMs, String requestId) {}
  }

  /**
   * Where a request goes.
   *
   * @param node index of the edge node
   * @param nodeSpread how many nodes the customer's requests go to, as the request says
   * @param firstNode index of the first of them
   */
  public record Target(InetSocketAddress address, int node, int nodeSpread, int firstNode) {}

  /** Chooses the edge node of each attempt. */
  public interface TargetSelector {
    /** The target of an attempt that starts now; {@code nowMs} is the loop's clock. */
    Target select(ArrivalProcess.Arrival arrival, double nowMs);
  }

  /**
   * How clients retry and give up.
   *
   * @param maxRetries of a request that was rejected or failed
   * @param defaultRetryAfterMs backoff where the response names none
   * @param honoursRetryAfter whether the backoff in a BUSY response is obeyed
   * @param lateAnswerWaitMs how long a client whose patience is over keeps its connection, so that
   *     a late response is seen
   */
  public record RetryOptions(
      int maxRetries,
      double defaultRetryAfterMs,
      boolean honoursRetryAfter,
      double lateAnswerWaitMs) {
    /** What clients do unless a test says otherwise. */
    public static final RetryOptions DEFAULT = new RetryOptions(2, 200, true, 0);
  }

  private static final int MAX_RESPONSE_ELEMENTS = 8;
  private static final int CONNECT_TIMEOUT_MS = 1000;

  /** An arrival that is due within this time is sent at once. */
  private static final double SEND_AHEAD_MS = 1;

  private final EdgeEventLoop loop;
  private final ArrivalProcess arrivals;
  private final RetryOptions options;
  private final ClientListener listener;
  private final TargetSelector targetSelector;
  private final Random random;
  private final Map<InetSocketAddress, ArrayDeque<ClientConnection>> idleByAddress =
      new HashMap<>();
  private final Set<ClientConnection> connections = new LinkedHashSet<>();
  private double startedAtMs;
  private boolean isStopped;
  private int openAttempts;
  private long issuedIds;

  /**
   * Creates clients of one edge node.
   *
   * @param seed of the jitter of retries
   */
  public CustomerClients(
      EdgeEventLoop loop,
      ArrivalProcess arrivals,
      RetryOptions options,
      InetSocketAddress node,
      ClientListener listener,
      long seed) {
    this(loop, arrivals, options, (of, now) -> new Target(node, 0, 1, 0), listener, seed);
  }

  /**
   * Creates clients of several edge nodes.
   *
   * @param seed of the jitter of retries
   */
  public CustomerClients(
      EdgeEventLoop loop,
      ArrivalProcess arrivals,
      RetryOptions options,
      TargetSelector targetSelector,
      ClientListener listener,
      long seed) {
    this.loop = loop;
    this.arrivals = arrivals;
    this.options = options;
    this.targetSelector = targetSelector;
    this.listener = listener;
    random = new Random(seed);
  }

  /** Starts the arrivals now. */
  public void start() {
    startedAtMs = loop.nowMs();
    sendDueArrivals(arrivals.next());
  }

  /** Starts no more attempts; open ones may still end. */
  public void stop() {
    isStopped = true;
  }

  /** Attempts that have not ended. */
  public int openAttempts() {
    return openAttempts;
  }

  /** Starts no more attempts and closes the connections; their attempts end as LOST. */
  public void close() {
    isStopped = true;
    for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
      connection.channel.close();
    }
  }

  private void sendDueArrivals(ArrivalProcess.Arrival next) {
    ArrivalProcess.Arrival arrival = next;
    while (!isStopped && startedAtMs + arrival.atMs() <= loop.nowMs() + SEND_AHEAD_MS) {
      startAttempt(new Attempt(arrival, 0, startedAtMs + arrival.atMs()));
      arrival = arrivals.next();
    }
    ArrivalProcess.Arrival later = arrival;
    if (!isStopped) {
      loop.schedule(
          Math.max(0, startedAtMs + arrival.atMs() - loop.nowMs()), () -> sendDueArrivals(later));
    }
  }

  private final class Attempt {
    private final ArrivalProcess.Arrival arrival;
    private final int retry;
    private final double startedAtMs;
    private ClientConnection connection;
    private Target target;
    private Future<?> patienceTimer;
    private boolean isEnded;

    Attempt(ArrivalProcess.Arrival arrival, int retry, double startedAtMs) {
      this.arrival = arrival;
      this.retry = retry;
      this.startedAtMs = startedAtMs;
    }

    private boolean isAwaitingLateAnswer() {
      return options.lateAnswerWaitMs > 0 && connection != null && connection.current == this;
    }

    void end(Fate fate, double retryAfterMs) {
      if (isEnded) {
        return;
      }
      isEnded = true;
      openAttempts--;
      patienceTimer.cancel(false);
      listener.attemptEnded(arrival, retry, fate, loop.nowMs() - startedAtMs);
      if (!isStopped && retry < options.maxRetries && retryAfterMs >= 0) {
        double waitMs = retryAfterMs * (0.75 + 0.5 * random.nextDouble());
        loop.schedule(waitMs, () -> startAttempt(new Attempt(arrival, retry + 1, loop.nowMs())));
      }
    }
  }

  private void startAttempt(Attempt attempt) {
    if (isStopped) {
      return;
    }
    openAttempts++;
    attempt.patienceTimer =
        loop.schedule(
            attempt.startedAtMs + attempt.arrival.kind().patienceMs() - loop.nowMs(),
            () -> {
              attempt.end(Fate.GIVEN_UP, -1);
              if (attempt.isAwaitingLateAnswer()) {
                loop.schedule(options.lateAnswerWaitMs, () -> giveUp(attempt));
              } else if (attempt.connection != null) {
                giveUp(attempt);
              }
            });
    Target target = targetSelector.select(attempt.arrival, loop.nowMs());
    attempt.target = target;
    ArrayDeque<ClientConnection> idleConnections =
        idleByAddress.computeIfAbsent(target.address, at -> new ArrayDeque<>());
    for (ClientConnection connection = idleConnections.pollLast();
        connection != null;
        connection = idleConnections.pollLast()) {
      if (connection.channel.isActive()) {
        connection.write(attempt);
        return;
      }
    }
    ClientConnection connection = new ClientConnection(idleConnections);
    ChannelFuture connected =
        loop.transport()
            .newClientBootstrap(loop.group(), CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    RespCodec.addCodec(channel.pipeline(), MAX_RESPONSE_ELEMENTS);
                    channel.pipeline().addLast(connection);
                  }
                })
            .connect(loop.transport().toSocketAddress(target.address));
    connected.addListener(
        done -> {
          if (done.isSuccess()) {
            connection.channel = connected.channel();
            connections.add(connection);
            if (attempt.isEnded) {
              idleConnections.addLast(connection);
            } else {
              connection.write(attempt);
            }
          } else {
            attempt.end(Fate.NOT_CONNECTED, options.defaultRetryAfterMs);
          }
        });
  }

  private static void isStopped(ClientConnection connection) {
    connection.current = null;
    connection.channel.close();
  }

  /**
   * Closes the connection of an attempt whose patience is over, unless its response has arrived.
   */
  private void giveUp(Attempt attempt) {
    if (attempt.connection.current == attempt) {
      listener.gaveUp(loop.nowMs(), attempt.connection.lastRequestId);
      isStopped(attempt.connection);
    }
  }

  private final class ClientConnection extends ChannelInboundHandlerAdapter {
    /** Idle connections to the same edge node, this one among them between requests. */
    private final ArrayDeque<ClientConnection> idleConnections;

    private Channel channel;
    private Attempt current;
    private String lastRequestId;

    ClientConnection(ArrayDeque<ClientConnection> idleConnections) {
      this.idleConnections = idleConnections;
    }

    void write(Attempt attempt) {
      current = attempt;
      attempt.connection = this;
      ArrivalProcess.Arrival arrival = attempt.arrival;
      long remainingMs =
          Math.max(1, Math.round(attempt.startedAtMs + arrival.kind().patienceMs() - loop.nowMs()));
      String parameters =
          "c="
              + arrival.kind().name()
              + ",t="
              + arrival.customer().planName()
              + ",d="
              + remainingMs
              + (arrival.idempotencyKey() == null ? "" : ",k=" + arrival.idempotencyKey())
              + ",units=1,spread="
              + attempt.target.nodeSpread
              + ",first="
              + attempt.target.firstNode
              + (attempt.retry > 0 ? ",r=1" : "");
      String requestId = Long.toHexString(++issuedIds);
      lastRequestId = requestId;
      listener.requestSent(loop.nowMs(), requestId, arrival, attempt.target, remainingMs);
      ArrayRedisMessage command =
          arrival.idempotencyKey() == null
              ? RespCodec.command(
                  channel.alloc(), "CALL.GET", arrival.customer().id(), requestId, parameters)
              : RespCodec.command(
                  channel.alloc(),
                  "CALL.POST",
                  arrival.customer().id(),
                  requestId,
                  parameters,
                  "body");
      channel.writeAndFlush(command);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Attempt attempt = current;
      current = null;
      try {
        RedisMessage message = (RedisMessage) msg;
        listener.responseReceived(loop.nowMs(), lastRequestId, fateOf(message), textOf(message));
        if (attempt == null) {
          ctx.close(); // a response without a request
          return;
        }
        idleConnections.addLast(this);
        endAttempt(attempt, message);
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private static Fate fateOf(RedisMessage msg) {
      boolean isValue =
          RespCodec.isBulkString(msg)
              || msg instanceof ArrayRedisMessage array
                  && !array.isNull()
                  && !array.children().isEmpty()
                  && RespCodec.isBulkString(array.children().get(0));
      return isValue
          ? Fate.SERVED
          : msg instanceof ErrorRedisMessage error && error.content().startsWith("BUSY")
              ? Fate.REFUSED
              : Fate.FAILED;
    }

    /** The text of a response; of an array its first element. */
    private static String textOf(RedisMessage msg) {
      return msg instanceof ErrorRedisMessage error
          ? error.content()
          : msg instanceof ArrayRedisMessage array && !array.isNull() && !array.children().isEmpty()
              ? String.valueOf(RespCodec.textOf(array.children().get(0)))
              : String.valueOf(RespCodec.textOf(msg));
    }

    private void endAttempt(Attempt attempt, RedisMessage msg) {
      switch (fateOf(msg)) {
        case SERVED -> attempt.end(Fate.SERVED, -1);
        case REFUSED ->
            attempt.end(
                Fate.REFUSED,
                options.honoursRetryAfter ? retryAfterMs(((ErrorRedisMessage) msg).content()) : 0);
        default -> attempt.end(Fate.FAILED, options.defaultRetryAfterMs);
      }
    }

    private double retryAfterMs(String busy) {
      try {
        return busy.length() > 5
            ? Math.max(0, Double.parseDouble(busy.substring(5)))
            : options.defaultRetryAfterMs;
      } catch (NumberFormatException e) {
        return options.defaultRetryAfterMs;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      idleConnections.remove(this);
      if (current != null) {
        listener.connectionLost(loop.nowMs(), lastRequestId);
        Attempt attempt = current;
        current = null;
        attempt.end(Fate.LOST, options.defaultRetryAfterMs);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
