package edgenode.net.counter;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.policy.CallOutcome;
import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.concurrent.CompletableFuture;

/**
 * Calls to the shared counter over a few connections. All calls of a name use the same connection,
 * so their responses come in order. Runs on the event loop thread only.
 */
public final class CounterClient {
  private static final int CONNECTION_COUNT = 4;
  private static final int CONNECT_TIMEOUT_MS = 1500;
  private static final double CHECK_INTERVAL_MS = 200;

  /**
   * A call ends as failed after this multiple of the time-out: until then its customer's total is
   * not asked for again.
   */
  private static final double ABANDON_TIMEOUT_MULTIPLE = 4;

  /** Silence until a ping: well below the 10 s after which the counter may close idle ones. */
  private static final double PING_IDLE_MS = 1000;

  /** A connection that owes a response for longer may be lost; its calls are overdue by then. */
  private static final double UNANSWERED_TIMEOUT_MS = 400;

  private final EdgeEventLoop eventLoop;
  private final CounterListener listener;
  private final double timeoutMs;
  private final Bootstrap bootstrap;
  private final CounterConnection[] connections = new CounterConnection[CONNECTION_COUNT];

  /** The connections to a new address, until each can take over from the one before; or null. */
  private final CounterConnection[] replacements = new CounterConnection[CONNECTION_COUNT];

  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();

  /** Null where there is no counter yet. */
  private InetSocketAddress address;

  /** Calls that are not overdue yet, the oldest first; some may have ended. */
  private final ArrayDeque<CounterCommand> recentCalls = new ArrayDeque<>();

  private boolean isTimerSet;

  /**
   * Creates a client without connections.
   *
   * @param address of the counter, or null where there is none yet
   * @param timeoutMs after which a call without a response is reported as overdue
   */
  public CounterClient(
      EdgeEventLoop eventLoop,
      CounterListener listener,
      InetSocketAddress address,
      double timeoutMs) {
    this.eventLoop = eventLoop;
    this.listener = listener;
    this.address = address;
    this.timeoutMs = timeoutMs;
    bootstrap = eventLoop.transport().newClientBootstrap(eventLoop.group(), CONNECT_TIMEOUT_MS);
    if (address == null) {
      whenReady.complete(null);
    }
  }

  /** Connects, where there is an address. */
  public void start() {
    if (address != null) {
      for (int i = 0; i < CONNECTION_COUNT; i++) {
        connections[i] = newConnection();
        connections[i].connect();
      }
      eventLoop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
    }
  }

  private CounterConnection newConnection() {
    return new CounterConnection(this, eventLoop, bootstrap, address);
  }

  /** Completed once all connections are established, or at once without an address. */
  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  /**
   * The counter has a new address: the connections serve until those to the new address are
   * established, and calls in flight may still be answered.
   *
   * @param newAddress or null, which changes nothing
   */
  public void addressChanged(InetSocketAddress newAddress) {
    if (newAddress == null || newAddress.equals(address)) {
      return;
    }
    boolean isFirst = address == null;
    address = newAddress;
    if (isFirst) {
      start();
      return;
    }
    for (int i = 0; i < CONNECTION_COUNT; i++) {
      if (replacements[i] != null && replacements[i].isEstablished()) {
        replacements[i].close();
      }
      replacements[i] = newConnection();
      replacements[i].connect();
    }
  }

  /**
   * Adds an amount to a name's total; the listener receives the result. There is no retry: an
   * amount must not be added twice.
   *
   * @param amount units, rounded to thousandths
   * @param timeToLiveMs how long the counter keeps the total, bounded to 1 to 60,000
   */
  public void add(long counterName, double amount, double timeToLiveMs) {
    CounterConnection connection =
        address == null
            ? null
            : connectionAt((int) Math.floorMod(counterName, (long) CONNECTION_COUNT));
    if (connection == null || !connection.acceptsCalls()) {
      eventLoop.execute(() -> listener.callEnded(counterName, CallOutcome.NO_CONNECTION, 0, 0));
      return;
    }
    CounterCommand call =
        CounterCommand.add(
            connection,
            counterName,
            eventLoop.nowMs(),
            CounterCodec.addCommand(counterName, amount, timeToLiveMs));
    connection.send(call);
    recentCalls.add(call);
    if (!isTimerSet) {
      isTimerSet = true;
      eventLoop.schedule(timeoutMs, this::checkOverdue);
    }
  }

  /** Replaces the connection once no call on it is open, so that a name's calls end in order. */
  private CounterConnection connectionAt(int index) {
    CounterConnection current = connections[index];
    CounterConnection replacement = replacements[index];
    if (replacement != null && replacement.isEstablished() && current.hasNoOpenCall()) {
      connections[index] = replacement;
      replacements[index] = null;
      current.drain();
    }
    return connections[index];
  }

  /** One timer for all calls, as all have the same time-out. */
  private void checkOverdue() {
    while (!recentCalls.isEmpty()
        && (recentCalls.peek().isEnded
            || recentCalls.peek().sentAtMs + timeoutMs <= eventLoop.nowMs())) {
      reportOverdue(recentCalls.poll());
    }
    isTimerSet = !recentCalls.isEmpty();
    if (isTimerSet) {
      eventLoop.schedule(
          recentCalls.peek().sentAtMs + timeoutMs - eventLoop.nowMs(), this::checkOverdue);
    }
  }

  /**
   * The time-out of a call has passed: one that is not written yet ends as NO_CONNECTION; a written
   * one is reported as OVERDUE and stays open, as its late total is still of use, until its
   * response, the end of its connection or {@link #ABANDON_TIMEOUT_MULTIPLE}. A half-read response
   * closes the connection first.
   */
  private void reportOverdue(CounterCommand call) {
    if (!call.isEnded && call.connection.hasPartialResponse()) {
      call.connection.failMalformed();
    }
    if (call.connection.removeQueued(call)) {
      end(call, CallOutcome.NO_CONNECTION, 0);
    } else if (!call.isEnded) {
      listener.callEnded(
          call.counterName, CallOutcome.OVERDUE, eventLoop.nowMs() - call.sentAtMs, 0);
      eventLoop.schedule(
          (ABANDON_TIMEOUT_MULTIPLE - 1) * timeoutMs, () -> end(call, CallOutcome.ERROR, 0));
    }
  }

  /** Reports a call's end; nothing happens where it has ended before. */
  void end(CounterCommand call, CallOutcome outcome, double total) {
    if (!call.isEnded) {
      call.isEnded = true;
      listener.callEnded(call.counterName, outcome, eventLoop.nowMs() - call.sentAtMs, total);
    }
  }

  private void checkConnections() {
    eventLoop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
    for (int i = 0; i < CONNECTION_COUNT; i++) {
      CounterConnection connection = connectionAt(i);
      if (connection.isEstablished()) {
        checkConnection(connection);
      }
    }
  }

  /** Closes a connection that does not answer, and pings an idle one. */
  private void checkConnection(CounterConnection connection) {
    CounterCommand oldest = connection.oldestCall();
    // A busy event loop may not have read the response yet.
    if (oldest != null
        && eventLoop.nowMs() - oldest.sentAtMs - eventLoop.queueingDelayMs()
            > UNANSWERED_TIMEOUT_MS) {
      connection.close();
    } else if (eventLoop.nowMs() - connection.lastUsedMs() > PING_IDLE_MS) {
      connection.send(CounterCommand.ping(connection, eventLoop.nowMs()));
    }
  }

  /**
   * Whether connections to an address are still wanted. By identity: after the addresses A, B and A
   * again the connections of the first A must not reconnect.
   */
  boolean isCurrentAddress(InetSocketAddress candidate) {
    return candidate == address;
  }

  /** One of the connections has been established. */
  void connectionEstablished() {
    for (CounterConnection connection : connections) {
      if (!connection.isEstablished()) {
        return;
      }
    }
    whenReady.complete(null);
  }
}
