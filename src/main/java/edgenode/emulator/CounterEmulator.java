package edgenode.emulator;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.handler.codec.redis.SimpleStringRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.math.BigDecimal;
import java.math.MathContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Emulates the shared counter, from the protocol page: totals by name with a time to live, a limit
 * of calls per second with a queue before it, answers in the order of the calls. Faults: full,
 * silent, malformed answers, reset connections, a restart with no data. Runs on the caller's event
 * loop; after {@link #start} all methods are for that loop's thread.
 */
public final class CounterEmulator {
  /** How the counter behaves; scenarios name the constants. */
  public enum FaultMode {
    /** As the protocol says. */
    NORMAL,
    /** Rejects every add with BUSY. */
    FULL,
    /** Answers nothing; adds stay queued until the mode changes. */
    SILENT,
    /** Answers with text that is no total. */
    NOISE
  }

  /**
   * What the counter can do.
   *
   * @param callsPerSecond adds executed in a second, above 0
   * @param maxQueuedCalls adds that wait; more are rejected with BUSY
   * @param maxConnections one more is reset when it is opened
   */
  public record Limits(double callsPerSecond, int maxQueuedCalls, int maxConnections) {
    /** Used unless a test says otherwise. */
    public static final Limits DEFAULT = new Limits(1000, 200, 128);

    /** An edge node opens four, and four more while it migrates to another address. */
    private static final int CONNECTIONS_PER_NODE = 8;

    /** The default limits, with connections enough for so many edge nodes. */
    public static Limits forNodes(int nodeCount) {
      return new Limits(
          DEFAULT.callsPerSecond,
          DEFAULT.maxQueuedCalls,
          Math.max(DEFAULT.maxConnections, CONNECTIONS_PER_NODE * nodeCount));
    }

    /** Checks the ranges. */
    public Limits {
      if (!(callsPerSecond > 0 && maxQueuedCalls >= 0 && maxConnections > 0)) {
        throw new IllegalArgumentException("a counter's limits are out of range");
      }
    }
  }

  /** Receives each add when it is executed, on the loop's thread. */
  public interface AddListener {
    /** An amount (units) was added to a name, which now has this total. */
    void added(double nowMs, String name, double amount, double total);
  }

  private static final int MAX_COMMAND_ELEMENTS = 8;
  private static final int LISTEN_BACKLOG = 256;
  private static final int MAX_NAME_BYTES = 64;
  private static final long MAX_TTL_MS = 60_000;
  private static final double MAX_AMOUNT = 1e9;
  private static final double EXPIRY_SWEEP_MS = 1000;
  private static final Pattern AMOUNT_PATTERN = Pattern.compile("-?[0-9]{1,10}(\\.[0-9]{1,9})?");
  private static final Pattern TTL_PATTERN = Pattern.compile("[0-9]{1,12}");

  private static final class Total {
    double value;
    double expiresAtMs;
  }

  private record PendingAdd(PendingResponse response, List<String> elements) {}

  private final EdgeEventLoop loop;
  private final Limits limits;
  private final AddListener listener;
  private final Map<String, Total> totals = new HashMap<>();
  private final ArrayDeque<PendingAdd> pendingAdds = new ArrayDeque<>();
  private final Set<Connection> connections = new LinkedHashSet<>();
  private Channel serverChannel;
  private InetSocketAddress address;
  private FaultMode faultMode = FaultMode.NORMAL;
  private double nextAddAtMs;
  private boolean isAddScheduled;

  /** Creates a counter that does not listen yet; {@code loop} is the caller's. */
  public CounterEmulator(EdgeEventLoop loop, Limits limits, AddListener listener) {
    this.loop = loop;
    this.limits = limits;
    this.listener = listener;
  }

  /**
   * Listens.
   *
   * @param bindAddress port 0 for any free port, on sockets only; this waits for the bind, so it
   *     must not run on the loop's thread
   */
  public CounterEmulator start(InetSocketAddress bindAddress) throws InterruptedException {
    ChannelFuture bound =
        loop.transport()
            .newServerBootstrap(loop.group(), LISTEN_BACKLOG)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    RespCodec.addCodec(channel.pipeline(), MAX_COMMAND_ELEMENTS);
                    channel.pipeline().addLast(new Connection(channel));
                  }
                })
            .bind(loop.transport().toSocketAddress(bindAddress));
    address =
        bindAddress.getPort() == 0
            ? (InetSocketAddress) bound.sync().channel().localAddress()
            : bindAddress;
    serverChannel = bound.channel();
    loop.execute(() -> loop.schedule(EXPIRY_SWEEP_MS, this::removeExpiredTotals));
    return this;
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return address;
  }

  // ---- faults ----

  /** Changes the behaviour from now on. */
  public void setFaultMode(FaultMode newMode) {
    faultMode = newMode;
    executeNextAdd();
  }

  /** Resets all connections; calls that were in flight may have been executed. */
  public void reset() {
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.channel.config().setOption(ChannelOption.SO_LINGER, 0);
      connection.channel.close();
    }
  }

  /** Loses all totals and queued calls, and resets all connections. */
  public void restart() {
    totals.clear();
    pendingAdds.clear();
    reset();
  }

  /** Stops listening and resets all connections. */
  public void close() {
    serverChannel.close();
    reset();
  }

  // ---- calls ----

  private void removeExpiredTotals() {
    loop.schedule(EXPIRY_SWEEP_MS, this::removeExpiredTotals);
    totals.values().removeIf(total -> total.expiresAtMs <= loop.nowMs());
  }

  /** Executes the oldest add, one in each 1 / callsPerSecond. */
  private void executeNextAdd() {
    if (isAddScheduled || pendingAdds.isEmpty() || faultMode == FaultMode.SILENT) {
      return;
    }
    double waitMs = nextAddAtMs - loop.nowMs();
    if (waitMs > 0) {
      isAddScheduled = true;
      loop.schedule(
          waitMs,
          () -> {
            isAddScheduled = false;
            executeNextAdd();
          });
      return;
    }
    nextAddAtMs =
        Math.max(nextAddAtMs, loop.nowMs() - 1000 / limits.callsPerSecond)
            + 1000 / limits.callsPerSecond;
    PendingAdd pendingAdd = pendingAdds.poll();
    pendingAdd.response.answer(add(pendingAdd.elements));
    executeNextAdd();
  }

  private RedisMessage add(List<String> elements) {
    String name = elements.get(1);
    double amount = Double.parseDouble(elements.get(2));
    long ttlMs = Math.min(MAX_TTL_MS, Long.parseLong(elements.get(3)));
    Total total = totals.get(name);
    if (total == null || total.expiresAtMs <= loop.nowMs()) {
      total = new Total();
      total.expiresAtMs = loop.nowMs() + ttlMs;
      totals.put(name, total);
    }
    total.value += amount;
    listener.added(loop.nowMs(), name, amount, total.value);
    String text =
        new BigDecimal(total.value, new MathContext(12)).stripTrailingZeros().toPlainString();
    return RespCodec.bulkString(Unpooled.EMPTY_BUFFER.alloc(), text);
  }

  private static boolean isWellFormedAdd(List<String> elements) {
    return elements.size() == 4
        && !elements.get(1).isEmpty()
        && elements.get(1).getBytes(StandardCharsets.UTF_8).length <= MAX_NAME_BYTES
        && AMOUNT_PATTERN.matcher(elements.get(2)).matches()
        && Math.abs(Double.parseDouble(elements.get(2))) <= MAX_AMOUNT
        && TTL_PATTERN.matcher(elements.get(3)).matches()
        && Long.parseLong(elements.get(3)) >= 1;
  }

  /** A response's place in the order of its connection. */
  private static final class PendingResponse {
    private final Connection connection;
    private RedisMessage message;

    PendingResponse(Connection connection) {
      this.connection = connection;
    }

    void answer(RedisMessage newMessage) {
      if (!connection.channel.isActive()) {
        ReferenceCountUtil.release(newMessage);
        return;
      }
      message = newMessage;
      connection.writeReadyResponses();
    }
  }

  private final class Connection extends ChannelInboundHandlerAdapter {
    private final Channel channel;
    private final ArrayDeque<PendingResponse> pendingResponses = new ArrayDeque<>();

    Connection(Channel channel) {
      this.channel = channel;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      connections.add(this);
      if (connections.size() > limits.maxConnections) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
        ctx.close();
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      connections.remove(this);
      pendingResponses.forEach(response -> ReferenceCountUtil.release(response.message));
      pendingResponses.clear();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
      PendingResponse response = new PendingResponse(this);
      pendingResponses.add(response);
      try {
        List<String> elements = new ArrayList<>();
        if (msg instanceof ArrayRedisMessage command && !command.isNull()) {
          command.children().forEach(part -> elements.add(String.valueOf(RespCodec.textOf(part))));
        }
        handleCommand(response, elements);
      } finally {
        ReferenceCountUtil.release(msg);
      }
    }

    private void handleCommand(PendingResponse response, List<String> elements) {
      String verb = elements.isEmpty() ? "" : elements.get(0);
      if (faultMode == FaultMode.NOISE) {
        response.answer(new SimpleStringRedisMessage("noise"));
        return;
      }
      switch (verb) {
        case "PING" -> {
          if (faultMode != FaultMode.SILENT) {
            response.answer(new SimpleStringRedisMessage("PONG"));
          }
        }
        case "CLIENT", "SELECT" -> response.answer(new SimpleStringRedisMessage("OK"));
        case "CNT.ADD" -> {
          if (!isWellFormedAdd(elements)) {
            response.answer(new ErrorRedisMessage("ERR no such call"));
          } else if (faultMode == FaultMode.FULL || pendingAdds.size() >= limits.maxQueuedCalls) {
            response.answer(new ErrorRedisMessage("BUSY"));
          } else {
            pendingAdds.add(new PendingAdd(response, elements));
            executeNextAdd();
          }
        }
        default -> response.answer(new ErrorRedisMessage("ERR no such call"));
      }
    }

    private void writeReadyResponses() {
      boolean hasWritten = false;
      while (!pendingResponses.isEmpty() && pendingResponses.peek().message != null) {
        channel.write(pendingResponses.poll().message);
        hasWritten = true;
      }
      if (hasWritten) {
        channel.flush();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
