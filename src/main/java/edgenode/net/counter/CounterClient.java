package edgenode.net.counter;

import edgenode.eventloop.Loop;
import edgenode.net.resp.Resp;
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
  public interface Counted {
    /**
     * Told after {@link #add} has returned: the end of each call once, and before it that it is
     * overdue, where it is. The calls of a name end in their order.
     *
     * @param took ms from the call to its end
     * @param total the name's new total where the outcome is OK
     */
    void counted(long name, CallOutcome outcome, double took, double total);
  }

  private static final int LINES = 4;
  private static final double CHECK = 200;

  /**
   * A call is given up after so many times the limit: its customer is not asked for again while it
   * is open.
   */
  private static final double GIVEN_UP = 4;

  /**
   * Silence (ms) until a check: shorter than the 10 s or less after which the counter ends idle
   * ones.
   */
  private static final double IDLE = 1000;

  /** A line that owes an answer for longer (ms) may be dead: what is lost with it has been told. */
  private static final double DEAD = 400;

  private static final int CONNECT = 1500;

  /**
   * Connects of a line on which nothing was answered are this far apart (ms), twice as far each
   * time.
   */
  private static final double RECONNECT = 100;

  private static final int RECONNECT_DOUBLINGS = 4;
  private static final int MOST_ELEMENTS = 4;
  private static final double LONGEST_LIFE = 60_000;

  /** A total in decimal, no longer than a double can hold. */
  private static final Pattern NUMBER =
      Pattern.compile("-?[0-9]{1,18}(\\.[0-9]{1,18})?(e[+-]?[0-9]{1,2})?");

  private final Loop loop;
  private final Counted counted;
  private final double limit;
  private final Bootstrap bootstrap;
  private final Line[] lines = new Line[LINES];

  /** The lines to a new address, until each can take over from the old one. */
  private final Line[] coming = new Line[LINES];

  private InetSocketAddress address;

  /** Calls that may come to be overdue, in their order. */
  private final ArrayDeque<Call> recent = new ArrayDeque<>();

  private boolean armed;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();

  /** One call, from the action to its answer; told once the module has had its outcome. */
  private static final class Call {
    final long name;
    final double sent;
    final boolean ping;
    final Line line;
    boolean written;
    boolean told;

    Call(Line line, long name, double sent, boolean ping) {
      this.line = line;
      this.name = name;
      this.sent = sent;
      this.ping = ping;
      told = ping;
    }
  }

  /**
   * @param address of the counter, or null where there is none yet
   * @param limit after how long (ms) a call without an answer is told as overdue
   */
  public CounterClient(Loop loop, Counted counted, InetSocketAddress address, double limit) {
    this.loop = loop;
    this.counted = counted;
    this.address = address;
    this.limit = limit;
    bootstrap = loop.transport().connecting(loop.group(), CONNECT);
    if (address == null) {
      ready.complete(null);
    }
  }

  public void start() {
    if (address != null) {
      for (int i = 0; i < LINES; i++) {
        lines[i] = new Line(address);
        lines[i].connect();
      }
      loop.after(CHECK, this::check);
    }
  }

  /** A new address: the old lines serve until the new ones are up; what is out may be answered. */
  public void move(InetSocketAddress to) {
    if (to == null || to.equals(address)) {
      return;
    }
    boolean first = address == null;
    address = to;
    if (first) {
      start();
      return;
    }
    for (int i = 0; i < LINES; i++) {
      if (coming[i] != null && coming[i].channel != null) {
        coming[i].channel.close();
      }
      coming[i] = new Line(to);
      coming[i].connect();
    }
  }

  /**
   * A name's answers come in the order of its calls: so its line changes only with no call to be
   * told.
   */
  private Line line(int i) {
    Line old = lines[i];
    if (coming[i] != null
        && coming[i].channel != null
        && old.calls.stream().allMatch(c -> c.told)
        && old.waiting.isEmpty()) {
      lines[i] = coming[i];
      coming[i] = null;
      old.end();
    }
    return lines[i];
  }

  public CompletableFuture<Void> ready() {
    return ready;
  }

  public void add(long name, double amount, double keepFor) {
    Line line = address == null ? null : line((int) Math.floorMod(name, (long) LINES));
    if (line == null || line.channel == null && !line.connecting) {
      loop.later(() -> counted.counted(name, CallOutcome.NO_CONNECTION, 0, 0));
      return;
    }
    Call call = new Call(line, name, loop.now(), false);
    String[] words = words(name, amount, keepFor);
    if (line.channel == null) {
      line.waiting.put(call, words); // a line that broke is back in about a round trip
    } else {
      line.write(call, words);
    }
    recent.add(call);
    if (!armed) {
      armed = true;
      loop.after(limit, this::expire);
    }
  }

  /** The command of an add: an amount in thousandths at the finest, a life of 1 to 60,000 ms. */
  public static String[] words(long name, double amount, double keepFor) {
    long life = (long) Math.max(1, Math.min(LONGEST_LIFE, keepFor));
    return new String[] {"CNT.ADD", Long.toString(name), plain(amount), Long.toString(life)};
  }

  /** A number as the counter's protocol has it: decimal, thousandths at the finest. */
  public static String plain(double amount) {
    return BigDecimal.valueOf(Math.rint(amount * 1000) / 1000).stripTrailingZeros().toPlainString();
  }

  /**
   * One timer for all calls, as the limit is one: else answered ones would wake the loop once more.
   */
  private void expire() {
    while (!recent.isEmpty() && (recent.peek().told || recent.peek().sent + limit <= loop.now())) {
      overdue(recent.poll());
    }
    armed = !recent.isEmpty();
    if (armed) {
      loop.after(recent.peek().sent + limit - loop.now(), this::expire);
    }
  }

  /**
   * The counter has no time-out: it answers when a call has had its turn, and its total is worth
   * having then. So the call stays open until its answer comes, its line ends or it is given up:
   * then its amount counts as added.
   */
  private void overdue(Call call) {
    if (!call.told && call.line.channel != null && call.line.raw.pending() != 0) {
      call.line.spoilt(); // half an answer, and no more of it
    }
    if (call.line.waiting.remove(call) != null) {
      tell(call, CallOutcome.NO_CONNECTION, 0);
    } else if (!call.told) {
      counted.counted(call.name, CallOutcome.OVERDUE, loop.now() - call.sent, 0);
      loop.after((GIVEN_UP - 1) * limit, () -> tell(call, CallOutcome.ERROR, 0));
    }
  }

  private void tell(Call call, CallOutcome outcome, double total) {
    if (!call.told) {
      call.told = true;
      counted.counted(call.name, outcome, loop.now() - call.sent, total);
    }
  }

  private void check() {
    loop.after(CHECK, this::check);
    for (int i = 0; i < LINES; i++) {
      Line line = line(i);
      if (line.channel != null) {
        Call oldest = line.calls.peek();
        // an answer may lie unread behind what this loop was busy with
        if (oldest != null && loop.now() - oldest.sent - loop.delay() > DEAD) {
          line.channel.close();
        } else if (loop.now() - line.usedAt > IDLE) {
          line.write(new Call(line, 0, loop.now(), true), "PING");
        }
      }
    }
  }

  private final class Line {
    private final InetSocketAddress at;
    private final ArrayDeque<Call> calls = new ArrayDeque<>();

    /** Calls made while the line is coming up, in their order. */
    private final Map<Call, String[]> waiting = new LinkedHashMap<>();

    private boolean connecting;
    private Channel channel;
    private double usedAt;
    private boolean ending;
    private double connectedAt = Double.NEGATIVE_INFINITY;

    /**
     * Connects in a row that came up and ended with no answer: a counter that is full may take and
     * close.
     */
    private int unanswered;

    private Resp.Raw raw;

    Line(InetSocketAddress at) {
      this.at = at;
    }

    /** Left for a new address: it closes once nothing is owed on it. */
    void end() {
      ending = true;
      if (channel != null && calls.isEmpty()) {
        channel.close();
      }
    }

    /**
     * The oldest call's answer has no number in it: its amount was added. What comes behind can be
     * told apart no more, and a new line takes its place at once.
     */
    void spoilt() {
      if (!calls.isEmpty()) {
        tell(calls.poll(), CallOutcome.ERROR, 0);
      }
      broken();
      channel.close();
    }

    private void broken() {
      for (Call call = calls.poll(); call != null; call = calls.poll()) {
        tell(call, call.written ? CallOutcome.RESET : CallOutcome.NO_CONNECTION, 0);
      }
    }

    void connect() {
      if (at != address) {
        return; // left meanwhile
      }
      connecting = true;
      connectedAt = loop.now();
      ChannelFuture connected =
          bootstrap
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      raw = Resp.codec(channel.pipeline(), MOST_ELEMENTS);
                      channel.pipeline().addLast(new Answers());
                    }
                  })
              .connect(loop.transport().at(at));
      connected.addListener(
          f -> {
            connecting = false;
            Map<Call, String[]> held = new LinkedHashMap<>(waiting);
            waiting.clear();
            if (f.isSuccess()) {
              channel = connected.channel();
              unanswered++;
              usedAt = loop.now();
              held.forEach(this::write);
              loop.flush();
              for (Line line : lines) {
                if (line.channel == null) {
                  return;
                }
              }
              ready.complete(null);
            } else {
              held.forEach((call, words) -> tell(call, CallOutcome.NO_CONNECTION, 0));
              loop.flush();
              loop.after(RECONNECT, this::connect);
            }
          });
    }

    /**
     * At once at the first break since an answer; a counter with no place left would hear nothing
     * else.
     */
    private void again() {
      double apart =
          unanswered < 2 ? 0 : RECONNECT * (1 << Math.min(unanswered - 2, RECONNECT_DOUBLINGS));
      double wait = connectedAt + apart - loop.now();
      if (wait > 0) {
        loop.after(wait, this::connect);
      } else {
        loop.later(this::connect);
      }
    }

    void write(Call call, String... words) {
      calls.add(call);
      usedAt = call.sent;
      channel
          .write(Resp.command(channel.alloc(), words))
          .addListener(f -> call.written = f.isSuccess());
      loop.flushLater(channel);
    }

    private final class Answers extends ChannelInboundHandlerAdapter {
      @Override
      public void channelRead(ChannelHandlerContext ctx, Object msg) {
        try {
          raw.whole((RedisMessage) msg);
          unanswered = 0;
          Call call = calls.poll(); // late or not: each answer belongs to the oldest call
          if (call == null) {
            ctx.close();
            return;
          }
          if (!answered(call, (RedisMessage) msg)) {
            calls.addFirst(call);
            spoilt();
          }
          if (ending && calls.isEmpty()) {
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
      private boolean answered(Call call, RedisMessage msg) {
        if (call.ping) {
          return msg instanceof SimpleStringRedisMessage;
        }
        if (msg instanceof ErrorRedisMessage error
            && (error.content().startsWith("BUSY") || error.content().startsWith("ERR"))) {
          tell(call, CallOutcome.FULL, 0); // nothing was added
          return true;
        }
        String total = Resp.isValue(msg) ? Resp.text(msg) : "";
        if (NUMBER.matcher(total).matches()) {
          tell(call, CallOutcome.OK, Double.parseDouble(total));
          return true;
        }
        return false;
      }

      @Override
      public void channelReadComplete(ChannelHandlerContext ctx) {
        loop.flush();
      }

      /** What was written may have been added. */
      @Override
      public void channelInactive(ChannelHandlerContext ctx) {
        channel = null;
        broken();
        again();
        loop.flush();
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
          loop.log("counter", cause);
          spoilt();
        }
        ctx.close();
      }
    }
  }
}
