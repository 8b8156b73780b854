package edgenode.net.counter;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import edgenode.policy.CallOutcome;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.regex.Pattern;

/**
 * Calls to the shared counter over a few connections. A name keeps to one, so its answers stay in
 * order.
 */
public final class CounterClient {
  /** Who hears how a call ended. */
  public interface CounterListener {
    /**
     * Told after {@link #add} has returned: the end of each call once, and before it that it is
     * overdue, where it is. The calls of a name end in their order.
     *
     * @param durationMs ms from the call to its end
     * @param total the name's new total where the outcome is OK
     */
    void callEnded(long counterName, CallOutcome outcome, double durationMs, double total);
  }

  private static final int CONNECTION_COUNT = 4;
  private static final double CHECK_INTERVAL_MS = 200;

  /**
   * A call is given up after so many times the limit: its customer is not asked for again while it
   * is open.
   */
  private static final double ABANDON_TIMEOUT_MULTIPLE = 4;

  /**
   * Silence (ms) until a check: shorter than the 10 s or less after which the counter ends idle
   * ones.
   */
  private static final double PING_IDLE_MS = 1000;

  /** A line that owes an answer for longer (ms) may be dead: what is lost with it has been told. */
  private static final double UNANSWERED_TIMEOUT_MS = 400;

  private static final int CONNECT_TIMEOUT_MS = 1500;

  /**
   * Connects of a line on which nothing was answered are this far apart (ms), twice as far each
   * time.
   */
  private static final double RECONNECT_BACKOFF_MS = 100;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final int MAX_ARRAY_ELEMENTS = 4;
  private static final double MAX_TIME_TO_LIVE_MS = 60_000;

  /** A total in decimal, no longer than a double can hold. */
  private static final Pattern TOTAL_FORMAT =
      Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?(e[+-]?[0-9]{1,2})?");

  private final EdgeEventLoop eventLoop;
  private final CounterListener listener;
  private final double timeoutMs;
  private final Bootstrap bootstrap;
  private final CounterConnection[] connections = new CounterConnection[CONNECTION_COUNT];

  /** The lines to a new address, until each can take over from the old one. */
  private final CounterConnection[] replacements = new CounterConnection[CONNECTION_COUNT];

  private InetSocketAddress address;

  /** Calls that may come to be overdue, in their order. */
  private final ArrayDeque<CounterCall> untimedCalls = new ArrayDeque<>();

  private boolean isTimerSet;
  private final CompletableFuture<Void> whenReady = new CompletableFuture<>();

  /** One call, from the action to its answer; told once the module has had its outcome. */
  private static final class CounterCall {
    final long counterName;
    final double sentAtMs;
    final boolean isPing;
    final CounterConnection connection;
    boolean isWritten;
    boolean isEnded;

    CounterCall(CounterConnection connection, long counterName, double sentAtMs, boolean isPing) {
      this.connection = connection;
      this.counterName = counterName;
      this.sentAtMs = sentAtMs;
      this.isPing = isPing;
      isEnded = isPing;
    }
  }

  /**
   * @param address of the counter, or null where there is none yet
   * @param timeoutMs after how long (ms) a call without an answer is told as overdue
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

  public void start() {
    if (address != null) {
      for (int i = 0; i < CONNECTION_COUNT; i++) {
        connections[i] = new CounterConnection(address);
        connections[i].connect();
      }
      eventLoop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
    }
  }

  /** A new address: the old lines serve until the new ones are up; what is out may be answered. */
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
      if (replacements[i] != null && replacements[i].channel != null) {
        replacements[i].channel.close();
      }
      replacements[i] = new CounterConnection(newAddress);
      replacements[i].connect();
    }
  }

  /**
   * A name's answers come in the order of its calls: so its line changes only with no call to be
   * told.
   */
  private CounterConnection connectionAt(int index) {
    CounterConnection current = connections[index];
    if (replacements[index] != null
        && replacements[index].channel != null
        && current.inFlight.stream().allMatch(c -> c.isEnded)
        && current.queued.isEmpty()) {
      connections[index] = replacements[index];
      replacements[index] = null;
      current.drain();
    }
    return connections[index];
  }

  public CompletableFuture<Void> whenReady() {
    return whenReady;
  }

  public void add(long counterName, double amount, double timeToLiveMs) {
    CounterConnection connection =
        address == null
            ? null
            : connectionAt((int) Math.floorMod(counterName, (long) CONNECTION_COUNT));
    if (connection == null || connection.channel == null && !connection.isConnecting) {
      eventLoop.execute(() -> listener.callEnded(counterName, CallOutcome.NO_CONNECTION, 0, 0));
      return;
    }
    CounterCall call = new CounterCall(connection, counterName, eventLoop.nowMs(), false);
    String[] command = addCommand(counterName, amount, timeToLiveMs);
    if (connection.channel == null) {
      connection.queued.put(call, command); // a line that broke is back in about a round trip
    } else {
      connection.write(call, command);
    }
    untimedCalls.add(call);
    if (!isTimerSet) {
      isTimerSet = true;
      eventLoop.schedule(timeoutMs, this::checkOverdue);
    }
  }

  /** The command of an add: an amount in thousandths at the finest, a life of 1 to 60,000 ms. */
  public static String[] addCommand(long counterName, double amount, double timeToLiveMs) {
    long boundedTimeToLiveMs = (long) Math.max(1, Math.min(MAX_TIME_TO_LIVE_MS, timeToLiveMs));
    return new String[] {
      "CNT.ADD",
      Long.toString(counterName),
      formatAmount(amount),
      Long.toString(boundedTimeToLiveMs)
    };
  }

  /** A number as the counter's protocol has it: decimal, thousandths at the finest. */
  public static String formatAmount(double amount) {
    return BigDecimal.valueOf(Math.rint(amount * 1000) / 1000).stripTrailingZeros().toPlainString();
  }

  /**
   * One timer for all calls, as the limit is one: else answered ones would wake the loop once more.
   */
  private void checkOverdue() {
    while (!untimedCalls.isEmpty()
        && (untimedCalls.peek().isEnded
            || untimedCalls.peek().sentAtMs + timeoutMs <= eventLoop.nowMs())) {
      markOverdue(untimedCalls.poll());
    }
    isTimerSet = !untimedCalls.isEmpty();
    if (isTimerSet) {
      eventLoop.schedule(
          untimedCalls.peek().sentAtMs + timeoutMs - eventLoop.nowMs(), this::checkOverdue);
    }
  }

  /**
   * The counter has no time-out: it answers when a call has had its turn, and its total is worth
   * having then. So the call stays open until its answer comes, its line ends or it is given up:
   * then its amount counts as added.
   */
  private void markOverdue(CounterCall call) {
    if (!call.isEnded
        && call.connection.channel != null
        && call.connection.undecodedBytes.pendingBytes() != 0) {
      call.connection.failMalformed(); // half an answer, and no more of it
    }
    if (call.connection.queued.remove(call) != null) {
      end(call, CallOutcome.NO_CONNECTION, 0);
    } else if (!call.isEnded) {
      listener.callEnded(
          call.counterName, CallOutcome.OVERDUE, eventLoop.nowMs() - call.sentAtMs, 0);
      eventLoop.schedule(
          (ABANDON_TIMEOUT_MULTIPLE - 1) * timeoutMs, () -> end(call, CallOutcome.ERROR, 0));
    }
  }

  private void end(CounterCall call, CallOutcome outcome, double total) {
    if (!call.isEnded) {
      call.isEnded = true;
      listener.callEnded(call.counterName, outcome, eventLoop.nowMs() - call.sentAtMs, total);
    }
  }

  private void checkConnections() {
    eventLoop.schedule(CHECK_INTERVAL_MS, this::checkConnections);
    for (int i = 0; i < CONNECTION_COUNT; i++) {
      CounterConnection connection = connectionAt(i);
      if (connection.channel != null) {
        CounterCall oldest = connection.inFlight.peek();
        // an answer may lie unread behind what this loop was busy with
        if (oldest != null
            && eventLoop.nowMs() - oldest.sentAtMs - eventLoop.queueingDelayMs()
                > UNANSWERED_TIMEOUT_MS) {
          connection.channel.close();
        } else if (eventLoop.nowMs() - connection.lastUsedMs > PING_IDLE_MS) {
          connection.write(new CounterCall(connection, 0, eventLoop.nowMs(), true), "PING");
        }
      }
    }
  }

  private final class CounterConnection {
    private final InetSocketAddress remoteAddress;
    private final ArrayDeque<CounterCall> inFlight = new ArrayDeque<>();

    /** Calls made while the line is coming up, in their order. */
    private final Map<CounterCall, String[]> queued = new LinkedHashMap<>();

    private boolean isConnecting;
    private Channel channel;
    private double lastUsedMs;
    private boolean isDraining;
    private double lastConnectMs = Double.NEGATIVE_INFINITY;

    /**
     * Connects in a row that came up and ended with no answer: a counter that is full may take and
     * close.
     */
    private int unansweredConnects;

    private RespCodec.UndecodedByteCounter undecodedBytes;

    CounterConnection(InetSocketAddress remoteAddress) {
      this.remoteAddress = remoteAddress;
    }

    /** Left for a new address: it closes once nothing is owed on it. */
    void drain() {
      isDraining = true;
      if (channel != null && inFlight.isEmpty()) {
        channel.close();
      }
    }

    /**
     * The oldest call's answer has no number in it: its amount was added. What comes behind can be
     * told apart no more, and a new line takes its place at once.
     */
    void failMalformed() {
      if (!inFlight.isEmpty()) {
        end(inFlight.poll(), CallOutcome.ERROR, 0);
      }
      failInFlight();
      channel.close();
    }

    private void failInFlight() {
      for (CounterCall call = inFlight.poll(); call != null; call = inFlight.poll()) {
        end(call, call.isWritten ? CallOutcome.RESET : CallOutcome.NO_CONNECTION, 0);
      }
    }

    void connect() {
      if (remoteAddress != address) {
        return; // left meanwhile
      }
      isConnecting = true;
      lastConnectMs = eventLoop.nowMs();
      ChannelFuture connected =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      undecodedBytes = RespCodec.addCodec(channel.pipeline(), MAX_ARRAY_ELEMENTS);
                      channel.pipeline().addLast(new ResponseHandler());
                    }
                  })
              .connect(eventLoop.transport().toSocketAddress(remoteAddress));
      connected.addListener(
          result -> {
            isConnecting = false;
            Map<CounterCall, String[]> resumed = new LinkedHashMap<>(queued);
            queued.clear();
            if (result.isSuccess()) {
              channel = connected.channel();
              unansweredConnects++;
              lastUsedMs = eventLoop.nowMs();
              resumed.forEach(this::write);
              eventLoop.flushPending();
              for (CounterConnection other : connections) {
                if (other.channel == null) {
                  return;
                }
              }
              whenReady.complete(null);
            } else {
              resumed.forEach((call, command) -> end(call, CallOutcome.NO_CONNECTION, 0));
              eventLoop.flushPending();
              eventLoop.schedule(RECONNECT_BACKOFF_MS, this::connect);
            }
          });
    }

    /**
     * At once at the first break since an answer; a counter with no place left would hear nothing
     * else.
     */
    private void reconnect() {
      double backoffMs =
          unansweredConnects < 2
              ? 0
              : RECONNECT_BACKOFF_MS
                  * (1 << Math.min(unansweredConnects - 2, MAX_BACKOFF_DOUBLINGS));
      double waitMs = lastConnectMs + backoffMs - eventLoop.nowMs();
      if (waitMs > 0) {
        eventLoop.schedule(waitMs, this::connect);
      } else {
        eventLoop.execute(this::connect);
      }
    }

    void write(CounterCall call, String... command) {
      inFlight.add(call);
      lastUsedMs = call.sentAtMs;
      channel
          .write(RespCodec.command(channel.alloc(), command))
          .addListener(result -> call.isWritten = result.isSuccess());
      eventLoop.flushLater(channel);
    }

    private final class ResponseHandler extends ChannelInboundHandlerAdapter {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
          undecodedBytes.messageDecoded((RedisMessage) msg);
          unansweredConnects = 0;
          CounterCall call = inFlight.poll(); // late or not: each answer belongs to the oldest call
          if (call == null) {
            ctx.close();
            return;
          }
          if (!answered(call, (RedisMessage) msg)) {
            inFlight.addFirst(call);
            failMalformed();
          }
          if (isDraining && inFlight.isEmpty()) {
            ctx.close();
          }
        } finally {
          ReferenceCountUtil.release(msg);
        }
      }

      /**
       * Tells an answer; false where it is none. The amount was added then, and what comes behind
       * it on the line cannot be trusted. A total that is not finite would stay in the module's
       * credits.
       */
      private boolean answered(CounterCall call, RedisMessage msg) {
        if (call.isPing) {
          return msg instanceof SimpleStringRedisMessage;
        }
        if (msg instanceof ErrorRedisMessage error
            && (error.content().startsWith("BUSY") || error.content().startsWith("ERR"))) {
          end(call, CallOutcome.FULL, 0); // nothing was added
          return true;
        }
        String total = RespCodec.isBulkString(msg) ? RespCodec.textOf(msg) : "";
        if (TOTAL_FORMAT.matcher(total).matches()) {
          end(call, CallOutcome.OK, Double.parseDouble(total));
          return true;
        }
        return false;
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        eventLoop.flushPending();
      }

      /** What was written may have been added. */
      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        channel = null;
        failInFlight();
        reconnect();
        eventLoop.flushPending();
      }

      /**
       * What the codec says behind the end of a connection (half an array is left) is not the next
       * one's: it would take the oldest call there for spoilt and end that line too.
       */
      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (ctx.channel() != channel) {
          return;
        }
        if (!(cause instanceof java.io.IOException)) {
          eventLoop.logFailure("counter", cause);
          failMalformed();
        }
        ctx.close();
      }
    }
  }
}
