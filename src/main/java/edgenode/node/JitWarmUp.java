package edgenode.node;

import edgenode.net.resp.RequestCommand;
import edgenode.net.resp.RespCodec;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.AttemptResult;
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
 * Runs the code of ordinary requests before the node is ready, so that the JVM has compiled it: on
 * part of a core, interpreted code makes the responses of the first seconds late. Has a policy and
 * a clock of its own, and no sockets.
 */
public final class JitWarmUp implements PolicyActions {
  /**
   * Most code runs several times a round, and so reaches the compiler's threshold of 200 calls.
   * More rounds delay the start; requests warm up the rest.
   */
  private static final int ROUNDS = 100;

  private static final int ENDPOINTS = 8;
  private static final int CUSTOMERS = 97;
  private static final double ROUND_MS = 8;
  private static final int CUSTOMER_DIGITS = 16;

  /** Of one message, as on real connections. */
  private static final int MAX_ARRAY_ELEMENTS = 16;

  private final PolicySettings settings;
  private final PolicyEvents policy;
  private final EmbeddedChannel client = new EmbeddedChannel();
  private final EmbeddedChannel server = new EmbeddedChannel();
  private final Map<Long, Double> totals = new HashMap<>();
  private final PriorityQueue<Double> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> pendingEvents = new ArrayDeque<>();
  private double nowMs = 1000;

  private JitWarmUp(PolicySettings settings, PolicyFactory policyFactory) {
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

  /**
   * Warms up. A failure is logged and does not prevent the start.
   *
   * @param settings with which the node starts
   * @param policyFactory creates a policy for the warm-up alone
   */
  public static void run(PolicySettings settings, PolicyFactory policyFactory) {
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
    client.writeInbound(ascii(requestText(round)));
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
    // Only as many as there are now: a new timer may be due at once.
    for (int n = timers.size(); n > 0 && timers.peek() <= nowMs; n--) {
      timers.poll();
      policy.timerFired(nowMs, 0);
    }
    for (int n = pendingEvents.size(); n > 0; n--) {
      pendingEvents.poll().run();
    }
  }

  private String requestText(int round) {
    RequestClass requestClass =
        settings.requestClasses().get(round % settings.requestClasses().size());
    QuotaPlan plan = settings.plans().get(round % settings.plans().size());
    String verb = requestClass.idempotency() == Idempotency.IDEMPOTENT ? "CALL.GET" : "CALL.POST";
    String fields =
        "c="
            + requestClass.name()
            + ",t="
            + plan.name()
            + ",d="
            + Math.round(requestClass.deadlineMs())
            + ",k="
            + round
            + ",units=1,spread="
            + Math.min(2, settings.nodeCount())
            + ",first=0";
    return command(verb, customer(round % CUSTOMERS), Integer.toHexString(round), fields);
  }

  /** Written without {@code String.format}, whose locales are expensive to load at a start. */
  private static String customer(int number) {
    String hex = Integer.toHexString(number);
    return "0".repeat(CUSTOMER_DIGITS - hex.length()) + hex;
  }

  private static String command(String... elements) {
    StringBuilder text = new StringBuilder("*" + elements.length + "\r\n");
    for (String element : elements) {
      text.append('$').append(element.length()).append("\r\n").append(element).append("\r\n");
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
  public void send(long requestId, String endpointId, double untilMs) {
    pendingEvents.add(
        () ->
            policy.attemptEnded(
                nowMs,
                requestId,
                0,
                new AttemptResult(
                    CallOutcome.OK, ROUND_MS, 0, UpstreamConnectionPool.NO_LOAD_REPORT),
                true));
  }

  @Override
  public void addToCounter(long name, double amount, double keepMs) {
    double total = totals.merge(name, amount, Double::sum);
    pendingEvents.add(() -> policy.counterCallEnded(nowMs, name, CallOutcome.OK, 1, total));
  }

  @Override
  public void setTimer(double delayMs, long token) {
    timers.add(nowMs + delayMs);
  }

  @Override
  public void cancel(long requestId, int attempt) {}

  @Override
  public void reject(long requestId, double retryAfterMs) {}

  @Override
  public void fail(long requestId) {}

  @Override
  public void checkHealth(String endpointId) {}

  @Override
  public void subscribe() {}
}
