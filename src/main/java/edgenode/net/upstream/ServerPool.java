package edgenode.net.upstream;

import edgenode.config.Config;
import edgenode.eventloop.Loop;
import edgenode.membership.Entry;
import edgenode.membership.Health;
import edgenode.net.resp.LongValues;
import edgenode.net.resp.Resp;
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
public final class ServerPool {
  /** What is asked of an app server, and who hears how it ended. */
  public interface Work {
    /** The command as it goes out at this time. */
    ArrayRedisMessage command(double now, ByteBufAllocator alloc);

    /**
     * Whether its client still waits; asked before it is written to a connection that it had to
     * wait for.
     */
    boolean wanted();

    /** Its last byte has been written to the server's connection. */
    void written(Attempt attempt);

    /**
     * Told once, after {@link #send} has returned.
     *
     * @param value where the outcome is OK; the pool's to release
     * @param load the server's report in the order of the settings' fields, or empty
     */
    void ended(Attempt attempt, CallOutcome outcome, RedisMessage value, double[] load);

    /**
     * Told in the place of {@link #ended} where the value is too long to be kept: the attempt has
     * ended well, and the value comes as it is read.
     *
     * @param length bytes
     * @return who takes the value, or null where nobody wants it any more
     */
    Sink began(Attempt attempt, int length, Source source);
  }

  /**
   * Takes a long value. One of {@link #whole} and {@link #broken} ends it, unless the source was
   * stopped.
   */
  public interface Sink {
    /**
     * @param bytes the sink's to release
     */
    void part(ByteBuf bytes);

    /** The answer came whole. */
    void whole();

    /** The rest will not come. */
    void broken();
  }

  /** Where a long value comes from. */
  public interface Source {
    /** Whether more may come now; until told otherwise it may. */
    void flow(boolean on);

    /** Nobody wants the rest: the sink hears no more. */
    void stop();
  }

  /** Who hears what probes bring. */
  public interface Probed {
    /**
     * @param took ms
     */
    void probed(String server, CallOutcome outcome, double took, double[] load);
  }

  /** Where a server has told nothing of its load. */
  public static final double[] NO_LOAD = new double[0];

  /**
   * Part of the servers' idle limit after which a connection is retired: a race would be a reset.
   */
  private static final double RETIRE = 0.4;

  /** With more nodes than this most of the connections opened ahead would never carry a request. */
  private static final int AHEAD = 8;

  private static final double SWEEP = 500;

  /** The value, the figures on use, the load report. */
  private static final int PARTS = 3;

  private static final double PROBE_WITHIN = 250;
  private static final int MOST_ELEMENTS = 16;

  /** An answer that has begun is whole within this (ms), or it will not be. */
  private static final double WHOLE_WITHIN = 250;

  /** A long value of which nothing comes for so long (ms) while it may flow will not be whole. */
  private static final double STALLED = 15_000;

  /** One whose client takes nothing for so long (ms) is given up. */
  private static final double UNREAD = 60_000;

  /** Read at a time (bytes): many long values may be on their way at once. */
  private static final int READ_LEAST = 256;

  private static final int READ_FIRST = 2048;
  private static final int READ_MOST = 32 << 10;

  /**
   * Rest (ms) of a connection after an answer: a second answer may come some milliseconds behind
   * the first, and on a connection that carries the next request by then it would be taken for that
   * one's.
   */
  private static final double REST = 10;

  /** The reports' names for what the settings call otherwise. */
  private static final Map<String, String> FIELDS =
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
  public static final class Attempt {
    /** Counted from 0 for each request. */
    public final int number;

    /** When it was asked for (ms on the loop's clock). */
    public final double sent;

    /** It must not be written from then on (ms). */
    private final double before;

    private final Work work;
    private final String server;
    private boolean done;
    private boolean wrote;
    private Link link;

    /**
     * @param before when it must not be written any more (ms), or infinity
     */
    public Attempt(Work work, int number, String server, double sent, double before) {
      this.before = before;
      this.work = work;
      this.number = number;
      this.server = server;
      this.sent = sent;
    }

    /** Whether its last byte has been written. */
    public boolean wrote() {
      return wrote;
    }

    /** It is not to be sent at all, and is told elsewhere. */
    public void drop() {
      done = true;
    }

    /**
     * It waits for a connection, or for one to have rested: nothing of it has been written
     * anywhere.
     */
    public boolean waits() {
      return !done && link == null;
    }
  }

  /** A server as the list has it, with its connections. */
  private static final class Target {
    final String id;
    final String told;
    final InetSocketAddress dial;
    final ArrayDeque<Link> idle = new ArrayDeque<>();
    final Set<Link> links = new LinkedHashSet<>();
    final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
    int connecting;
    boolean up;

    Target(String id, String told) {
      this.id = id;
      this.told = told;
      dial = Config.address(told);
    }

    /**
     * Writes on the connection that was used last, of those that have rested; false where none has.
     */
    boolean write(Attempt a, double now) {
      for (Iterator<Link> it = idle.descendingIterator(); it.hasNext(); ) {
        Link link = it.next();
        if (now - link.usedAt >= REST && link.channel.isActive()) {
          it.remove();
          link.write(a);
          return true;
        }
      }
      return false;
    }
  }

  private final Loop loop;
  private final Health health;
  private final Probed probed;
  private final Bootstrap bootstrap;
  private final Config config;
  private final int most;
  private final Map<String, Target> targets = new HashMap<>();
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private int open;

  /**
   * @param most connections that are held at once; at the bound an idle one of another server makes
   *     room
   */
  public ServerPool(Loop loop, Health health, Probed probed, Config config, int most) {
    this.loop = loop;
    this.health = health;
    this.probed = probed;
    this.config = config;
    this.most = most;
    bootstrap =
        loop.transport()
            .connecting(loop.group(), (int) config.connectTimeout())
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(READ_LEAST, READ_FIRST, READ_MOST));
  }

  /** Done when no connection that the first list asked for is still to come up or fail. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  // ---- the list ----

  /** Servers that have changed. */
  public void listed(List<Entry> members) {
    for (Entry m : members) {
      String id = m.server().id();
      Target old = targets.get(id);
      if (m.server().state() == EndpointState.REMOVED) {
        leave(targets.remove(id));
        continue;
      }
      Target t = old;
      if (old == null || !old.told.equals(m.dial())) {
        leave(old);
        t = new Target(id, m.dial());
        targets.put(id, t);
      }
      t.up = m.server().state() == EndpointState.UP;
      if (!t.up) {
        leave(t);
      } else if (t.links.isEmpty() && t.connecting == 0 && config.settings().nodeCount() <= AHEAD) {
        connect(t); // so that the first request need not wait for one
      }
    }
    isReady();
  }

  /** Nothing new goes to a server that drains, is gone or has moved; what is out there may end. */
  private void leave(Target t) {
    if (t == null) {
      return;
    }
    t.up = false;
    for (Link link : t.idle.toArray(new Link[0])) {
      link.channel.close();
    }
    while (!t.waiting.isEmpty()) {
      Attempt a = t.waiting.poll();
      loop.later(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
    }
  }

  /**
   * A connect to a server that is shown down, to see whether it lives; kept where that brings it
   * back.
   */
  public void tryOut(String id) {
    Target t = targets.get(id);
    if (t != null && t.up && !t.links.isEmpty()) {
      health.reachable(id); // a process that died would have reset it
    } else if (t != null && t.connecting == 0 && (open < most || spare())) {
      connect(t);
    }
  }

  public void start() {
    loop.after(SWEEP, this::sweep);
  }

  private void sweep() {
    loop.after(SWEEP, this::sweep);
    double before = loop.now() - config.keepAlive() * RETIRE;
    for (Target t : targets.values()) {
      while (!t.idle.isEmpty() && t.idle.peek().usedAt < before) {
        t.idle.poll().channel.close();
      }
    }
  }

  private void isReady() {
    if (!ready.isDone()
        && !targets.isEmpty()
        && targets.values().stream().allMatch(t -> t.connecting == 0)) {
      ready.complete(null);
    }
  }

  // ---- attempts ----

  public void send(Attempt a) {
    Target t = targets.get(a.server);
    if (t == null || !t.up) {
      loop.later(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
      return;
    }
    if (t.write(a, loop.now())) {
      return;
    }
    if (!t.idle.isEmpty()) {
      t.waiting.add(a); // sooner than a new connection would be up
      loop.after(REST, () -> serve(t));
      return;
    }
    if (open >= most && !spare()) {
      loop.later(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
      return;
    }
    t.waiting.add(a);
    connect(t);
  }

  /**
   * The attempt that has waited longest goes first; none is left with no connection to come or to
   * rest.
   */
  private void serve(Target t) {
    while (!t.waiting.isEmpty()) {
      Attempt a = t.waiting.peek();
      if (loop.now() >= a.before) {
        loop.later(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
      } else if (a.work != null && !a.work.wanted()) {
        loop.later(() -> end(a, CallOutcome.NOT_SENT, null, NO_LOAD));
      } else if (!t.write(a, loop.now())) {
        break;
      }
      t.waiting.poll();
    }
    if (t.waiting.size() > t.connecting + t.idle.size()) {
      connect(t);
    }
  }

  public void probe(String server) {
    Attempt a = new Attempt(null, 0, server, loop.now(), Double.POSITIVE_INFINITY);
    loop.after(PROBE_WITHIN, () -> giveUp(a, CallOutcome.TIMEOUT));
    send(a);
  }

  /** Stops waiting for an attempt. One that was not written whole cannot have run. */
  public void giveUp(Attempt a, CallOutcome outcome) {
    if (a.done) {
      return;
    }
    Link link = a.link;
    boolean unsent = link == null || !link.written;
    unlink(a); // first: whoever hears of the end may send the next one at once
    end(
        a,
        unsent && outcome == CallOutcome.TIMEOUT ? CallOutcome.NO_CONNECTION : outcome,
        null,
        NO_LOAD);
  }

  private void unlink(Attempt a) {
    if (a.link == null) {
      Target t = targets.get(a.server);
      if (t != null) {
        t.waiting.remove(a);
      }
    } else {
      a.link.current = null;
      a.link.channel.close(); // its answer is still owed on it: never to be used again
    }
  }

  /**
   * Nobody wants its answer any more. One that still waits for a connection is not sent when that
   * comes up, and is told as not sent; one that is on a connection goes on.
   */
  public void withdraw(Attempt a) {
    if (a.waits()) {
      unlink(a);
      loop.later(() -> end(a, CallOutcome.NOT_SENT, null, NO_LOAD));
    }
  }

  private void end(Attempt a, CallOutcome outcome, RedisMessage value, double[] load) {
    if (a.done) {
      return;
    }
    a.done = true;
    if (a.work == null) {
      probed.probed(a.server, outcome, loop.now() - a.sent, load);
    } else {
      a.work.ended(a, outcome, value, load);
    }
  }

  // ---- connections ----

  /** At the bound an idle connection of another server makes room. */
  private boolean spare() {
    for (Target t : targets.values()) {
      if (!t.idle.isEmpty()) {
        t.idle.poll().channel.close();
        return true;
      }
    }
    return false;
  }

  private void connect(Target t) {
    Link link = new Link(t);
    t.connecting++;
    open++;
    ChannelFuture connected =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    link.channel = channel;
                    link.raw = Resp.answers(channel.pipeline(), MOST_ELEMENTS);
                    channel.pipeline().addLast(link);
                  }
                })
            .connect(loop.transport().at(t.dial));
    connected.addListener(
        f -> {
          t.connecting--;
          boolean current = targets.get(t.id) == t; // of an address that was left it tells nothing
          if (f.isSuccess()) {
            t.links.add(link);
            if (current) {
              health.reachable(t.id); // which may bring it back up
            }
          } else if (f.cause() instanceof ConnectException && current) {
            health.unreachable(
                t.id, !(f.cause() instanceof ConnectTimeoutException), t.links.size());
          }
          if (!f.isSuccess()) {
            open--;
            // every attempt that waits began a connection: one too few now, and the oldest goes
            // without
            if (t.waiting.size() > t.connecting + t.idle.size()) {
              Attempt a =
                  t.waiting.poll(); // later: with no descriptor left it fails inside the send
              loop.later(() -> end(a, CallOutcome.NO_CONNECTION, null, NO_LOAD));
            }
          } else if (!t.up) {
            link.channel.close();
          } else {
            link.free();
            link.usedAt -= REST; // nothing has been answered on it
            serve(t);
          }
          isReady();
          loop.flush();
        });
  }

  private final class Link extends ChannelInboundHandlerAdapter implements Source {
    private final Target target;
    private Channel channel;
    private Attempt current;

    /** Takes the long value that is on its way here, or null. */
    private Sink sink;

    private boolean passing;
    private boolean flowing;
    private double movedAt;
    private Future<?> stall;
    private Resp.Raw raw;
    private boolean written;
    private boolean answered;
    private boolean begun;
    private double usedAt;

    Link(Target target) {
      this.target = target;
    }

    void write(Attempt a) {
      current = a;
      a.link = this;
      written = false;
      begun = false;
      ArrayRedisMessage command =
          a.work == null
              ? Resp.command(channel.alloc(), "INFO", "load")
              : a.work.command(loop.now(), channel.alloc());
      channel
          .write(command)
          .addListener(
              f -> {
                if (f.isSuccess() && a.work != null) {
                  a.wrote = true;
                  a.work.written(a);
                }
                if (current == a) {
                  written = f.isSuccess();
                }
              });
      loop.flushLater(channel);
    }

    /** Ready for the next request, after a rest. */
    void free() {
      usedAt = loop.now();
      if (target.up) {
        target.idle.addLast(this);
        if (!target.waiting.isEmpty()) {
          loop.after(REST, () -> serve(target));
        }
      } else {
        channel.close();
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (msg instanceof LongValues.Begin begin) {
        begin(begin);
        return;
      }
      if (msg instanceof LongValues.Part part) {
        movedAt = loop.now();
        if (sink != null) {
          sink.part(part.bytes());
        } else {
          part.bytes().release(); // the connection is about to be closed
        }
        return;
      }
      if (sink != null) {
        behindValue((RedisMessage) msg);
        return;
      }
      try {
        raw.whole((RedisMessage) msg);
        Attempt a = current;
        current = null;
        if (a == null || !written || !answered(a, (RedisMessage) msg)) {
          channel.close(); // nothing was asked, or not this: what comes next belongs to nobody
          if (a != null) { // now that it is out no more: the next one may go at once
            end(a, CallOutcome.ERROR, null, NO_LOAD);
          }
          return;
        }
        answered = true;
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void begin(LongValues.Begin begin) {
      Attempt a = current;
      current = null;
      if (a == null || a.done || !written || a.work == null) {
        channel.close(); // nothing was asked, or no value
        if (a != null) {
          end(a, CallOutcome.ERROR, null, NO_LOAD);
        }
        return;
      }
      a.done = true;
      health.answered(target.id);
      passing = true; // its flow may be told before it has returned
      flowing = true;
      movedAt = loop.now();
      sink = a.work.began(a, begin.length(), this);
      if (sink == null) {
        passing = false;
        channel.close();
      } else {
        stall = loop.after(STALLED, this::moving);
      }
    }

    private Sink passed() {
      Sink to = sink;
      sink = null;
      passing = false;
      if (to != null) {
        stall.cancel(false);
      }
      return to;
    }

    /** What stands behind a long value: whatever it says, the value is whole. */
    private void behindValue(RedisMessage msg) {
      raw.whole(msg);
      ReferenceCountUtil.release(msg);
      Sink to = passed();
      channel.config().setAutoRead(true);
      answered = true;
      to.whole();
    }

    private void moving() {
      double left = movedAt + (flowing ? STALLED : UNREAD) - loop.now();
      if (left <= 0) {
        brokenOff();
        channel.close();
      } else {
        stall = loop.after(left, this::moving);
      }
    }

    private void brokenOff() {
      Sink to = passed();
      if (to != null) {
        to.broken();
      }
    }

    @Override
    public void flow(boolean on) {
      if (passing && on != flowing) {
        flowing = on;
        movedAt = loop.now();
        channel.config().setAutoRead(on);
      }
    }

    @Override
    public void stop() {
      if (passed() != null) {
        channel.close();
      }
    }

    /**
     * Takes an answer in one of the protocol's forms; false where it is in none: it may have run.
     */
    private boolean answered(Attempt a, RedisMessage msg) {
      if (msg instanceof ArrayRedisMessage array
          && !array.isNull()
          && array.children().size() == PARTS
          && Resp.isValue(array.children().get(0))
          && a.work != null) {
        List<RedisMessage> parts = array.children();
        health.answered(target.id);
        end(a, CallOutcome.OK, parts.get(0), load(Resp.text(parts.get(2))));
      } else if (msg instanceof ErrorRedisMessage error) {
        String text = error.content();
        boolean busy = text.equals("BUSY") || text.startsWith("BUSY ");
        if (!busy && !text.startsWith("ERR ")) {
          loop.log("app server", new IllegalStateException(text));
          return false;
        }
        int space = text.lastIndexOf(' ');
        end(
            a,
            busy ? CallOutcome.FULL : CallOutcome.ERROR,
            null,
            text.indexOf('=', space) > 0 ? load(text.substring(space + 1)) : NO_LOAD);
      } else if (a.work == null && Resp.isValue(msg)) {
        end(a, CallOutcome.OK, null, load(Resp.text(msg)));
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
        loop.flush();
        return;
      }
      if (current == null && raw.pending() != 0) {
        channel.close();
      } else if (answered) {
        free();
      } else if (current != null && raw.pending() != 0 && !begun) {
        begun = true;
        Attempt a = current;
        loop.after(WHOLE_WITHIN, () -> spoilt(a));
      }
      answered = false;
      loop.flush();
    }

    private void spoilt(Attempt a) {
      if (current == a) {
        current = null;
        channel.close();
        end(a, CallOutcome.ERROR, null, NO_LOAD);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open--;
      target.idle.remove(this);
      target.links.remove(this);
      if (target.up && !target.waiting.isEmpty()) {
        serve(target);
      }
      brokenOff();
      Attempt a = current;
      current = null;
      if (a != null) {
        end(a, written ? CallOutcome.RESET : CallOutcome.NO_CONNECTION, null, NO_LOAD);
      }
      loop.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // behind our own close the codec tells only of what it had not read to its end
      if (!(cause instanceof java.io.IOException)
          && (current != null || sink != null || channel.isActive())) {
        loop.log("app server connection", cause);
        brokenOff();
        if (current
            != null) { // what came cannot be read: an error of this answer, not of the server
          spoilt(current);
        }
      }
      channel.close();
    }
  }

  /** The values in the order of the settings' fields; what is not told is not a number. */
  private double[] load(String report) {
    List<String> fields = config.settings().loadReportFields();
    if (report == null || fields.isEmpty()) {
      return NO_LOAD;
    }
    double[] values = new double[fields.size()];
    Arrays.fill(values, Double.NaN);
    for (String pair : report.split(",")) {
      int eq = pair.indexOf('=');
      if (eq > 0) {
        String name = pair.substring(0, eq);
        int i = fields.indexOf(name);
        i = i < 0 ? fields.indexOf(FIELDS.getOrDefault(name, name)) : i;
        try {
          if (i >= 0) {
            values[i] = Math.max(0, Double.parseDouble(pair.substring(eq + 1)));
          }
        } catch (NumberFormatException e) {
          values[i] = Double.NaN;
        }
      }
    }
    return values;
  }
}
