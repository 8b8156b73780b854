package edgenode.node;

import edgenode.net.resp.Call;
import edgenode.net.resp.Resp;
import edgenode.net.upstream.ServerPool;
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
public final class Warmup implements PolicyActions {
  /**
   * A restart waits for them, and others carry the load meanwhile: on 0.15 of a core 500 rounds
   * took 1 s more for nothing that was seen; 2 rounds left the first 5 s of a day so cold that a
   * tenth timed out. Most code runs several times a round, and so to the compiler's 200 calls; real
   * requests warm the rest.
   */
  private static final int ROUNDS = 100;

  private static final int SERVERS = 8;
  private static final int CUSTOMERS = 97;
  private static final double STEP = 8;

  /** Elements, as on the real connections. */
  private static final int MOST = 16;

  private final PolicySettings settings;
  private final PolicyEvents module;
  private final EmbeddedChannel client = new EmbeddedChannel();
  private final EmbeddedChannel server = new EmbeddedChannel();
  private final Map<Long, Double> totals = new HashMap<>();
  private final PriorityQueue<Double> timers = new PriorityQueue<>();
  private final ArrayDeque<Runnable> told = new ArrayDeque<>();
  private double now = 1000;

  private Warmup(PolicySettings settings, Node.Maker maker) {
    this.settings = settings;
    Resp.codec(client.pipeline(), MOST);
    Resp.codec(server.pipeline(), MOST);
    module = maker.start(settings, 1, now, this);
    List<EndpointInfo> list = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      list.add(new EndpointInfo("w" + i, i, settings.zone(), EndpointState.UP, "", 0, 1));
    }
    module.endpointsChanged(now, list, true);
  }

  /** Cold code is no reason not to start: what goes wrong here is told and left. */
  public static void run(PolicySettings settings, Node.Maker maker) {
    try {
      Warmup warmup = new Warmup(settings, maker);
      boolean able = !settings.requestClasses().isEmpty() && !settings.plans().isEmpty();
      for (int i = 1; able && i <= ROUNDS; i++) {
        warmup.round(i);
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

  private void round(int i) {
    RequestClass type = settings.requestClasses().get(i % settings.requestClasses().size());
    QuotaPlan plan = settings.plans().get(i % settings.plans().size());
    String verb = type.idempotency() == Idempotency.IDEMPOTENT ? "CALL.GET" : "CALL.POST";
    client.writeInbound(
        bytes(
            array(
                verb,
                customer(i % CUSTOMERS),
                Integer.toHexString(i),
                "c="
                    + type.name()
                    + ",t="
                    + plan.name()
                    + ",d="
                    + Math.round(type.deadlineMs())
                    + ",k="
                    + i
                    + ",units=1,spread="
                    + Math.min(2, settings.nodeCount())
                    + ",first=0")));
    ArrayRedisMessage command = client.readInbound();
    Call call = Call.of(command, settings);
    module.requestArrived(
        now,
        new IncomingRequest(
            i,
            call.type(),
            call.plan(),
            call.customer(),
            call.patience(),
            call.units(),
            call.spread(),
            call.first(),
            call.again()));
    pass(server, call.forward(command, call.patience(), server.alloc()));
    server.writeInbound(bytes("*3\r\n$5\r\nvalue\r\n$-1\r\n$9\r\nutil=0.61\r\n"));
    ArrayRedisMessage value = server.readInbound();
    pass(client, ReferenceCountUtil.retain(value.children().get(0)));
    pass(client, new ErrorRedisMessage("BUSY 2000"));
    ReferenceCountUtil.release(value);
    ReferenceCountUtil.release(command);
    now += STEP;
    for (int n = timers.size();
        n > 0 && timers.peek() <= now;
        n--) { // a new one may be due at once
      timers.poll();
      module.timerFired(now, 0);
    }
    for (int n = told.size(); n > 0; n--) {
      told.poll().run();
    }
  }

  /** 16 hex digits, without the formatter: its locales are among the dearest classes of a start. */
  private static String customer(int number) {
    String hex = Integer.toHexString(number);
    return "0".repeat(16 - hex.length()) + hex;
  }

  private static String array(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\r\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
    }
    return text.toString();
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static void pass(EmbeddedChannel channel, Object message) {
    channel.writeOutbound(message);
    for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
      ReferenceCountUtil.release(out);
    }
  }

  @Override
  public void send(long id, String to, double until) {
    told.add(
        () -> module.attemptEnded(now, id, 0, CallOutcome.OK, STEP, true, 0, ServerPool.NO_LOAD));
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    double total = totals.merge(name, amount, Double::sum);
    told.add(() -> module.counterCallEnded(now, name, CallOutcome.OK, 1, total));
  }

  @Override
  public void setTimer(double delay, long token) {
    timers.add(now + delay);
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
