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
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * One of the client's connections to one address of the counter. It carries many calls at once,
 * answered in order, and connects again whenever its channel has closed, until the client has
 * another address.
 */
final class CounterConnection {
  /** Connects without a response between them are this far apart, doubled each time. */
  private static final double RECONNECT_BACKOFF_MS = 100;

  private static final int MAX_BACKOFF_DOUBLINGS = 4;
  private static final int MAX_ARRAY_ELEMENTS = 4;

  private final CounterClient client;
  private final EdgeEventLoop eventLoop;
  private final Bootstrap bootstrap;
  private final InetSocketAddress remoteAddress;

  /** Calls whose response is awaited, the oldest first. */
  private final ArrayDeque<CounterCommand> inFlight = new ArrayDeque<>();

  /** Calls made while the connection is being established, in their order. */
  private final Set<CounterCommand> queued = new LinkedHashSet<>();

  /** Null while the connection is not established. */
  private Channel channel;

  private RespCodec.UndecodedByteCounter undecodedBytes;
  private boolean isConnecting;
  private boolean isDraining;
  private double lastUsedMs;
  private double lastConnectMs = Double.NEGATIVE_INFINITY;

  /**
   * Successful connects in a row without a response: an overloaded counter may accept a connection
   * and close it at once.
   */
  private int unansweredConnects;

  CounterConnection(
      CounterClient client,
      EdgeEventLoop eventLoop,
      Bootstrap bootstrap,
      InetSocketAddress remoteAddress) {
    this.client = client;
    this.eventLoop = eventLoop;
    this.bootstrap = bootstrap;
    this.remoteAddress = remoteAddress;
  }

  boolean isEstablished() {
    return channel != null;
  }

  /** Whether a call can be written now, or soon. */
  boolean acceptsCalls() {
    return channel != null || isConnecting;
  }

  /** Whether bytes have come that are no complete response yet. */
  boolean hasPartialResponse() {
    return channel != null && undecodedBytes.pendingBytes() != 0;
  }

  /** Whether the end of each call on it has been reported. */
  boolean hasNoOpenCall() {
    return inFlight.stream().allMatch(call -> call.isEnded) && queued.isEmpty();
  }

  /** The call that has waited longest for its response, or null. */
  CounterCommand oldestCall() {
    return inFlight.peek();
  }

  double lastUsedMs() {
    return lastUsedMs;
  }

  // ---- connects ----

  /** Connects, unless the client has another address by now. */
  void connect() {
    if (!client.isCurrentAddress(remoteAddress)) {
      return;
    }
    isConnecting = true;
    lastConnectMs = eventLoop.nowMs();
    ChannelFuture connected =
        bootstrap
            .clone()
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel newChannel) {
                    undecodedBytes = RespCodec.addCodec(newChannel.pipeline(), MAX_ARRAY_ELEMENTS);
                    newChannel.pipeline().addLast(new ResponseHandler());
                  }
                })
            .connect(eventLoop.transport().toSocketAddress(remoteAddress));
    connected.addListener(
        result -> {
          if (result.isSuccess()) {
            connectSucceeded(connected.channel());
          } else {
            connectFailed();
          }
        });
  }

  private void connectSucceeded(Channel connected) {
    isConnecting = false;
    channel = connected;
    unansweredConnects++;
    lastUsedMs = eventLoop.nowMs();
    for (CounterCommand call : takeQueued()) {
      write(call);
    }
    eventLoop.flushPending();
    client.connectionEstablished();
  }

  private void connectFailed() {
    isConnecting = false;
    for (CounterCommand call : takeQueued()) {
      client.end(call, CallOutcome.NO_CONNECTION, 0);
    }
    eventLoop.flushPending();
    eventLoop.schedule(RECONNECT_BACKOFF_MS, this::connect);
  }

  private List<CounterCommand> takeQueued() {
    List<CounterCommand> calls = new ArrayList<>(queued);
    queued.clear();
    return calls;
  }

  /** At once after the first close since a response; a counter at its limit needs the backoff. */
  private void reconnect() {
    double backoffMs =
        unansweredConnects < 2
            ? 0
            : RECONNECT_BACKOFF_MS * (1 << Math.min(unansweredConnects - 2, MAX_BACKOFF_DOUBLINGS));
    double waitMs = lastConnectMs + backoffMs - eventLoop.nowMs();
    if (waitMs > 0) {
      eventLoop.schedule(waitMs, this::connect);
    } else {
      eventLoop.execute(this::connect);
    }
  }

  // ---- calls ----

  /** Writes the call, or queues it until the connection is established. */
  void send(CounterCommand call) {
    if (channel == null) {
      queued.add(call); // a connection that closed is back in about a round trip
    } else {
      write(call);
    }
  }

  private void write(CounterCommand call) {
    inFlight.add(call);
    lastUsedMs = call.sentAtMs;
    channel
        .write(RespCodec.command(channel.alloc(), call.command))
        .addListener(result -> call.isWritten = result.isSuccess());
    eventLoop.flushLater(channel);
  }

  /** Removes a call that has not been written; false where it is not queued. */
  boolean removeQueued(CounterCommand call) {
    return queued.remove(call);
  }

  /** Another connection takes its place: it closes once all responses have come. */
  void drain() {
    isDraining = true;
    if (channel != null && inFlight.isEmpty()) {
      channel.close();
    }
  }

  /** To be called on an established connection only. */
  void close() {
    channel.close();
  }

  /**
   * The oldest call's response is malformed: its amount counts as added. The responses behind it
   * cannot be told apart, so all other calls end too and the connection is replaced.
   */
  void failMalformed() {
    if (!inFlight.isEmpty()) {
      client.end(inFlight.poll(), CallOutcome.ERROR, 0);
    }
    failInFlight();
    channel.close();
  }

  private void failInFlight() {
    for (CounterCommand call = inFlight.poll(); call != null; call = inFlight.poll()) {
      client.end(call, call.isWritten ? CallOutcome.RESET : CallOutcome.NO_CONNECTION, 0);
    }
  }

  /** Reads the responses of one channel. */
  private final class ResponseHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      try {
        undecodedBytes.messageDecoded((RedisMessage) msg);
        unansweredConnects = 0;
        CounterCommand call = inFlight.poll(); // overdue or not: responses come in the calls' order
        if (call == null) {
          ctx.close();
          return;
        }
        if (!readResponse(call, (RedisMessage) msg)) {
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

    /** Ends the call; false where the message is no response to it. */
    private boolean readResponse(CounterCommand call, RedisMessage message) {
      if (call.isPing) {
        return message instanceof SimpleStringRedisMessage;
      }
      if (CounterCodec.isRejection(message)) {
        client.end(call, CallOutcome.FULL, 0);
        return true;
      }
      String total = CounterCodec.totalOf(message);
      if (total == null) {
        return false;
      }
      client.end(call, CallOutcome.OK, Double.parseDouble(total));
      return true;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
      eventLoop.flushPending();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      channel = null;
      failInFlight();
      reconnect();
      eventLoop.flushPending();
    }

    /**
     * Ignores what the decoder reports after a channel's end, such as half an array: taken for the
     * next channel's, it would end that one's oldest call.
     */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (ctx.channel() != channel) {
        return;
      }
      if (!(cause instanceof IOException)) {
        eventLoop.logFailure("counter", cause);
        failMalformed();
      }
      ctx.close();
    }
  }
}
