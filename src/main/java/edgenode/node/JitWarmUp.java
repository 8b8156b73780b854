package edgenode.node;

import edgenode.net.resp.RequestCommand;
import edgenode.net.resp.RespCodec;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.Idempotency;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.QuotaPlan;
import edgenode.policy.RequestClass;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Runs the code of the ordinary path before the edge node is ready, so that the JVM has compiled
 * it: on part of a core the first seconds of cold code make answers late. A module of its own, no
 * sockets, a own clock.
 */
public final class JitWarmUp implements PolicyActions {
  /**
   * A restart waits for them, and others carry the load meanwhile: on 0.15 of a core 500 rounds
   * took 1 s more for nothing that was seen; 2 rounds left the first 5 s of a day so cold that a
   * tenth timed out. Most code runs several times a round, and so to the compiler's 200 calls; real
   * requests warm the rest.
   */
  private static final int ROUNDS = 100;

  private static final int ENDPOINTS = 8;
  private static final int CUSTOMERS = 97;
  private static final double ROUND_MS = 8;

  /** Elements, as on the real connections. */
  private static final int MAX_ARRAY_ELEMENTS = 16;

  private final PolicySettings settings;
  private final PolicyEvents policy;
  private final EmbeddedChannel client = new EmbeddedChannel();
  private final EmbeddedChannel server = new EmbeddedChannel();
  private final Map<Long, Double> totals = new HashMap<>();
  private final PriorityQueue<Double> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
  private double nowMs = 1000;

  private JitWarmUp(PolicySettings settings, EdgeNode.PolicyFactory policyFactory) {
    this.settings = settings;
    RespCodec.addCodec(client.pipeline(), MAX_ARRAY_ELEMENTS);
    RespCodec.addCodec(server.pipeline(), MAX_ARRAY_ELEMENTS);
    policy = policyFactory.create(settings, 1, nowMs, this);
    List<EndpointInfo> list = new ArrayList<>();
    for (int i = 0; i < ENDPOINTS; i++) {
      list.add(new EndpointInfo("w" + i, i, settings.zone(), EndpointState.UP, "", 0, 1));
    }
    policy.endpointsChanged(nowMs, list, true);
  }

  /** Cold code is no reason not to start: what goes wrong here is told and left. */
  public static void run(PolicySettings settings, EdgeNode.PolicyFactory policyFactory) {
    try {
      JitWarmUp warmup = new JitWarmUp(settings, policyFactory);
      boolean isConfigured = !settings.requestClasses().isEmpty() && !settings.plans().isEmpty();
      for (int i = 1; isConfigured && i <= ROUNDS; i++) {
        warmup.runRound(i);
      }
      warmup.close();
    } catch (RuntimeException e) {
      System.err.println("warm-up: " + e);
    }
  }

  private void close() {
    client.finishAndReleaseAll();
    server.finishAndReleaseAll();
  }

  private void runRound(int round) {
    RequestClass type = settings.requestClasses().get(round % settings.requestClasses().size());
    QuotaPlan plan = settings.plans().get(round % settings.plans().size());
    String verb = type.idempotency() == Idempotency.IDEMPOTENT ? "CALL.GET" : "CALL.POST";
    client.writeInbound(
        ascii(
            command(
                verb,
                customer(round % CUSTOMERS),
                Integer.toHexString(round),
                "c="
                    + type.name()
                    + ",t="
                    + plan.name()
                    + ",d="
                    + Math.round(type.deadlineMs())
                    + ",k="
                    + round
                    + ",units=1,spread="
                    + Math.min(2, settings.nodeCount())
                    + ",first=0")));
    ArrayRedisMessage command = client.readInbound();
    RequestCommand call = RequestCommand.parse(command, settings);
    policy.requestArrived(
        nowMs,
        new IncomingRequest(
            round,
            call.className(),
            call.planName(),
            call.customer(),
            call.remainingMs(),
            call.units(),
            call.nodeSpread(),
            call.firstNode(),
            call.isClientRetry()));
    encode(server, call.forwardedCommand(command, call.remainingMs(), server.alloc()));
    server.writeInbound(ascii("*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\nutil=0.61\r\n"));
    ArrayRedisMessage value = server.readInbound();
    encode(client, ReferenceCountUtil.retain(value.children().get(0)));
    encode(client, new ErrorRedisMessage("BUSY 2000"));
    ReferenceCountUtil.release(value);
    ReferenceCountUtil.release(command);
    nowMs += ROUND_MS;
    for (int n = timers.size();
        n > 0 && timers.peek() <= nowMs;
        n--) { // a new one may be due at once
      timers.poll();
      policy.timerFired(nowMs, 0);
    }
    for (int n = pendingEvents.size(); n > 0; n--) {
      pendingEvents.poll().run();
    }
  }

  /** 16 hex digits, without the formatter: its locales are among the dearest classes of a start. */
  private static String customer(int number) {
    String hex = Integer.toHexString(number);
    return "0".repeat(16 - hex.length()) + hex;
  }

  private static String command(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  private static ByteBuf ascii(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static void encode(EmbeddedChannel channel, Object message) {
    channel.writeOutbound(message);
    for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
      ReferenceCountUtil.release(out);
    }
  }

  @Override
  public void send(long id, String to, double until) {
    pendingEvents.add(
        () ->
            policy.attemptEnded(
                nowMs,
                id,
                0,
                CallOutcome.OK,
                ROUND_MS,
                true,
                0,
                UpstreamConnectionPool.NO_LOAD_REPORT));
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    double total = totals.merge(name, amount, Double::sum);
    pendingEvents.add(() -> policy.counterCallEnded(nowMs, name, CallOutcome.OK, 1, total));
  }

  @Override
  public void setTimer(double delay, long token) {
    timers.add(nowMs + delay);
  }

  @Override
  public void cancel(long id, int attempt) {}

  @Override
  public void reject(long id, double retryAfter) {}

  @Override
  public void fail(long id) {}

  @Override
  public void checkHealth(String to) {}

  @Override
  public void subscribe() {}
}
