package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/**
 * Emulates discovery and its agents, from the protocol page: the endpoint list, its versions and
 * watches. Changes reach the agents after a lag. Faults: silence, streams that stall at a byte, an
 * empty first list, lost state. Runs on the caller's event loop; all methods are for that loop's
 * thread.
 */
public final class DiscoveryEmulator {
  /** Receives each change once it has been written to every open watch. */
  public interface ChangeListener {
    /** This entry changed; {@code nowMs} is the loop's clock. */
    void changeSent(double nowMs, DiscoveryAgentEmulator.Host host);
  }

  private static final int LISTEN_BACKLOG = 128;
  private static final double HEARTBEAT_MS = 2000;

  /** Changes stored for watches that resume; from an older version they get the full list. */
  private static final int MAX_CHANGES = 4096;

  private record Change(long seq, DiscoveryAgentEmulator.Host host) {}

  private final EdgeEventLoop loop;
  private final ChangeListener changeListener;
  private final Map<String, DiscoveryAgentEmulator.Host> hosts = new LinkedHashMap<>();
  private final ArrayDeque<Change> changes = new ArrayDeque<>();
  private final Set<Connection> connections = new LinkedHashSet<>();
  private Channel listener;
  private long seq;
  private double lagMs;
  private boolean isSilent;

  /** Changes made while silent, not yet reported to the listener. */
  private final List<DiscoveryAgentEmulator.Host> unsentChanges = new ArrayList<>();

  private int emptyListsLeft;
  private long nextStallAfterBytes = -1;

  /** Creates an empty list at version {@code seq}; {@code loop} is the caller's. */
  public DiscoveryEmulator(EdgeEventLoop loop, long seq, ChangeListener changeListener) {
    this.loop = loop;
    this.seq = seq;
    this.changeListener = changeListener;
  }

  /** Listens at this address; does not wait for the bind. */
  public DiscoveryEmulator start(InetSocketAddress bindAddress) throws InterruptedException {
    ServerBootstrap bootstrap =
        loop.transport()
            .newServerBootstrap(loop.group(), LISTEN_BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    Connection connection = new Connection(channel);
                    channel
                        .pipeline()
                        .addLast(connection.byteLimiter, new HttpServerCodec(), connection);
                  }
                });
    bootstrap
        .bind(loop.transport().toSocketAddress(bindAddress))
        .addListener(
            (io.netty.channel.ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                listener = bound.channel();
              } else {
                loop.logLine(
                    "emulated discovery cannot listen at "
                        + bindAddress
                        + ": "
                        + bound.cause().getMessage());
              }
            });
    return this;
  }

  /** The current version of the list. */
  public long seq() {
    return seq;
  }

  // ---- the list ----

  /** Changes an entry; agents see it after the lag. Health: active, leaving or left. */
  public void set(DiscoveryAgentEmulator.Host host) {
    if (lagMs > 0) {
      loop.schedule(lagMs, () -> apply(host));
    } else {
      apply(host);
    }
  }

  private void apply(DiscoveryAgentEmulator.Host host) {
    seq++;
    if (host.health().equals("left")) {
      hosts.remove(host.id());
    } else {
      hosts.put(host.id(), host);
    }
    changes.add(new Change(seq, host));
    if (changes.size() > MAX_CHANGES) {
      changes.poll();
    }
    connections.forEach(Connection::sendChanges);
    if (isSilent) {
      unsentChanges.add(host);
    } else {
      changeListener.changeSent(loop.nowMs(), host);
    }
  }

  // ---- faults ----

  /** From now on agents see a change so much later (ms). */
  public void setLag(double newLagMs) {
    lagMs = newLagMs;
  }

  /** Sends nothing while on; what is due is sent when it ends. */
  public void setSilent(boolean on) {
    isSilent = on;
    if (!on) {
      for (Connection connection : connections.toArray(new Connection[0])) {
        connection.sendDeferred();
      }
      unsentChanges.forEach(host -> changeListener.changeSent(loop.nowMs(), host));
      unsentChanges.clear();
    }
  }

  /** The next full lists, so many, are empty. */
  public void serveEmptyLists(int lists) {
    emptyListsLeft = lists;
  }

  /** Open watches send so many bytes more and then nothing, but stay open. */
  public void stallWatches(long bytes) {
    for (Connection connection : connections) {
      if (connection.watchedSeq >= 0) {
        connection.byteLimiter.remainingBytes = bytes;
      }
    }
  }

  /** The response on the next connection stalls after so many bytes. */
  public void stallNextConnection(long bytes) {
    nextStallAfterBytes = bytes;
  }

  /** Loses its state: versions start again from here, with this list. */
  public void restart(long firstSeq, List<DiscoveryAgentEmulator.Host> list) {
    seq = firstSeq;
    hosts.clear();
    changes.clear();
    list.forEach(host -> hosts.put(host.id(), host));
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.channel.close();
    }
  }

  /** Stops listening and closes all connections. */
  public void close() {
    if (listener != null) {
      listener.close();
    }
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.channel.close();
    }
  }

  // ---- connections ----

  private String fullListJson() {
    boolean empty = emptyListsLeft > 0;
    emptyListsLeft -= empty ? 1 : 0;
    StringJoiner json =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[", "]}\n");
    if (!empty) {
      hosts.values().forEach(host -> json.add(host.json()));
    }
    return json.toString();
  }

  private String changesSinceJson(long version) {
    if (version > seq || changes.isEmpty() || changes.peek().seq > version + 1) {
      return fullListJson();
    }
    Map<String, DiscoveryAgentEmulator.Host> latestById = new LinkedHashMap<>();
    for (Change change : changes) {
      if (change.seq > version) {
        latestById.put(change.host.id(), change.host);
      }
    }
    StringJoiner json =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[", "]}\n");
    latestById.values().forEach(host -> json.add(host.json()));
    return json.toString();
  }

  private static ByteBuf asciiBuffer(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  /** Lets so many bytes pass and drops the rest. */
  private static final class ByteLimiter extends ChannelOutboundHandlerAdapter {
    private long remainingBytes = Long.MAX_VALUE;

    @Override
    public void write(ChannelHandlerContext ctx, Object msg, ChannelPromise promise) {
      ByteBuf out = (ByteBuf) msg;
      int length = out.readableBytes();
      if (length <= remainingBytes) {
        remainingBytes -= remainingBytes == Long.MAX_VALUE ? 0 : length;
        ctx.write(out, promise);
      } else {
        ctx.write(out.readRetainedSlice((int) remainingBytes), promise);
        out.release();
        remainingBytes = 0;
      }
    }
  }

  private final class Connection extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private final ByteLimiter byteLimiter = new ByteLimiter();

    /** The version that its watch has; -1 on a connection without a watch. */
    private long watchedSeq = -1;

    private Runnable deferredAnswer;

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(this);
      if (nextStallAfterBytes >= 0) {
        byteLimiter.remainingBytes = nextStallAfterBytes;
        nextStallAfterBytes = -1;
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject msg) {
      if (!(msg instanceof HttpRequest request)) {
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (!query.path().equals("/catalog/members")) {
        channel.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND));
        return;
      }
      List<String> since = query.parameters().get("since");
      boolean follow =
          query.parameters().containsKey("follow")
              && since != null
              && since.get(0).matches("[0-9]{1,18}");
      Runnable answer = follow ? () -> startWatch(Long.parseLong(since.get(0))) : this::sendList;
      if (isSilent) {
        deferredAnswer = answer;
      } else {
        answer.run();
      }
    }

    private void sendList() {
      ByteBuf text = asciiBuffer(fullListJson());
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, text);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.readableBytes());
      channel.writeAndFlush(response);
    }

    private void startWatch(long version) {
      DefaultHttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      channel.write(head);
      sendChunk(version == seq ? "\n" : changesSinceJson(version));
      watchedSeq = seq;
      scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
      long seqBefore = watchedSeq;
      loop.schedule(
          HEARTBEAT_MS,
          () -> {
            if (channel.isActive()) {
              if (!isSilent && watchedSeq == seqBefore) {
                sendChunk("\n");
              }
              scheduleHeartbeat();
            }
          });
    }

    private void sendChunk(String text) {
      channel.writeAndFlush(new DefaultHttpContent(asciiBuffer(text)));
    }

    /** The list has changed. */
    private void sendChanges() {
      if (watchedSeq >= 0 && !isSilent) {
        sendChunk(changesSinceJson(watchedSeq));
        watchedSeq = seq;
      }
    }

    private void sendDeferred() {
      if (deferredAnswer != null) {
        deferredAnswer.run();
        deferredAnswer = null;
      } else if (watchedSeq >= 0 && watchedSeq != seq) {
        sendChanges();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
