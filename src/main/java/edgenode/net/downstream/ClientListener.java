package edgenode.net.downstream;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
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
  public interface RequestHandler {
    /**
     * Takes a request, which from then on is the slot's; its command is the caller's to release.
     *
     * @param isOverPipelineLimit its connection has so many open that it is refused at once
     * @return what is wrong with it, and it was not taken; else null
     */
    String requestReceived(
        ResponseSlot slot, ArrayRedisMessage command, boolean isOverPipelineLimit);
  }

  /** A request that was taken and has not been answered. */
  public interface OpenRequest {
    /** It fails now: what comes behind it on its connection cannot be told apart. */
    void failNow();

    /** Its client has gone: no answer is owed any more. */
    void clientDisconnected();
  }

  /** Where a value comes from that is passed on as it comes. */
  public interface FlowControl {
    /** Whether more may come now. */
    void setFlowing(boolean isFlowing);
  }

  /**
   * So many commands unanswered on one connection are enough: further requests are refused at once.
   * They are read all the same: unread ones would age, and the end of their client's connection
   * could not be seen behind them.
   */
  private static final int MAX_PIPELINED_REQUESTS = 256;

  /**
   * So many are no client's but a flood: the connection is told so and ended. A slot is some 60
   * bytes.
   */
  private static final int MAX_UNANSWERED_COMMANDS = 4096;

  /** A client that does not close its side after ours has ended is cut off after this (ms). */
  private static final int LINGER_MS = 200;

  /**
   * More than the bound, as a part of it, are accepted while those that are to go are on their way
   * out.
   */
  public static final double OVER_LIMIT_SHARE = 1.0 / 16;

  private static final byte[] END_OF_LINE = {'\r', '\n'};
  private static final int MAX_COMMAND_ELEMENTS = 16;
  private static final int BACKLOG = 1024;

  /** One that has sent nothing whole for so long (ms) is told so and ended. */
  private static final double COMMAND_TIMEOUT_MS = 2500;

  private static final double SWEEP_INTERVAL_MS = 250;

  /**
   * While reading from a client is off it is looked so often (ms) whether it has left: its requests
   * go on else.
   */
  private static final double DISCONNECT_CHECK_INTERVAL_MS = 50;

  /** A client that does not read what it is owed is cut off this long (ms) after the end. */
  private static final int SLOW_READER_TIMEOUT_MS = 2000;

  private final EdgeEventLoop loop;
  private final RequestHandler requestHandler;
  private final int maxConnections;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Those that are not on their way out. */
  private final EvictionOrder<ClientConnection> evictionOrder = new EvictionOrder<>();

  private final boolean isAddressShared;
  private Channel listener;
  private boolean isClosing;
  private boolean stopFurtherRequests;
  private boolean setAcceptingClients = true;

  /**
   * @param maxConnections connections that are held at once; at the bound the idle one makes room
   * @param isAddressShared another process may listen at the same address: a new version
   */
  public ClientListener(
      EdgeEventLoop loop,
      RequestHandler requestHandler,
      int maxConnections,
      boolean isAddressShared) {
    this.loop = loop;
    this.requestHandler = requestHandler;
    this.maxConnections = maxConnections;
    this.isAddressShared = isAddressShared;
  }

  /** Binds; the future fails where the address cannot be had. */
  public ChannelFuture bind(InetSocketAddress address) {
    ServerBootstrap accepting = loop.transport().newServerBootstrap(loop.group(), BACKLOG);
    return (isAddressShared ? loop.transport().withSharedPort(accepting) : accepting)
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
                ClientConnection c = new ClientConnection(channel);
                c.decoder = RespCodec.addCodec(channel.pipeline(), MAX_COMMAND_ELEMENTS);
                channel.pipeline().addLast(c);
                connections.add(c);
                evictionOrder.connected(c, c.acceptedAtMs);
                enforceConnectionLimit();
              }
            })
        .bind(loop.transport().toSocketAddress(address));
  }

  public void start() {
    loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
  }

  /** Connections that say nothing, or half a command, would fill the bound. */
  private void sweep() {
    loop.schedule(SWEEP_INTERVAL_MS, this::sweep);
    double waitingSinceLimitMs = loop.nowMs() - COMMAND_TIMEOUT_MS;
    for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
      if (!connection.ignoresInput
          && connection.slots.isEmpty()
          && connection.waitingSinceMs < waitingSinceLimitMs) {
        connection.rejectInput("no whole command came");
      } else if (isClosing
          && connection.slots.isEmpty()
          && connection.decoder.pendingBytes() == 0
          && connection.acceptedAtMs < loop.nowMs() - EvictionOrder.SILENT_GRACE_MS) {
        connection.closeGracefully(); // it came after the others had been ended, and asks nothing
      }
    }
  }

  /**
   * At the bound the one goes that is needed least; where all are needed, accepting waits for a
   * close.
   */
  private void enforceConnectionLimit() {
    if (connections.size() > maxConnections) {
      ClientConnection evicted = evictionOrder.nextToEvict(loop.nowMs());
      if (evicted != null) {
        evicted.evict();
      }
    }
    listener
        .config()
        .setAutoRead(
            connections.size() < maxConnections + Math.max(1, maxConnections * OVER_LIMIT_SHARE));
  }

  /**
   * Ends the connections that are between requests, and from now on each after its last answer. One
   * within a command may finish it: its last byte may be on its way, and then an answer is owed.
   */
  public void closeIdleConnections() {
    isClosing = true;
    for (ClientConnection connection : connections.toArray(new ClientConnection[0])) {
      if (connection.slots.isEmpty() && connection.decoder.pendingBytes() == 0) {
        connection.closeGracefully();
      }
    }
  }

  /** What the front's question is answered from now on. */
  public void setAcceptingClients(boolean isAccepting) {
    setAcceptingClients = isAccepting;
  }

  /**
   * Connections with requests open bring no further ones; the others may finish the one that they
   * are within.
   */
  public void stopFurtherRequests() {
    stopFurtherRequests = true;
    for (ClientConnection connection : connections) {
      connection.updateReading();
    }
  }

  /**
   * Takes back {@link #closeIdleConnections} and {@link #stopFurtherRequests()}; connections that
   * have been ended stay so.
   */
  public void cancelClose() {
    isClosing = false;
    stopFurtherRequests = false;
    for (ClientConnection connection : connections) {
      connection.updateReading();
    }
  }

  /** Where another process listens at the same address, it gets what is new from now on. */
  public void stopAcceptingAtSharedAddress() {
    if (isAddressShared && listener != null && !loop.transport().yieldNewConnections(listener)) {
      loop.logLine("clients: new connections go on being dealt to both processes at this address");
    }
  }

  public void stopListening() {
    if (listener != null) { // told to end before it was bound
      listener.close();
    }
  }

  /** Requests that were taken and are not answered, counted at the connections. */
  public int openRequestCount() {
    int sum = 0;
    for (ClientConnection connection : connections) {
      for (ResponseSlot slot : connection.slots) {
        sum += slot.openRequest == null ? 0 : 1;
      }
    }
    return sum;
  }

  public boolean hasNoConnections() {
    return connections.isEmpty();
  }

  /** Whether a client has still to get bytes of an answer that is given. */
  public boolean hasUnwrittenResponses() {
    for (ClientConnection connection : connections) {
      if (connection.unwrittenBytes() > 0) {
        return true;
      }
    }
    return false;
  }

  /** The place of one command's answer on its connection. */
  public static final class ResponseSlot {
    private final ClientConnection connection;
    private RedisMessage respond;
    private OpenRequest openRequest;

    /** Where the value comes from that is passed on here, or null. */
    private FlowControl flowControl;

    /** Of that value, while it is not written. */
    private String unwrittenHeader;

    /** Parts of it that are not written yet. */
    private ArrayDeque<ByteBuf> unwrittenChunks;

    private boolean isStreamFinished;

    private ResponseSlot(ClientConnection connection) {
      this.connection = connection;
    }

    /** What is open here, or null where nothing is. */
    public void setOpenRequest(OpenRequest request) {
      openRequest = request;
    }

    /**
     * Begins the one answer: a value of so many bytes that comes in parts. Until those before it
     * are written the flow is off; what comes all the same is kept.
     */
    public void startStreaming(int lengthBytes, FlowControl source) {
      flowControl = source;
      unwrittenHeader = "$" + lengthBytes + "\r\n";
      unwrittenChunks = new ArrayDeque<>(2);
      if (connection.slots.peek() != this) {
        source.setFlowing(false);
      }
      connection.writeReadyResponses();
    }

    /** The next bytes of the value, which are the connection's to release. */
    public void writeChunk(ByteBuf chunk) {
      unwrittenChunks.add(chunk);
      connection.writeReadyResponses();
    }

    /** The value is whole. */
    public void finishStreaming() {
      isStreamFinished = true;
      connection.writeReadyResponses();
    }

    /** The value will not be whole: its client can tell by the end of the connection. */
    public void abortStreaming() {
      connection.abortStream(this);
    }

    private void release() {
      ReferenceCountUtil.release(respond);
      while (unwrittenChunks != null && !unwrittenChunks.isEmpty()) {
        unwrittenChunks.poll().release();
      }
    }

    /**
     * Whether its client has ended its side, also where the loop has not come to read that yet:
     * asked of the system before anything is sent on. Where it has, all that is open on its
     * connection hears so at once, but later.
     */
    public boolean hasClientDisconnected() {
      return connection.checkClientDisconnected();
    }

    /**
     * For how long (ms) the command may have lain unread, to be asked as it is taken. On a new
     * connection it may have come before that was accepted, a pass of the loop earlier.
     */
    public double unreadDelayMs() {
      return connection.unread();
    }

    /** Gives the one answer; it is written once those before it are. */
    public void respond(RedisMessage message) {
      respond = message;
      connection.writeReadyResponses();
    }
  }

  private final class ClientConnection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<ResponseSlot> slots = new ArrayDeque<>();
    private final double acceptedAtMs = loop.nowMs();
    private RespCodec.UndecodedByteCounter decoder;

    /** Since when a whole command is waited for; never where none has begun. */
    private double waitingSinceMs = acceptedAtMs;

    /** A whole command has come. */
    private boolean hasReceivedCommand;

    private boolean ignoresInput;
    private boolean isOutputEnding;

    /** Its client has ended its side. */
    private boolean hasClientDisconnected;

    /** Whether it is looked for its client's end. */
    private boolean isDisconnectCheckScheduled;

    ClientConnection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      if (ignoresInput) { // not taken: the client sends it once more elsewhere
        ReferenceCountUtil.release(msg);
        return;
      }
      if (!channel.config().isAutoRead() && checkClientDisconnected()) {
        ReferenceCountUtil.release(
            msg); // read though reading is off: as its client has ended its side
        return;
      }
      decoder.messageDecoded((RedisMessage) msg);
      hasReceivedCommand = true;
      waitingSinceMs = Double.MAX_VALUE;
      evictionOrder.commandReceived(this, loop.nowMs());
      if (slots.size() >= MAX_UNANSWERED_COMMANDS) {
        ReferenceCountUtil.release(msg);
        rejectInput("too many commands unanswered");
        updateReading();
        return;
      }
      ResponseSlot slot = new ResponseSlot(this);
      slots.add(slot);
      try {
        if (msg instanceof ArrayRedisMessage command
            && command != ArrayRedisMessage.NULL_INSTANCE
            && !command.children().isEmpty()) {
          dispatch(slot, command);
        } else {
          slot.respond(new ErrorRedisMessage("ERR a command expected"));
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
      updateReading();
    }

    private void dispatch(ResponseSlot slot, ArrayRedisMessage command) {
      String verb = RespCodec.textOf(command.children().get(0));
      if ("CALL.GET".equals(verb) || "CALL.POST".equals(verb)) {
        String error =
            requestHandler.requestReceived(slot, command, slots.size() > MAX_PIPELINED_REQUESTS);
        if (error != null) {
          slot.respond(new ErrorRedisMessage("ERR " + error));
        }
      } else if ("PING".equalsIgnoreCase(verb)) {
        slot.respond(
            setAcceptingClients
                ? new SimpleStringRedisMessage("PONG")
                : new ErrorRedisMessage("ERR draining"));
      } else {
        slot.respond(new ErrorRedisMessage("ERR unknown command"));
      }
    }

    /**
     * Reading stops while answers are unread by the client, in the last part of a drain, and at the
     * end.
     */
    private void updateReading() {
      boolean isReading =
          !ignoresInput && !(stopFurtherRequests && !slots.isEmpty()) && channel.isWritable();
      if (channel.config().isAutoRead() != isReading && !hasClientDisconnected) {
        channel.config().setAutoRead(isReading);
        if (!isReading && !isDisconnectCheckScheduled) {
          isDisconnectCheckScheduled = true;
          loop.schedule(DISCONNECT_CHECK_INTERVAL_MS, this::checkForDisconnect);
        }
      }
    }

    /** The end of a connection stands behind what has not been read: it must not wait for that. */
    private void checkForDisconnect() {
      isDisconnectCheckScheduled = channel.isActive() && !channel.config().isAutoRead();
      if (isDisconnectCheckScheduled && !checkClientDisconnected()) {
        loop.schedule(DISCONNECT_CHECK_INTERVAL_MS, this::checkForDisconnect);
      }
    }

    /**
     * Nothing more is taken of a client that has left: what else was read with its end comes here
     * yet.
     */
    boolean checkClientDisconnected() {
      if (!hasClientDisconnected
          && (!channel.isActive() || loop.transport().isClosedByPeer(channel))) {
        hasClientDisconnected = true;
        ignoresInput = true;
        channel.close();
      }
      return hasClientDisconnected;
    }

    private void writeReadyResponses() {
      while (!slots.isEmpty()
          && (slots.peek().respond != null
              || slots.peek().flowControl != null && writeStreamed(slots.peek()))) {
        ResponseSlot slot = slots.poll();
        if (slot.respond != null) {
          channel.write(slot.respond, channel.voidPromise());
          loop.flushLater(channel);
        }
      }
      if (slots.isEmpty()) {
        if (isClosing || ignoresInput) {
          closeGracefully();
        } else if (hasReceivedCommand) {
          evictionOrder.allResponsesWritten(this, loop.nowMs());
        }
      }
      if (!channel.config().isAutoRead()) {
        updateReading();
      }
    }

    private void write(ByteBuf bytes) {
      channel.write(bytes, channel.voidPromise());
      loop.flushLater(channel);
    }

    /** Writes what has come of a value that is next; whether that is all of it. */
    private boolean writeStreamed(ResponseSlot slot) {
      if (slot.unwrittenHeader != null) {
        write(ByteBufUtil.writeAscii(channel.alloc(), slot.unwrittenHeader));
        slot.unwrittenHeader = null;
      }
      while (!slot.unwrittenChunks.isEmpty()) {
        write(slot.unwrittenChunks.poll());
      }
      if (slot.isStreamFinished) {
        write(Unpooled.wrappedBuffer(END_OF_LINE));
        return true;
      }
      slot.flowControl.setFlowing(channel.isWritable());
      return false;
    }

    void abortStream(ResponseSlot slot) {
      if (slot.unwrittenHeader != null) { // nothing of it is written yet
        slot.release();
        slot.flowControl = null;
        slot.respond(new ErrorRedisMessage("ERR failed"));
      } else {
        ignoresInput = true;
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.close());
      }
    }

    /**
     * Makes room, for which a connection must be gone: one that is sent no more than an end keeps
     * its descriptor until its client ends too, which those in a crowd do not. A client has read
     * what it was sent a while ago; one that may not have must not be reset.
     */
    private void evict() {
      boolean isAllRead = loop.nowMs() - evictionOrder.remove(this) > LINGER_MS;
      if (isAllRead && channel.unsafe().outboundBuffer() != null && unwrittenBytes() == 0) {
        ignoresInput = true;
        channel.close();
      } else {
        closeGracefully();
      }
    }

    /**
     * Ends our side after what is written, then waits for the client's: a reset could eat an
     * answer. What comes from now on stays unread, so that the close resets the connection over it:
     * that tells the client of a request which crossed the end that nobody has read it, and it
     * sends it once more. Read and dropped it would be lost.
     */
    private void closeGracefully() {
      if (!isOutputEnding && !hasClientDisconnected) {
        isOutputEnding = true;
        ignoresInput = true;
        evictionOrder.remove(this);
        updateReading();
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
                      .schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
                });
      }
    }

    private double unread() {
      double delay = loop.queueingDelayMs();
      double age = loop.nowMs() - acceptedAtMs;
      return age <= delay ? age + delay : delay;
    }

    /** Bytes that its client has still to get. */
    private long unwrittenBytes() {
      ChannelOutboundBuffer out = channel.unsafe().outboundBuffer();
      return out == null ? 0 : out.totalPendingWriteBytes();
    }

    /** One that still reads what it is owed may take its time. */
    private void unread(long before) {
      channel
          .eventLoop()
          .schedule(
              () -> {
                long left = unwrittenBytes();
                if (left > 0 && left < before) {
                  unread(left);
                } else {
                  channel.close();
                }
              },
              SLOW_READER_TIMEOUT_MS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      if (decoder.pendingBytes() == 0) {
        waitingSinceMs = hasReceivedCommand ? Double.MAX_VALUE : waitingSinceMs;
      } else {
        evictionOrder.partialCommandReceived(this, loop.nowMs());
        if (waitingSinceMs == Double.MAX_VALUE) {
          waitingSinceMs = loop.nowMs();
        }
      }
      loop.flushPending();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
      ResponseSlot first = slots.peek();
      if (first != null && first.flowControl != null && first.unwrittenHeader == null) {
        first.flowControl.setFlowing(channel.isWritable());
      }
      updateReading();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      evictionOrder.remove(this);
      while (!slots.isEmpty()) {
        ResponseSlot slot = slots.poll();
        slot.release();
        if (slot.openRequest != null) {
          slot.openRequest.clientDisconnected();
        }
      }
      enforceConnectionLimit();
      loop.flushPending();
    }

    /**
     * There is no telling where the next command begins. What is open on the connection fails at
     * once, so that the error is not late behind it, and nothing more is read: 60 MB would cost as
     * much to drop.
     */
    private void rejectInput(String reason) {
      if (!ignoresInput) {
        ignoresInput = true;
        ResponseSlot last = new ResponseSlot(this);
        slots.add(last);
        for (ResponseSlot slot : slots.toArray(new ResponseSlot[0])) {
          if (slot.openRequest != null) {
            slot.openRequest.failNow();
          }
        }
        last.respond(new ErrorRedisMessage("ERR " + reason));
      }
      loop.flushPending();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (cause instanceof io.netty.handler.codec.CodecException) {
        rejectInput("malformed");
        return;
      }
      if (!(cause instanceof java.io.IOException)) {
        loop.logFailure("client connection", cause);
      }
      channel.close();
    }
  }
}
