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
 * Stand-in clients of an edge node, from the protocol page: they ask at the times drawn ahead,
 * whatever became of what they asked before, and a request's time counts from when it was due (no
 * coordinated omission; G. Tene). A refusal is tried again as told, a failure a few times, each
 * with a new id; a client whose patience is over closes its connection. All methods are for the
 * loop's thread.
 */
public final class CustomerClients {
  /** What became of a try. */
  public enum Fate {
    SERVED,
    REFUSED,
    FAILED,
    LOST,
    GIVEN_UP,
    NOT_CONNECTED
  }

  /** Who hears what became of each try, and what passed on the clients' sockets. */
  public interface Heard {
    /**
     * @param ms since it was due, for a retry since it was sent
     */
    void ended(ArrivalProcess.Arrival of, int retry, Fate fate, double ms);

    /** A request was written, with this id and this wait (ms). */
    default void asked(
        double now, String id, ArrivalProcess.Arrival of, Way way, double patience) {}

    /**
     * A message came; for the request that was written last on that connection, whether or not it
     * had one before.
     *
     * @param kind SERVED for a value, REFUSED for {@code -BUSY}, FAILED for all else
     */
    default void message(double now, String id, Fate kind, String text) {}

    /** The edge node ended the connection while the answer was owed. */
    default void cut(double now, String id) {}

    /** The client closed its connection and has no answer. */
    default void gaveUp(double now, String id) {}
  }

  /**
   * Where a request goes: the edge node with its number, and the customer's set as the request
   * names it.
   */
  public record Way(InetSocketAddress at, int node, int spread, int first) {}

  /** Chooses the edge node of each try. */
  public interface Route {
    Way way(ArrivalProcess.Arrival of, double now);
  }

  /**
   * @param retries at most, of a request that was refused or failed
   * @param retryAfterMs where the answer says nothing of it
   * @param obeys whether what an answer says of coming back is heeded
   * @param lingerMs how long after its patience a client closes its connection: what comes late can
   *     be seen
   */
  public record Habits(int retries, double retryAfterMs, boolean obeys, double lingerMs) {
    public static final Habits USUAL = new Habits(2, 200, true, 0);
  }

  private static final int ELEMENTS = 8;
  private static final int CONNECT = 1000;

  /**
   * Late by more than this (ms), a due arrival is sent at once all the same; never is one left out.
   */
  private static final double AHEAD = 1;

  private final EdgeEventLoop loop;
  private final ArrivalProcess arrivals;
  private final Habits habits;
  private final Heard heard;
  private final Route route;
  private final Random random;
  private final Map<InetSocketAddress, ArrayDeque<Line>> resting = new HashMap<>();
  private final Set<Line> lines = new LinkedHashSet<>();
  private double startedAt;
  private boolean ended;
  private int open;
  private long ids;

  /**
   * @param seed of ids and of the spread of retries
   */
  public CustomerClients(
      EdgeEventLoop loop,
      ArrivalProcess arrivals,
      Habits habits,
      InetSocketAddress node,
      Heard heard,
      long seed) {
    this(loop, arrivals, habits, (of, now) -> new Way(node, 0, 1, 0), heard, seed);
  }

  /**
   * @param seed of the spread of retries
   */
  public CustomerClients(
      EdgeEventLoop loop,
      ArrivalProcess arrivals,
      Habits habits,
      Route route,
      Heard heard,
      long seed) {
    this.loop = loop;
    this.arrivals = arrivals;
    this.habits = habits;
    this.route = route;
    this.heard = heard;
    random = new Random(seed);
  }

  public void start() {
    startedAt = loop.nowMs();
    due(arrivals.next());
  }

  /** Asks nothing more; what is open may end. */
  public void stop() {
    ended = true;
  }

  /** Tries that have no end yet. */
  public int open() {
    return open;
  }

  /** Asks nothing more and closes what is open: those tries are told as lost. */
  public void close() {
    ended = true;
    for (Line line : lines.toArray(new Line[0])) {
      line.channel.close();
    }
  }

  private void due(ArrivalProcess.Arrival next) {
    ArrivalProcess.Arrival a = next;
    while (!ended && startedAt + a.at() <= loop.nowMs() + AHEAD) {
      ask(new Try(a, 0, startedAt + a.at()));
      a = arrivals.next();
    }
    ArrivalProcess.Arrival later = a;
    if (!ended) {
      loop.schedule(Math.max(0, startedAt + a.at() - loop.nowMs()), () -> due(later));
    }
  }

  private final class Try {
    private final ArrivalProcess.Arrival of;
    private final int retry;
    private final double from;
    private Line line;
    private Way way;
    private Future<?> patience;
    private boolean over;

    Try(ArrivalProcess.Arrival of, int retry, double from) {
      this.of = of;
      this.retry = retry;
      this.from = from;
    }

    private boolean lingers() {
      return habits.lingerMs > 0 && line != null && line.current == this;
    }

    void end(Fate fate, double again) {
      if (over) {
        return;
      }
      over = true;
      open--;
      patience.cancel(false);
      heard.ended(of, retry, fate, loop.nowMs() - from);
      if (!ended && retry < habits.retries && again >= 0) {
        double wait = again * (0.75 + 0.5 * random.nextDouble());
        loop.schedule(wait, () -> ask(new Try(of, retry + 1, loop.nowMs())));
      }
    }
  }

  private void ask(Try t) {
    if (ended) {
      return;
    }
    open++;
    t.patience =
        loop.schedule(
            t.from + t.of.kind().patienceMs() - loop.nowMs(),
            () -> {
              t.end(Fate.GIVEN_UP, -1);
              if (t.lingers()) {
                loop.schedule(habits.lingerMs, () -> leave(t));
              } else if (t.line != null) {
                leave(t);
              }
            });
    Way way = route.way(t.of, loop.nowMs());
    t.way = way;
    ArrayDeque<Line> idle = resting.computeIfAbsent(way.at, at -> new ArrayDeque<>());
    for (Line line = idle.pollLast(); line != null; line = idle.pollLast()) {
      if (line.channel.isActive()) {
        line.write(t);
        return;
      }
    }
    Line line = new Line(idle);
    ChannelFuture connected =
        loop.transport()
            .newClientBootstrap(loop.group(), CONNECT)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    RespCodec.addCodec(channel.pipeline(), ELEMENTS);
                    channel.pipeline().addLast(line);
                  }
                })
            .connect(loop.transport().toSocketAddress(way.at));
    connected.addListener(
        f -> {
          if (f.isSuccess()) {
            line.channel = connected.channel();
            lines.add(line);
            if (t.over) {
              idle.addLast(line);
            } else {
              line.write(t);
            }
          } else {
            t.end(Fate.NOT_CONNECTED, habits.retryAfterMs);
          }
        });
  }

  private static void ended(Line line) {
    line.current = null;
    line.channel.close();
  }

  /** The client of a try whose time is over goes away, where the answer has not come meanwhile. */
  private void leave(Try t) {
    if (t.line.current == t) {
      heard.gaveUp(loop.nowMs(), t.line.lastId);
      ended(t.line);
    }
  }

  private final class Line extends ChannelInboundHandlerAdapter {
    /** Where it rests between requests: with those to the same edge node. */
    private final ArrayDeque<Line> idle;

    private Channel channel;
    private Try current;
    private String lastId;

    Line(ArrayDeque<Line> idle) {
      this.idle = idle;
    }

    void write(Try t) {
      current = t;
      t.line = this;
      ArrivalProcess.Arrival a = t.of;
      long left = Math.max(1, Math.round(t.from + a.kind().patienceMs() - loop.nowMs()));
      String list =
          "c="
              + a.kind().name()
              + ",t="
              + a.campus().plan()
              + ",d="
              + left
              + (a.key() == null ? "" : ",k=" + a.key())
              + ",units=1,spread="
              + t.way.spread
              + ",first="
              + t.way.first
              + (t.retry > 0 ? ",r=1" : "");
      String id = Long.toHexString(++ids);
      lastId = id;
      heard.asked(loop.nowMs(), id, a, t.way, left);
      ArrayRedisMessage command =
          a.key() == null
              ? RespCodec.command(channel.alloc(), "CALL.GET", a.campus().customer(), id, list)
              : RespCodec.command(
                  channel.alloc(), "CALL.POST", a.campus().customer(), id, list, "body");
      channel.writeAndFlush(command);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      Try t = current;
      current = null;
      try {
        RedisMessage message = (RedisMessage) msg;
        heard.message(loop.nowMs(), lastId, kind(message), words(message));
        if (t == null) {
          ctx.close(); // an answer to nothing
          return;
        }
        idle.addLast(this);
        told(t, message);
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private static Fate kind(RedisMessage msg) {
      boolean value =
          RespCodec.isBulkString(msg)
              || msg instanceof ArrayRedisMessage array
                  && !array.isNull()
                  && !array.children().isEmpty()
                  && RespCodec.isBulkString(array.children().get(0));
      return value
          ? Fate.SERVED
          : msg instanceof ErrorRedisMessage error && error.content().startsWith("BUSY")
              ? Fate.REFUSED
              : Fate.FAILED;
    }

    /** What it says: of an array its first part. */
    private static String words(RedisMessage msg) {
      return msg instanceof ErrorRedisMessage error
          ? error.content()
          : msg instanceof ArrayRedisMessage array && !array.isNull() && !array.children().isEmpty()
              ? String.valueOf(RespCodec.textOf(array.children().get(0)))
              : String.valueOf(RespCodec.textOf(msg));
    }

    private void told(Try t, RedisMessage msg) {
      switch (kind(msg)) {
        case SERVED -> t.end(Fate.SERVED, -1);
        case REFUSED ->
            t.end(Fate.REFUSED, habits.obeys ? after(((ErrorRedisMessage) msg).content()) : 0);
        default -> t.end(Fate.FAILED, habits.retryAfterMs);
      }
    }

    private double after(String busy) {
      try {
        return busy.length() > 5
            ? Math.max(0, Double.parseDouble(busy.substring(5)))
            : habits.retryAfterMs;
      } catch (NumberFormatException e) {
        return habits.retryAfterMs;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      lines.remove(this);
      idle.remove(this);
      if (current != null) {
        heard.cut(loop.nowMs(), lastId);
        Try t = current;
        current = null;
        t.end(Fate.LOST, habits.retryAfterMs);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
