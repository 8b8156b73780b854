package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

/**
 * Emulates an app server, from the protocol page: its {@link CapacityModel}, duplicates dropped in
 * its {@link IdempotencyGroupModel}, load reports that are late and noisy, a bound of connections,
 * an idle timeout. Faults: crash and cold restart, silence, lost cores, malformed answers, a socket
 * that is not read. Runs on the caller's event loop; after {@link #start} all methods are for that
 * loop's thread.
 */
public final class AppServerEmulator {
  /** How the server behaves; scenarios name the constants. */
  public enum FaultMode {
    /** As the protocol says. */
    NORMAL,
    /** Runs what it receives and never answers. */
    SILENT,
    /** Does not read its connections. */
    DEAF,
    /** Answers with bytes that are no valid response, then closes. */
    NOISE,
    /** Answers an error to everything that it has run. */
    FAILING,
    /** Completes what it has, rejects new calls. */
    DRAINING
  }

  /**
   * Connection limits and the quality of load reports.
   *
   * @param maxConnections one more is closed when it is opened
   * @param idleTimeoutMs after which a connection without open commands is closed
   * @param loadReportIntervalMs how old a load report may be
   * @param loadReportNoise largest relative error (0 to 1) of a report's figures
   */
  public record ConnectionOptions(
      int maxConnections,
      double idleTimeoutMs,
      double loadReportIntervalMs,
      double loadReportNoise) {
    /** What an app server does unless a test says otherwise. */
    public static final ConnectionOptions DEFAULT = new ConnectionOptions(64, 15_000, 200, 0.1);
  }

  private static final int MAX_COMMAND_ELEMENTS = 8;
  private static final int LISTEN_BACKLOG = 256;
  private static final double IDLE_SWEEP_MS = 500;

  private final EdgeEventLoop loop;
  private final String id;
  private final IdempotencyGroupModel idempotencyGroup;
  private final CapacityModel.Size size;
  private final ConnectionOptions options;
  private final AppServerListener listener;
  private final Random random;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private InetSocketAddress address;
  private Channel serverChannel;
  private CapacityModel capacity;
  private FaultMode faultMode = FaultMode.NORMAL;
  private double startedAtMs;
  private Future<?> completionTimer;
  private double completionTimerAtMs = Double.POSITIVE_INFINITY;
  private String loadReport = "";
  private double loadReportAtMs = Double.NEGATIVE_INFINITY;
  private long incarnation;

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop owned by the caller; times come from its clock
   * @param id as the endpoint list names it
   * @param listener receives what passes on the sockets
   * @param seed of the work of the jobs and the noise of the reports
   */
  public AppServerEmulator(
      EdgeEventLoop loop,
      String id,
      IdempotencyGroupModel idempotencyGroup,
      CapacityModel.Size size,
      ConnectionOptions options,
      AppServerListener listener,
      long seed) {
    this.loop = loop;
    this.id = id;
    this.idempotencyGroup = idempotencyGroup;
    this.size = size;
    this.options = options;
    this.listener = listener;
    random = new Random(seed);
  }

  /**
   * Starts fully warmed up and listens.
   *
   * @param bindAddress port 0 for any free port, on sockets only; this waits for the bind, so it
   *     must not run on the loop's thread
   */
  public AppServerEmulator start(InetSocketAddress bindAddress) throws InterruptedException {
    capacity = new CapacityModel(size, random.nextLong(), loop.nowMs(), Double.NEGATIVE_INFINITY);
    address = bindAddress;
    ChannelFuture bound = bind(bindAddress);
    if (bindAddress.getPort() == 0) {
      address = (InetSocketAddress) bound.sync().channel().localAddress();
    }
    serverChannel = bound.channel();
    loop.execute(() -> loop.schedule(IDLE_SWEEP_MS, this::closeIdleConnections));
    return this;
  }

  private ChannelFuture bind(InetSocketAddress bindAddress) {
    return loop.transport()
        .newServerBootstrap(loop.group(), LISTEN_BACKLOG)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                Connection connection = new Connection(channel);
                channel.pipeline().addLast(connection.firstByteHandler);
                RespCodec.addCodec(channel.pipeline(), MAX_COMMAND_ELEMENTS);
                channel.pipeline().addLast(connection);
              }
            })
        .bind(loop.transport().toSocketAddress(bindAddress));
  }

  /** The server's id in the endpoint list. */
  public String id() {
    return id;
  }

  /** Where it listens, or did before a crash. */
  public InetSocketAddress address() {
    return address;
  }

  /** Its entry in the endpoint list, with this health (active, leaving or left). */
  public DiscoveryAgentEmulator.Host entry(String health) {
    return new DiscoveryAgentEmulator.Host(
        id,
        address.getAddress().getHostAddress() + ":" + address.getPort(),
        health,
        startedAtMs,
        idempotencyGroup.site(),
        idempotencyGroup.block());
  }

  /** The group in which duplicates of its keyed requests are known. */
  public IdempotencyGroupModel idempotencyGroup() {
    return idempotencyGroup;
  }

  // ---- faults ----

  /** Changes the behaviour from now on, on open connections too. */
  public void setFaultMode(FaultMode newMode) {
    faultMode = newMode;
    for (Connection connection : connections) {
      connection.channel.config().setAutoRead(newMode != FaultMode.DEAF);
    }
  }

  /** A noisy neighbour takes this share of the cores from now on: 0 to below 1. */
  public void setNeighbourShare(double share) {
    capacity.setNeighbourShare(loop.nowMs(), share);
    scheduleCompletion();
  }

  /**
   * The process crashes: connections are reset, new ones are refused. Jobs that were running may
   * have had their effect.
   */
  public void crash() {
    incarnation++;
    serverChannel.close();
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
      connection.channel.close();
    }
    capacity = new CapacityModel(size, random.nextLong(), loop.nowMs(), loop.nowMs());
    completionTimerAtMs = Double.POSITIVE_INFINITY;
  }

  /** The process starts again, cold, at its former address or another. */
  public void restart(InetSocketAddress bindAddress) {
    startedAtMs = loop.nowMs();
    faultMode = FaultMode.NORMAL;
    capacity = new CapacityModel(size, random.nextLong(), startedAtMs, startedAtMs);
    address = bindAddress;
    bind(bindAddress)
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                serverChannel = bound.channel();
              } else {
                loop.logLine(
                    "emulated app server "
                        + id
                        + " cannot listen at "
                        + bindAddress
                        + ": "
                        + bound.cause().getMessage());
              }
            });
  }

  // ---- work ----

  private void closeIdleConnections() {
    loop.schedule(IDLE_SWEEP_MS, this::closeIdleConnections);
    for (Connection connection : connections.toArray(new Connection[0])) {
      if (connection.pendingCommands.isEmpty()
          && loop.nowMs() - connection.lastUsedAtMs > options.idleTimeoutMs) {
        connection.channel.close();
      }
    }
  }

  /** Keeps one timer, for the job that completes next. */
  private void scheduleCompletion() {
    double completionAtMs = capacity.nextCompletionMs();
    if (completionAtMs >= completionTimerAtMs) {
      return;
    }
    if (completionTimer != null) {
      completionTimer.cancel(false);
    }
    completionTimerAtMs = completionAtMs;
    long scheduledIncarnation = incarnation;
    completionTimer =
        loop.schedule(
            Math.max(0, completionAtMs - loop.nowMs()),
            () -> {
              if (scheduledIncarnation == incarnation) {
                completionTimerAtMs = Double.POSITIVE_INFINITY;
                answerCompletedJobs();
              }
            });
  }

  private void answerCompletedJobs() {
    for (CapacityModel.Job job : capacity.takeCompleted(loop.nowMs())) {
      PendingCommand call = (PendingCommand) job.context;
      if (faultMode == FaultMode.FAILING) {
        call.answer("ERR", new ErrorRedisMessage("ERR failed"));
      } else {
        call.answer("value", callResponse(call));
      }
    }
    scheduleCompletion();
  }

  private RedisMessage callResponse(PendingCommand call) {
    List<RedisMessage> parts = new ArrayList<>(3);
    Channel channel = call.connection.channel;
    parts.add(RespCodec.bulkString(channel.alloc(), "ok " + call.requestId + " by " + id));
    parts.add(FullBulkStringRedisMessage.NULL_INSTANCE);
    parts.add(RespCodec.bulkString(channel.alloc(), loadReport()));
    return new ArrayRedisMessage(parts);
  }

  /** As late and as noisy as the options allow: real reports are. */
  private String loadReport() {
    if (loop.nowMs() - loadReportAtMs >= options.loadReportIntervalMs) {
      loadReportAtMs = loop.nowMs();
      loadReport =
          "inflight="
              + withNoise(capacity.runningCount())
              + ",queue="
              + withNoise(capacity.waitingCount())
              + ",util="
              + withNoise(100 * capacity.utilization()) / 100.0;
    }
    return loadReport;
  }

  private long withNoise(double figure) {
    return Math.max(
        0, Math.round(figure * (1 + options.loadReportNoise * (2 * random.nextDouble() - 1))));
  }

  /** A command until its response is written; responses go in the order of the commands. */
  private final class PendingCommand {
    private final Connection connection;
    private final String requestId;
    private final long receivedIncarnation = incarnation;
    private RedisMessage response;

    PendingCommand(Connection connection, String requestId) {
      this.connection = connection;
      this.requestId = requestId;
    }

    void answer(String kind, RedisMessage newResponse) {
      if (receivedIncarnation != incarnation
          || faultMode == FaultMode.SILENT
          || !connection.channel.isActive()) {
        ReferenceCountUtil.release(newResponse);
        return;
      }
      if (requestId != null) {
        listener.responseSent(loop.nowMs(), id, requestId, kind);
      }
      response = newResponse;
      connection.writeReadyResponses();
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<PendingCommand> pendingCommands = new ArrayDeque<>();
    private final FirstByteHandler firstByteHandler = new FirstByteHandler();
    private double lastUsedAtMs = loop.nowMs();

    Connection(Channel channel) {
      this.channel = channel;
    }

    /** Stands before the codec and notices the first byte of a command. */
    private final class FirstByteHandler extends ChannelInboundHandlerAdapter {
      private boolean hasSeenFirstByte;

      @Override
      public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (!hasSeenFirstByte && ((ByteBuf) msg).isReadable()) {
          hasSeenFirstByte = true;
          listener.firstByteReceived(loop.nowMs(), id);
        }
        ctx.fireChannelRead(msg);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      if (connections.size() >= options.maxConnections) {
        ctx.close();
        return;
      }
      connections.add(this);
      channel.config().setAutoRead(faultMode != FaultMode.DEAF);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      pendingCommands.forEach(pending -> ReferenceCountUtil.release(pending.response));
      pendingCommands.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      firstByteHandler.hasSeenFirstByte = false;
      lastUsedAtMs = loop.nowMs();
      try {
        if (msg instanceof ArrayRedisMessage command
            && !command.isNull()
            && !command.children().isEmpty()) {
          List<String> elements = new ArrayList<>();
          command.children().forEach(part -> elements.add(String.valueOf(RespCodec.textOf(part))));
          handleCommand(elements);
        } else {
          listener.malformedCommand(loop.nowMs(), id, "no command");
          ctx.close();
        }
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void handleCommand(List<String> elements) {
      String verb = elements.get(0);
      if (faultMode == FaultMode.NOISE) {
        channel
            .writeAndFlush(RespCodec.bulkString(channel.alloc(), "\u0001noise"))
            .addListener(f -> channel.close());
        return;
      }
      if (verb.equals("CALL.GET") || verb.equals("CALL.POST")) {
        handleCall(elements);
        return;
      }
      PendingCommand pending = new PendingCommand(this, null);
      pendingCommands.add(pending);
      switch (verb) {
        case "PING" -> pending.answer("", new SimpleStringRedisMessage("PONG"));
        case "INFO" -> pending.answer("", RespCodec.bulkString(channel.alloc(), loadReport()));
        case "CLIENT", "SELECT" -> pending.answer("", new SimpleStringRedisMessage("OK"));
        default -> pending.answer("", new ErrorRedisMessage("ERR unknown command"));
      }
    }

    private void handleCall(List<String> elements) {
      if (elements.size() < 4 || elements.size() > 5) {
        listener.malformedCommand(loop.nowMs(), id, String.join(" ", elements));
        PendingCommand pending = new PendingCommand(this, null);
        pendingCommands.add(pending);
        pending.answer("", new ErrorRedisMessage("SYNTAX"));
        return;
      }
      String customer = elements.get(1);
      String key = parameter(elements.get(3), "k");
      PendingCommand pending = new PendingCommand(this, elements.get(2));
      pendingCommands.add(pending);
      boolean isDraining = faultMode == FaultMode.DRAINING;
      CapacityModel.Job job = isDraining ? null : capacity.offer(loop.nowMs(), pending);
      boolean isDuplicate =
          job != null
              && key != null
              && idempotencyGroup.startOrFindDuplicate(loop.nowMs(), customer, key);
      listener.commandReceived(
          loop.nowMs(),
          id,
          new AppServerListener.ReceivedCommand(
              elements.get(0),
              customer,
              elements.get(2),
              elements.get(3),
              key,
              job != null && !isDuplicate));
      if (job == null) {
        pending.answer("BUSY", new ErrorRedisMessage("BUSY"));
      }
      scheduleCompletion();
    }

    private void writeReadyResponses() {
      boolean hasWritten = false;
      while (!pendingCommands.isEmpty() && pendingCommands.peek().response != null) {
        channel.write(pendingCommands.poll().response);
        hasWritten = true;
      }
      if (hasWritten) {
        lastUsedAtMs = loop.nowMs();
        channel.flush();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      if (!(cause instanceof java.io.IOException)) {
        listener.malformedCommand(loop.nowMs(), id, String.valueOf(cause.getMessage()));
      }
      ctx.close();
    }
  }

  /** The value of a name in a list {@code a=1,b=2}; null where it is absent. */
  public static String parameter(String parameters, String name) {
    for (String pair : parameters.split(",")) {
      if (pair.startsWith(name)
          && pair.length() > name.length()
          && pair.charAt(name.length()) == '=') {
        return pair.substring(name.length() + 1);
      }
    }
    return null;
  }
}
