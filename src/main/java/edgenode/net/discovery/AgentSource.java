package edgenode.net.discovery;

import com.fasterxml.jackson.core.JacksonException;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.membership.EndpointSource;
import edgenode.membership.EndpointSourceListener;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * This platform's discovery: an agent on the same machine that answers at once. Two eyes, as no
 * connection that is silent can be told from one that has nothing to say: a watch, and the whole
 * list asked on another connection every {@link #POLL_INTERVAL_MS} ms. A look that is not answered
 * within {@link #POLL_TIMEOUT_MS} ms is left and asked once more on a new connection, so that a
 * drain is known after LOOK + LATE at the latest, wherever one connection has stalled.
 *
 * <p>A list longer than {@link #MAX_POLLED_LIST_BYTES} bytes is too dear to be asked so often: then
 * the watch itself is opened anew each time that it has said nothing for LOOK ms, from the last
 * version, and the one before is ended.
 *
 * <p>While discovery is down all are silent: unanswered looks become rarer, to one each {@link *
 * #LOOK_MOST} ms, and those asked before stay open, as it tells those first when it is back.
 *
 * <p>After a call that failed, was refused or was given up, what discovery has counts as told
 * {@link #RECOVERY_LIMIT_MS} ms after it can be reached: so a call's own time (SILENT, CONNECT,
 * TRICKLE_MOST), the wait behind it (BACKOFF_MOST) and the call that follows must fit in that,
 * whichever comes first on a path. docs/design/moments.md has the sums.
 */
public final class AgentSource implements EndpointSource {
  static final double POLL_INTERVAL_MS = 125;
  static final double POLL_TIMEOUT_MS = 60;
  static final double MAX_POLL_INTERVAL_MS = 800;
  static final int MAX_POLLED_LIST_BYTES = 48 << 10;

  /** The operators' term (ms) for what a failed call has kept back. */
  static final double RECOVERY_LIMIT_MS = 6000;

  private static final String PATH = "/catalog/members";
  private static final int CONNECT = 1000;

  /**
   * A watch sends a line every 2 s: one that lacks two and is silent for longer (ms) is dead. The
   * next is opened at once, and a connect that needs all its time must still be within the term.
   */
  private static final double SILENT = RECOVERY_LIMIT_MS - CONNECT - 500;

  /** Lines come whole: half a line with nothing behind it for so long (ms) is all that comes. */
  private static final double HALF = 80;

  /** A look was ahead of the watch for so long (ms): the watch is opened anew. */
  private static final double BEHIND = 80;

  /** After a connection that worked the next is tried at once (ms). */
  private static final double BACKOFF = 10;

  private static final double BACKOFF_MOST = 2000;

  /** No list is as long as this (bytes); one that grows past it ends its connection. */
  private static final int LONGEST = 8 << 20;

  /** Looks that may be open at once: the one asked, and one that was not answered. */
  private static final int LOOKS = 2;

  /**
   * An answer that still grows is waited for, but no longer than this (ms): twice as long each time
   * that fails.
   */
  private static final double TRICKLE = 400;

  private static final double TRICKLE_MOST = 3200;

  /** Watches that brought no line, in a row: a long list is then asked for as a whole after all. */
  private static final int BARREN = 2;

  private final EdgeEventLoop loop;
  private final EndpointSourceListener sink;
  private final InetSocketAddress address;
  private final String space;
  private final Bootstrap bootstrap;
  private final List<Conn> looks = new ArrayList<>();
  private Conn watch;
  private Conn before;
  private boolean connecting;
  private boolean left;
  private int open;
  private int unanswered;
  private double nextLook;
  private double backoff = BACKOFF;
  private double renewed = Double.NEGATIVE_INFINITY;
  private double renewWait = POLL_INTERVAL_MS;
  private double trickle = TRICKLE;
  private int barren;

  /**
   * The last answer to a look, head and all, and its version. Only from there on is it compared.
   */
  private ByteBuf same = Unpooled.EMPTY_BUFFER;

  private long sameSeq = -1;
  private final ByteBuf question;
  private int longest;
  private String said = "";

  public AgentSource(
      EdgeEventLoop loop, EndpointSourceListener sink, InetSocketAddress address, String space) {
    this.loop = loop;
    this.sink = sink;
    this.address = address;
    this.space = space;
    bootstrap = loop.transport().newClientBootstrap(loop.group(), CONNECT);
    question =
        Unpooled.unreleasableBuffer(
            Unpooled.copiedBuffer(
                "GET "
                    + PATH
                    + " HTTP/1.1\r\nhost: "
                    + address.getHostString()
                    + ":"
                    + address.getPort()
                    + "\r\n\r\n",
                StandardCharsets.US_ASCII));
  }

  @Override
  public void start() {
    watch();
    loop.schedule(POLL_INTERVAL_MS, this::tick);
  }

  @Override
  public void resync() {
    same = Unpooled.EMPTY_BUFFER;
    for (Conn c : looks.toArray(new Conn[0])) {
      c.close();
    }
    if (watch != null) {
      Conn old = watch;
      watch = null;
      old.close();
      watch();
    }
  }

  @Override
  public void retire(double within) {
    left = true;
    for (Conn c : looks.toArray(new Conn[0])) {
      c.close();
    }
    loop.schedule(
        within,
        () -> {
          if (watch != null) {
            watch.close();
          }
          if (before != null) {
            before.close();
          }
          ended();
        });
  }

  /** The same fault comes with every look: it is told once. */
  private void say(String what) {
    if (!what.equals(said)) {
      said = what;
      loop.logLine("discovery: " + what);
    }
  }

  private static String firstLine(String text) {
    String all = String.valueOf(text);
    int end = all.indexOf('\n');
    return end < 0 ? all : all.substring(0, end);
  }

  private void ended() {
    if (left && open == 0) {
      sink.sourceClosed(space);
    }
  }

  // ---- the watch ----

  private void watch() {
    if (connecting || watch != null || left) {
      return;
    }
    connecting = true;
    connect(new Conn(true));
  }

  private void watchFailed(boolean refused) {
    connecting = false;
    if (left) {
      return;
    }
    barren++;
    sink.requestFailed(space, refused);
    loop.schedule(backoff, this::watch);
    backoff = Math.min(2 * backoff, BACKOFF_MOST);
  }

  /** A watch beside the one that stands, which ends as soon as this one has begun to answer. */
  private void renew() {
    double now = loop.nowMs();
    if (connecting || now - renewed < renewWait) {
      return;
    }
    if (before != null) { // the newest has not begun to answer either
      before.close();
    }
    renewed = now;
    before = watch;
    watch = null;
    watch();
  }

  // ---- looks ----

  private void tick() {
    if (left) {
      return;
    }
    loop.schedule(POLL_INTERVAL_MS, this::tick);
    double now = loop.nowMs();
    if (watch != null && now - watch.heardAt > SILENT) {
      backoff = BACKOFF; // it was waited for long enough
      watch.close();
    }
    if (now < nextLook) {
      return; // rarer while nobody answers
    }
    if (longest > MAX_POLLED_LIST_BYTES && barren < BARREN) {
      renewWait = POLL_INTERVAL_MS;
      if (watch != null && watch.asked && now - watch.heardAt >= POLL_INTERVAL_MS - 1) {
        renew();
      }
      return;
    }
    look();
  }

  private void look() {
    for (Conn c : looks) {
      if (c.growing()) {
        return; // else an answer that takes longer than two looks would never be whole
      }
    }
    double wait =
        unanswered < LOOKS
            ? POLL_INTERVAL_MS
            : Math.min(MAX_POLL_INTERVAL_MS, POLL_INTERVAL_MS * (1 << Math.min(unanswered - 1, 4)));
    nextLook = loop.nowMs() + wait - POLL_INTERVAL_MS / 2;
    for (Conn c : looks) {
      if (!c.asked && c.channel != null) {
        c.ask();
        return;
      }
    }
    if (looks.size() >= LOOKS) {
      looks.get(0).close(); // the one that has been silent longest
    }
    Conn c = new Conn(false);
    looks.add(c);
    connect(c);
  }

  /** Asked, and not answered whole: it has stalled, unless bytes came just now. */
  private void late(Conn c, int turn) {
    if (c.turn != turn || !c.asked || c.closed || left) {
      return;
    }
    if (c.growing()) {
      c.lateness = loop.schedule(POLL_TIMEOUT_MS / 2, () -> late(c, turn));
      return;
    }
    if (loop.nowMs() - c.askedAt >= trickle) {
      trickle = Math.min(2 * trickle, TRICKLE_MOST);
    }
    if (c.watching) {
      if (c.total > 0) { // its first list had begun; before that, discovery may just be down
        c.close();
      }
      return;
    }
    unanswered++;
    if (unanswered <= LOOKS) {
      look();
    }
  }

  private void answered(Conn c) {
    unanswered = 0;
    barren = Math.min(barren, BARREN - 1); // once for each further watch that brings nothing
    if (c.lateness != null) {
      c.lateness.cancel(false); // else it wakes the loop for nothing
      c.lateness = null;
    }
  }

  // ---- one connection ----

  private void connect(Conn c) {
    open++;
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                if (c.watching) {
                  channel.pipeline().addLast(new HttpClientCodec(), c);
                } else {
                  channel.pipeline().addLast(c.unchanged, new HttpResponseDecoder(), c);
                }
              }
            })
        .connect(loop.transport().toSocketAddress(address))
        .addListener(
            f -> {
              if (f.isSuccess()) {
                return;
              }
              open--;
              c.closed = true;
              looks.remove(c);
              boolean refused =
                  f.cause() instanceof ConnectException
                      && !(f.cause() instanceof ConnectTimeoutException);
              if (c.watching) {
                if (before != null) { // the one that stands goes on
                  watch = before;
                  before = null;
                }
                watchFailed(refused);
              }
              ended();
            });
  }

  private final class Conn extends SimpleChannelInboundHandler<HttpObject> {
    private final boolean watching;
    private Channel channel;
    private byte[] line = new byte[512];
    private int size;

    /**
     * Of the line, how far it has been scanned for the end of its object, and in how many it is
     * there.
     */
    private int scanned;

    private int depth;
    private boolean quoted;
    private int total;
    private int turn;
    private boolean asked;
    private boolean following;
    private boolean good;
    private boolean timed;
    private boolean closed;
    private double askedAt;
    private double heardAt;
    private long lines;
    private long seq = -1;
    private double behindSince = Double.NaN;
    private Future<?> lateness;

    /** Null on the watch. */
    private final Unchanged unchanged;

    Conn(boolean watching) {
      this.watching = watching;
      unchanged = watching ? null : new Unchanged(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (left || closed) {
        ctx.close();
        return;
      }
      if (watching) {
        connecting = false;
        watch = this;
      }
      ask();
    }

    /** Its answer has begun and still comes. */
    boolean growing() {
      double now = loop.nowMs();
      return asked
          && !closed
          && total > 0
          && now - heardAt < POLL_TIMEOUT_MS / 2
          && now - askedAt < trickle;
    }

    /** Asks for the list, or on the watch for what follows the last version. */
    void ask() {
      asked = true;
      turn++;
      size = 0;
      total = 0;
      askedAt = loop.nowMs();
      heardAt = askedAt;
      long since = sink.resumeVersion(space);
      following = watching && since >= 0;
      seq = Math.max(seq, since);
      if (!watching) {
        unchanged.asked();
        channel.writeAndFlush(question.duplicate());
      } else {
        DefaultFullHttpRequest request =
            new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                following ? PATH + "?follow=1&since=" + since : PATH);
        request
            .headers()
            .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        channel.writeAndFlush(request);
      }
      if (!following) {
        int now = turn;
        if (lateness != null) {
          lateness.cancel(false);
        }
        lateness = loop.schedule(POLL_TIMEOUT_MS, () -> late(this, now));
      }
    }

    void close() {
      closed = true;
      if (channel != null) {
        channel.close();
      }
      looks.remove(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) throws IOException {
      heardAt = loop.nowMs();
      if (msg.decoderResult().isFailure()) {
        if (msg.decoderResult().cause() instanceof PrematureChannelClosureException) {
          ctx.close();
          return;
        }
        throw new EndpointListJson.MalformedListException(
            "no HTTP: " + msg.decoderResult().cause().getMessage());
      }
      if (msg instanceof HttpResponse response) {
        good = response.status().code() == 200;
        if (!good) { // its body may never end
          ctx.close();
          return;
        }
        if (watching && before != null && before != this) {
          before.close();
        }
      }
      if (msg instanceof HttpContent content && good) {
        take(ctx, content.content());
      }
      if (msg instanceof LastHttpContent) {
        whole(ctx);
      }
    }

    private void take(ChannelHandlerContext ctx, ByteBuf in) throws IOException {
      total += in.readableBytes();
      if (!following) {
        append(in, in.readableBytes(), ctx);
        return;
      }
      while (in.isReadable() && !closed) {
        int end = in.bytesBefore((byte) '\n');
        append(in, end < 0 ? in.readableBytes() : end, ctx);
        if (end >= 0) {
          in.skipBytes(1);
          lines++;
          if (!within()) {
            int length = size;
            size = 0;
            line(length);
          }
        }
      }
    }

    /**
     * Whether what has come is not the whole of an object: a list may come indented, in many lines.
     */
    private boolean within() {
      scanned = scanned > size ? 0 : scanned;
      if (scanned == 0) {
        depth = 0;
        quoted = false;
      }
      for (; scanned < size; scanned++) {
        byte b = line[scanned];
        if (b == '\\' && quoted) {
          scanned++; // what is escaped ends nothing
        } else if (b == '"') {
          quoted = !quoted;
        } else if (!quoted) {
          depth += b == '{' ? 1 : b == '}' ? -1 : 0;
        }
      }
      boolean open = depth > 0;
      scanned = open ? scanned : 0;
      return open;
    }

    private void append(ByteBuf in, int length, ChannelHandlerContext ctx) {
      if (size + length > LONGEST) {
        say("a list of more than " + LONGEST + " bytes at " + space + " is not taken");
        in.skipBytes(in.readableBytes());
        closed = true;
        ctx.close();
        return;
      }
      if (size + length > line.length) {
        line = Arrays.copyOf(line, Math.min(LONGEST, Math.max(2 * line.length, size + length)));
      }
      in.readBytes(line, size, length);
      size += length;
    }

    /** A line of the watch. */
    private void line(int length) throws IOException {
      backoff = BACKOFF;
      barren = 0;
      if (blank(length)) {
        sink.sourceConfirmed(space);
        return;
      }
      EndpointListJson told = EndpointListJson.parse(line, length, this::bad);
      longest = told.isComplete() ? length : longest;
      seq = Math.max(seq, told.version());
      behindSince = Double.NaN;
      sink.endpointsReceived(space, told.version(), told.isComplete(), told.endpoints());
      if (line.length > MAX_POLLED_LIST_BYTES) {
        line = new byte[512]; // a long one is rare, and idle memory for ever
      }
    }

    private boolean blank(int length) {
      for (int i = 0; i < length; i++) {
        if (line[i] > ' ') {
          return false;
        }
      }
      return true;
    }

    private void bad(String what) {
      say("an entry at " + space + " is left out: " + what);
    }

    /** An answer has ended. */
    private void whole(ChannelHandlerContext ctx) throws IOException {
      if (!good || following || closed || !asked) {
        ctx.close(); // a watch that has ended, or no list
        return;
      }
      asked = false;
      boolean list = list();
      if (watching && list) {
        backoff = BACKOFF;
        if (left) {
          ctx.close();
        } else {
          ask(); // the watch goes on from the list
        }
      } else if (!list) {
        ctx.close();
      } else {
        answered(this);
      }
    }

    /**
     * The answer is that of the look before, byte for byte; false where it must be read after all.
     */
    boolean unchanged() {
      heardAt = loop.nowMs();
      if (!sink.confirmUnchanged(space, sameSeq)) {
        return false;
      }
      asked = false;
      size = 0;
      answered(this);
      ahead(sameSeq);
      return true;
    }

    /** Takes a whole list; false where it is none. */
    private boolean list() throws IOException {
      int length = size;
      size = 0;
      longest = length;
      if (blank(length)) {
        return false;
      }
      EndpointListJson told = EndpointListJson.parse(line, length, this::bad);
      if (!watching) {
        unchanged.taken(told.version());
      }
      sink.endpointsReceived(space, told.version(), told.isComplete(), told.endpoints());
      if (watching) {
        seq = told.version();
      }
      ahead(told.version());
      return true;
    }

    /** A look that knows more than the watch, for longer than lines take: the watch has stalled. */
    private void ahead(long told) {
      Conn w = watch;
      if (watching || w == null || !w.following || told <= w.seq) {
        if (w != null && told <= w.seq) {
          w.behindSince = Double.NaN;
          renewWait = POLL_INTERVAL_MS;
        }
        return;
      }
      double now = loop.nowMs();
      if (Double.isNaN(w.behindSince)) {
        w.behindSince = now;
      } else if (now - w.behindSince >= BEHIND) {
        renew();
        renewWait = Math.min(2 * renewWait, BACKOFF_MOST);
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (following && size > 0 && !timed) {
        half(lines, size);
      }
      loop.flushPending();
    }

    /** Waits for more of this line; one that grows is waited for again. */
    private void half(long had, int length) {
      timed = true;
      loop.schedule(
          HALF,
          () -> {
            timed = false;
            if (closed) {
              return;
            }
            if (lines == had && size == length) {
              channel.close();
            } else if (size > 0) {
              half(lines, size);
            }
          });
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      closed = true;
      open--;
      boolean was = looks.remove(this);
      if (this == watch) {
        watch = null;
        watchFailed(false);
      } else if (this == before) {
        before = null;
      } else if (was && asked && !left) {
        unanswered++;
        nextLook = unanswered <= LOOKS ? 0 : nextLook;
      }
      ended();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof JacksonException
          || cause instanceof EndpointListJson.MalformedListException) {
        say("an answer at " + space + " is not taken: " + firstLine(cause.getMessage()));
      } else if (!(cause instanceof IOException)) {
        loop.logFailure("discovery", cause);
      }
      ctx.close();
    }
  }

  /**
   * Compares the answer to a look with the one before, ahead of the codec: nearly all are alike,
   * and then nothing is decoded or read. What differs goes on to the codec, with what was held
   * back.
   */
  private final class Unchanged extends ChannelInboundHandlerAdapter {
    private static final int HEAD = 4 << 10;
    private final Conn conn;
    private final ByteBuf record = Unpooled.buffer(256, MAX_POLLED_LIST_BYTES + HEAD);
    private int matched = -1;
    private boolean tooLong;

    Unchanged(Conn conn) {
      this.conn = conn;
    }

    void asked() {
      record.clear();
      tooLong = false;
      matched = same.isReadable() ? 0 : -1;
    }

    /** The answer that has just come whole was a list of this version. */
    void taken(long seq) {
      if (record.isReadable() && !tooLong) {
        same = Unpooled.copiedBuffer(record);
        sameSeq = seq;
      }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      ByteBuf in = (ByteBuf) msg;
      if (matched >= 0) {
        int n = in.readableBytes();
        if (matched + n <= same.readableBytes()
            && ByteBufUtil.equals(same, matched, in, in.readerIndex(), n)) {
          in.release();
          matched += n;
          conn.total += n;
          conn.heardAt = loop.nowMs();
          if (matched < same.readableBytes() || conn.unchanged()) {
            matched = matched < same.readableBytes() ? matched : -1;
            return;
          }
          in = Unpooled.EMPTY_BUFFER;
        }
        ByteBuf held = Unpooled.copiedBuffer(same.slice(0, matched));
        matched = -1;
        keep(held);
        ctx.fireChannelRead(held);
      }
      keep(in);
      ctx.fireChannelRead(in);
    }

    private void keep(ByteBuf in) {
      int n = in.readableBytes();
      if (record.readableBytes() + n > record.maxCapacity()) {
        tooLong = true;
        return;
      }
      record.writeBytes(in, in.readerIndex(), n);
    }
  }
}
