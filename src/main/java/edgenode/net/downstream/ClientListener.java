package edgenode.net.downstream;

import edgenode.eventloop.Loop;
import edgenode.net.resp.Resp;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Clients' connections: commands in, answers out in the order of the commands. */
public final class ClientListener {
  /** Who takes what clients ask. */
  public interface Requests {
    /**
     * Takes a request, which from then on is the slot's; its command is the caller's to release.
     *
     * @param crowded its connection has so many open that it is refused at once
     * @return what is wrong with it, and it was not taken; else null
     */
    String take(Slot slot, ArrayRedisMessage command, boolean crowded);
  }

  /** A request that was taken and has not been answered. */
  public interface Taken {
    /** It fails now: what comes behind it on its connection cannot be told apart. */
    void giveUp();

    /** Its client has gone: no answer is owed any more. */
    void gone();
  }

  /** Where a value comes from that is passed on as it comes. */
  public interface Flow {
    /** Whether more may come now. */
    void flow(boolean on);
  }

  /**
   * So many commands unanswered on one connection are enough: further requests are refused at once.
   * They are read all the same: unread ones would age, and the end of their client's connection
   * could not be seen behind them.
   */
  private static final int PIPELINED = 256;

  /**
   * So many are no client's but a flood: the connection is told so and ended. A slot is some 60
   * bytes.
   */
  private static final int FLOOD = 4096;

  /** A client that does not close its side after ours has ended is cut off after this (ms). */
  private static final int LINGER = 200;

  /**
   * More than the bound, as a part of it, are accepted while those that are to go are on their way
   * out.
   */
  public static final double BEYOND = 1.0 / 16;

  private static final byte[] END_OF_LINE = {'\r', '\n'};
  private static final int MOST_WORDS = 16;
  private static final int BACKLOG = 1024;

  /** One that has sent nothing whole for so long (ms) is told so and ended. */
  private static final double PATIENCE = 2500;

  private static final double SWEEP = 250;

  /**
   * While reading from a client is off it is looked so often (ms) whether it has left: its requests
   * go on else.
   */
  private static final double LOOK = 50;

  /** A client that does not read what it is owed is cut off this long (ms) after the end. */
  private static final int UNREAD = 2000;

  private final Loop loop;
  private final Requests requests;
  private final int most;
  private final Set<Connection> open = new LinkedHashSet<>();

  /** Those that are not on their way out. */
  private final Places<Connection> places = new Places<>();

  private final boolean shared;
  private Channel listener;
  private boolean closing;
  private boolean cut;
  private boolean welcome = true;

  /**
   * @param most connections that are held at once; at the bound the idle one makes room
   * @param shared another process may listen at the same address: a new version
   */
  public ClientListener(Loop loop, Requests requests, int most, boolean shared) {
    this.loop = loop;
    this.requests = requests;
    this.most = most;
    this.shared = shared;
  }

  /** Binds; the future fails where the address cannot be had. */
  public ChannelFuture bind(InetSocketAddress address) {
    ServerBootstrap accepting = loop.transport().accepting(loop.group(), BACKLOG);
    return (shared ? loop.transport().shared(accepting) : accepting)
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                listener = channel; // on the loop: a client may come before bind has returned
              }
            })
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                Connection c = new Connection(channel);
                c.raw = Resp.codec(channel.pipeline(), MOST_WORDS);
                channel.pipeline().addLast(c);
                open.add(c);
                places.entered(c, c.bornAt);
                room();
              }
            })
        .bind(loop.transport().at(address));
  }

  public void start() {
    loop.after(SWEEP, this::sweep);
  }

  /** Connections that say nothing, or half a command, would fill the bound. */
  private void sweep() {
    loop.after(SWEEP, this::sweep);
    double before = loop.now() - PATIENCE;
    for (Connection c : open.toArray(new Connection[0])) {
      if (!c.deaf && c.slots.isEmpty() && c.silentFrom < before) {
        c.malformed("no whole command came");
      } else if (closing
          && c.slots.isEmpty()
          && c.raw.pending() == 0
          && c.bornAt < loop.now() - Places.ASKS_WITHIN) {
        c.finish(); // it came after the others had been ended, and asks nothing
      }
    }
  }

  /**
   * At the bound the one goes that is needed least; where all are needed, accepting waits for a
   * close.
   */
  private void room() {
    if (open.size() > most) {
      Connection goes = places.goes(loop.now());
      if (goes != null) {
        goes.evict();
      }
    }
    listener.config().setAutoRead(open.size() < most + Math.max(1, most * BEYOND));
  }

  /**
   * Ends the connections that are between requests, and from now on each after its last answer. One
   * within a command may finish it: its last byte may be on its way, and then an answer is owed.
   */
  public void close() {
    closing = true;
    for (Connection c : open.toArray(new Connection[0])) {
      if (c.slots.isEmpty() && c.raw.pending() == 0) {
        c.finish();
      }
    }
  }

  /** What the front's question is answered from now on. */
  public void welcome(boolean yes) {
    welcome = yes;
  }

  /**
   * Connections with requests open bring no further ones; the others may finish the one that they
   * are within.
   */
  public void cut() {
    cut = true;
    for (Connection c : open) {
      c.hold();
    }
  }

  /** Takes back {@link #close} and {@link #cut()}; connections that have been ended stay so. */
  public void reopen() {
    closing = false;
    cut = false;
    for (Connection c : open) {
      c.hold();
    }
  }

  /** Where another process listens at the same address, it gets what is new from now on. */
  public void giveWay() {
    if (shared && listener != null && !loop.transport().giveWay(listener)) {
      loop.say("clients: new connections go on being dealt to both processes at this address");
    }
  }

  public void unbind() {
    if (listener != null) { // told to end before it was bound
      listener.close();
    }
  }

  /** Requests that were taken and are not answered, counted at the connections. */
  public int owed() {
    int sum = 0;
    for (Connection c : open) {
      for (Slot slot : c.slots) {
        sum += slot.taken == null ? 0 : 1;
      }
    }
    return sum;
  }

  public boolean idle() {
    return open.isEmpty();
  }

  /** Whether a client has still to get bytes of an answer that is given. */
  public boolean writing() {
    for (Connection c : open) {
      if (c.unwritten() > 0) {
        return true;
      }
    }
    return false;
  }

  /** The place of one command's answer on its connection. */
  public static final class Slot {
    private final Connection connection;
    private RedisMessage answer;
    private Taken taken;

    /** Where the value comes from that is passed on here, or null. */
    private Flow flow;

    /** Of that value, while it is not written. */
    private String head;

    /** Parts of it that are not written yet. */
    private ArrayDeque<ByteBuf> early;

    private boolean ended;

    private Slot(Connection connection) {
      this.connection = connection;
    }

    /** What is open here, or null where nothing is. */
    public void take(Taken now) {
      taken = now;
    }

    /**
     * Begins the one answer: a value of so many bytes that comes in parts. Until those before it
     * are written the flow is off; what comes all the same is kept.
     */
    public void begin(int length, Flow from) {
      flow = from;
      head = "$" + length + "\r\n";
      early = new ArrayDeque<>(2);
      if (connection.slots.peek() != this) {
        from.flow(false);
      }
      connection.drain();
    }

    /** The next bytes of the value, which are the connection's to release. */
    public void part(ByteBuf bytes) {
      early.add(bytes);
      connection.drain();
    }

    /** The value is whole. */
    public void end() {
      ended = true;
      connection.drain();
    }

    /** The value will not be whole: its client can tell by the end of the connection. */
    public void broken() {
      connection.broken(this);
    }

    private void release() {
      ReferenceCountUtil.release(answer);
      while (early != null && !early.isEmpty()) {
        early.poll().release();
      }
    }

    /**
     * Whether its client has ended its side, also where the loop has not come to read that yet:
     * asked of the system before anything is sent on. Where it has, all that is open on its
     * connection hears so at once, but later.
     */
    public boolean left() {
      return connection.left();
    }

    /**
     * For how long (ms) the command may have lain unread, to be asked as it is taken. On a new
     * connection it may have come before that was accepted, a pass of the loop earlier.
     */
    public double unread() {
      return connection.unread();
    }

    /** Gives the one answer; it is written once those before it are. */
    public void answer(RedisMessage message) {
      answer = message;
      connection.drain();
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<Slot> slots = new ArrayDeque<>();
    private final double bornAt = loop.now();
    private Resp.Raw raw;

    /** Since when a whole command is waited for; never where none has begun. */
    private double silentFrom = bornAt;

    /** A whole command has come. */
    private boolean asked;

    private boolean deaf;
    private boolean finished;

    /** Its client has ended its side. */
    private boolean gone;

    /** Whether it is looked for its client's end. */
    private boolean looking;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (deaf) { // not taken: the client sends it once more elsewhere
        ReferenceCountUtil.release(msg);
        return;
      }
      if (!channel.config().isAutoRead() && left()) {
        ReferenceCountUtil.release(
            msg); // read though reading is off: as its client has ended its side
        return;
      }
      raw.whole((RedisMessage) msg);
      asked = true;
      silentFrom = Double.MAX_VALUE;
      places.owed(this, loop.now());
      if (slots.size() >= FLOOD) {
        ReferenceCountUtil.release(msg);
        malformed("too many commands unanswered");
        hold();
        return;
      }
      Slot slot = new Slot(this);
      slots.add(slot);
      try {
        if (msg instanceof ArrayRedisMessage command
            && command != ArrayRedisMessage.NULL_INSTANCE
            && !command.children().isEmpty()) {
          command(slot, command);
        } else {
          slot.answer(new ErrorRedisMessage("ERR a command expected"));
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
      hold();
    }

    private void command(Slot slot, ArrayRedisMessage command) {
      String verb = Resp.text(command.children().get(0));
      if ("CALL.GET".equals(verb) || "CALL.POST".equals(verb)) {
        String wrong = requests.take(slot, command, slots.size() > PIPELINED);
        if (wrong != null) {
          slot.answer(new ErrorRedisMessage("ERR " + wrong));
        }
      } else if ("PING".equalsIgnoreCase(verb)) {
        slot.answer(
            welcome ? new SimpleStringRedisMessage("PONG") : new ErrorRedisMessage("ERR draining"));
      } else {
        slot.answer(new ErrorRedisMessage("ERR unknown command"));
      }
    }

    /**
     * Reading stops while answers are unread by the client, in the last part of a drain, and at the
     * end.
     */
    private void hold() {
      boolean read = !deaf && !(cut && !slots.isEmpty()) && channel.isWritable();
      if (channel.config().isAutoRead() != read && !gone) {
        channel.config().setAutoRead(read);
        if (!read && !looking) {
          looking = true;
          loop.after(LOOK, this::look);
        }
      }
    }

    /** The end of a connection stands behind what has not been read: it must not wait for that. */
    private void look() {
      looking = channel.isActive() && !channel.config().isAutoRead();
      if (looking && !left()) {
        loop.after(LOOK, this::look);
      }
    }

    /**
     * Nothing more is taken of a client that has left: what else was read with its end comes here
     * yet.
     */
    boolean left() {
      if (!gone && (!channel.isActive() || loop.transport().ended(channel))) {
        gone = true;
        deaf = true;
        channel.close();
      }
      return gone;
    }

    private void drain() {
      while (!slots.isEmpty()
          && (slots.peek().answer != null || slots.peek().flow != null && passOn(slots.peek()))) {
        Slot slot = slots.poll();
        if (slot.answer != null) {
          channel.write(slot.answer, channel.voidPromise());
          loop.flushLater(channel);
        }
      }
      if (slots.isEmpty()) {
        if (closing || deaf) {
          finish();
        } else if (asked) {
          places.answered(this, loop.now());
        }
      }
      if (!channel.config().isAutoRead()) {
        hold();
      }
    }

    private void write(ByteBuf bytes) {
      channel.write(bytes, channel.voidPromise());
      loop.flushLater(channel);
    }

    /** Writes what has come of a value that is next; whether that is all of it. */
    private boolean passOn(Slot slot) {
      if (slot.head != null) {
        write(ByteBufUtil.writeAscii(channel.alloc(), slot.head));
        slot.head = null;
      }
      while (!slot.early.isEmpty()) {
        write(slot.early.poll());
      }
      if (slot.ended) {
        write(Unpooled.wrappedBuffer(END_OF_LINE));
        return true;
      }
      slot.flow.flow(channel.isWritable());
      return false;
    }

    void broken(Slot slot) {
      if (slot.head != null) { // nothing of it is written yet
        slot.release();
        slot.flow = null;
        slot.answer(new ErrorRedisMessage("ERR failed"));
      } else {
        deaf = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.close());
      }
    }

    /**
     * Makes room, for which a connection must be gone: one that is sent no more than an end keeps
     * its descriptor until its client ends too, which those in a crowd do not. A client has read
     * what it was sent a while ago; one that may not have must not be reset.
     */
    private void evict() {
      boolean read = loop.now() - places.left(this) > LINGER;
      if (read && channel.unsafe().outboundBuffer() != null && unwritten() == 0) {
        deaf = true;
        channel.close();
      } else {
        finish();
      }
    }

    /**
     * Ends our side after what is written, then waits for the client's: a reset could eat an
     * answer. What comes from now on stays unread, so that the close resets the connection over it:
     * that tells the client of a request which crossed the end that nobody has read it, and it
     * sends it once more. Read and dropped it would be lost.
     */
    private void finish() {
      if (!finished && !gone) {
        finished = true;
        deaf = true;
        places.left(this);
        hold();
        unread(Long.MAX_VALUE);
        // behind all that is written: ending the output drops what a slow reader has still to get
        channel
            .writeAndFlush(Unpooled.EMPTY_BUFFER)
            .addListener(
                f -> {
                  if (channel instanceof DuplexChannel duplex) {
                    duplex.shutdownOutput();
                  }
                  channel
                      .eventLoop()
                      .schedule(() -> channel.close(), LINGER, TimeUnit.MILLISECONDS);
                });
      }
    }

    private double unread() {
      double delay = loop.delay();
      double age = loop.now() - bornAt;
      return age <= delay ? age + delay : delay;
    }

    /** Bytes that its client has still to get. */
    private long unwritten() {
      ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
      return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** One that still reads what it is owed may take its time. */
    private void unread(long before) {
      channel
          .eventLoop()
          .schedule(
              () -> {
                long left = unwritten();
                if (left > 0 && left < before) {
                  unread(left);
                } else {
                  channel.close();
                }
              },
              UNREAD,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (raw.pending() == 0) {
        silentFrom = asked ? Double.MAX_VALUE : silentFrom;
      } else {
        places.bytes(this, loop.now());
        if (silentFrom == Double.MAX_VALUE) {
          silentFrom = loop.now();
        }
      }
      loop.flush();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      Slot first = slots.peek();
      if (first != null && first.flow != null && first.head == null) {
        first.flow.flow(channel.isWritable());
      }
      hold();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      open.remove(this);
      places.left(this);
      while (!slots.isEmpty()) {
        Slot slot = slots.poll();
        slot.release();
        if (slot.taken != null) {
          slot.taken.gone();
        }
      }
      room();
      loop.flush();
    }

    /**
     * There is no telling where the next command begins. What is open on the connection fails at
     * once, so that the error is not late behind it, and nothing more is read: 60 MB would cost as
     * much to drop.
     */
    private void malformed(String what) {
      if (!deaf) {
        deaf = true;
        Slot last = new Slot(this);
        slots.add(last);
        for (Slot slot : slots.toArray(new Slot[0])) {
          if (slot.taken != null) {
            slot.taken.giveUp();
          }
        }
        last.answer(new ErrorRedisMessage("ERR " + what));
      }
      loop.flush();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof io.netty.handler.codec.CodecException) {
        malformed("malformed");
        return;
      }
      if (!(cause instanceof java.io.IOException)) {
        loop.log("client connection", cause);
      }
      channel.close();
    }
  }
}
