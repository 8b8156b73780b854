package edgenode.node;

import edgenode.ledger.RequestLedger.ClassCounters;
import edgenode.ledger.RequestLedger.RequestOutcome;
import edgenode.net.downstream.OpenRequest;
import edgenode.net.downstream.ResponseSlot;
import edgenode.net.resp.RequestCommand;
import edgenode.net.resp.RespCodec;
import edgenode.net.upstream.UpstreamAttempt;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.net.upstream.UpstreamRequest;
import edgenode.net.upstream.ValueSink;
import edgenode.net.upstream.ValueSource;
import edgenode.policy.CallOutcome;
import edgenode.policy.IncomingRequest;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;

/**
 * A client's request, from the last byte of its command to the end of its last attempt. It owns the
 * command, and gives exactly one response. On the event loop only.
 */
final class PendingRequest implements OpenRequest, UpstreamRequest {
  /**
   * Time (ms) for the policy to decide after the deadline; without a decision the request fails.
   */
  private static final double POLICY_GRACE_MS = 8;

  /**
   * Part of its time that a request may wait until its response can be buffered. A later rejection
   * would leave its client too little time to ask elsewhere.
   */
  private static final double MAX_START_DELAY_SHARE = 0.5;

  private final RequestTable table;
  private final long id;
  private final ResponseSlot slot;
  private final ArrayRedisMessage command;
  private final RequestCommand call;
  private final int sizeBytes;
  private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
  private final ClassCounters counters;

  /** When the client stops waiting (ms), or the process may be killed. */
  private double deadlineMs;

  /** The client has its response, or needs none. */
  private boolean isFinished;

  /** It is the first request of its idempotency key; duplicates get its response. */
  private boolean isKeyLeader;

  /** Its client has disconnected; it goes on for the duplicates that wait for its response. */
  private boolean hasNoClient;

  /** Its client has disconnected, and nobody waits for its response. */
  private boolean isAbandoned;

  private int attemptsInFlight;

  /** Attempts that were written and may have run. */
  private int attemptsWritten;

  /** When the first of the written attempts was requested (ms). */
  private double firstWrittenAtMs = Double.POSITIVE_INFINITY;

  private Future<?> timer;

  /**
   * @param command retained for the life of the request
   * @param deadlineMs when the client stops waiting (ms)
   */
  PendingRequest(
      RequestTable table,
      long id,
      ResponseSlot slot,
      ArrayRedisMessage command,
      RequestCommand call,
      double deadlineMs) {
    this.table = table;
    this.id = id;
    this.slot = slot;
    this.command = command;
    this.call = call;
    this.deadlineMs = deadlineMs;
    command.retain();
    counters = table.countersFor(call);
    int totalBytes = 0;
    for (RedisMessage element : command.children()) {
      totalBytes += ((FullBulkStringRedisMessage) element).content().readableBytes();
    }
    sizeBytes = totalBytes;
  }

  /** The node's own number. */
  long id() {
    return id;
  }

  /** The id that the client gave. */
  String clientRequestId() {
    return call.requestId();
  }

  int sizeBytes() {
    return sizeBytes;
  }

  boolean isFinished() {
    return isFinished;
  }

  // ---- arrival ----

  /**
   * Starts the request, which is in the table by now.
   *
   * @param budgetMs time (ms) until its deadline
   */
  void open(boolean isLeader, double budgetMs) {
    isKeyLeader = isLeader;
    slot.setOpenRequest(this);
    counters.requestAccepted();
    scheduleDeadline(budgetMs);
    if (isLeader) {
      table.duplicates.whenKeyPersisted(id, this::startWhenBufferFree);
    } else {
      startWhenBufferFree();
    }
  }

  /** A request waits while its client has not read the responses before it. */
  private void startWhenBufferFree() {
    if (!isFinished && !slot.startWhenBufferFree(this::notifyArrival)) {
      double maxWaitMs = MAX_START_DELAY_SHARE * (deadlineMs - table.loop.nowMs());
      table.loop.schedule(maxWaitMs, this::rejectIfUnstarted);
    }
  }

  private void rejectIfUnstarted() {
    if (slot.isUnstarted()) {
      reject(0);
    }
  }

  private void scheduleDeadline(double budgetMs) {
    timer = table.loop.schedule(budgetMs + 1, this::deadlineReached);
  }

  /** Hands the request to the policy, unless its client has disconnected meanwhile. */
  private void notifyArrival() {
    if (isFinished) {
      return;
    }
    double nowMs = table.loop.nowMs();
    IncomingRequest incoming =
        new IncomingRequest(
            id,
            call.className(),
            call.planName(),
            call.customer(),
            Math.max(1, deadlineMs - nowMs),
            call.units(),
            call.nodeSpread(),
            call.firstNode(),
            call.isClientRetry());
    if (!table.policy.requestArrived(nowMs, incoming)) {
      failWithoutDecision();
    }
  }

  // ---- deadline ----

  /** A client may wait for longer than the process lives: it is answered before the kill. */
  void limitDeadline(double killDeadlineMs) {
    if (!isFinished && deadlineMs > killDeadlineMs) {
      timer.cancel(false);
      deadlineMs = killDeadlineMs;
      scheduleDeadline(killDeadlineMs - table.loop.nowMs());
    }
  }

  /** Attempts in flight have timed out; the policy may still decide what the response is. */
  private void deadlineReached() {
    for (UpstreamAttempt attempt : attempts.toArray(new UpstreamAttempt[0])) {
      table.upstream.abandon(attempt, CallOutcome.TIMEOUT);
    }
    if (!isFinished) {
      timer = table.loop.schedule(POLICY_GRACE_MS, this::failWithoutDecision);
    }
  }

  // ---- what the policy decides ----

  /**
   * Begins an attempt. It is not sent where the client has disconnected, the deadline is reached or
   * the number of attempts is used up: then it ends as not sent.
   *
   * @param untilMs when the attempt times out, or 0 where it has no timeout of its own
   */
  void sendAttempt(String endpointId, double untilMs) {
    // A retry whose connection comes up late must not reach servers that forgot the first attempt.
    double writeDeadlineMs =
        firstWrittenAtMs
            + table.settings.idempotencyWindowMs(call.className())
            - table.settings.timerResolutionMs();
    UpstreamAttempt attempt =
        new UpstreamAttempt(this, attempts.size(), endpointId, table.loop.nowMs(), writeDeadlineMs);
    attempts.add(attempt);
    attemptsInFlight++;
    if (attempt.requestedAtMs >= deadlineMs
        || attempt.number >= table.settings.capabilities().maxAttempts()
        || !isClientWaiting()) {
      attempt.discard();
      table.loop.execute(
          () ->
              attemptEnded(
                  attempt, CallOutcome.NOT_SENT, null, UpstreamConnectionPool.NO_LOAD_REPORT));
      return;
    }
    if (untilMs > 0 && untilMs < deadlineMs) {
      table.loop.schedule(
          untilMs - attempt.requestedAtMs,
          () -> table.upstream.abandon(attempt, CallOutcome.TIMEOUT));
    }
    table.upstream.send(attempt);
  }

  /** Cancels an attempt by its number; an unknown number is ignored. */
  void cancelAttempt(int number) {
    if (number >= 0 && number < attempts.size()) {
      UpstreamAttempt attempt = attempts.get(number);
      table.loop.execute(() -> table.upstream.abandon(attempt, CallOutcome.CANCELLED));
    }
  }

  /**
   * @param retryAfterMs when the client may come again (ms), or 0 where that is not said
   */
  void reject(double retryAfterMs) {
    if (!isFinished) {
      respond(
          RequestOutcome.REJECTED,
          new ErrorRedisMessage(retryAfterMs > 0 ? "BUSY " + Math.round(retryAfterMs) : "BUSY"));
    }
  }

  void fail() {
    if (!isFinished) {
      respond(RequestOutcome.FAILED, new ErrorRedisMessage("ERR failed"));
    }
  }

  /** The policy made no decision, or failed: each request gets one response all the same. */
  private void failWithoutDecision() {
    if (!isFinished) {
      fail();
      table.policy.clientDisconnected(id);
    }
  }

  // ---- from the client's connection ----

  @Override
  public void failNow() {
    failWithoutDecision();
  }

  @Override
  public void clientDisconnected() {
    if (isFinished) {
      return;
    }
    if (isKeyLeader && (mayHaveRun() || table.duplicates.hasFollowers(id))) {
      countEnd(RequestOutcome.ABANDONED);
      hasNoClient = true; // its response is for the duplicates
    } else {
      isAbandoned = true;
      finish(RequestOutcome.ABANDONED);
      completeDuplicates(null, false);
      table.policy.clientDisconnected(id);
      removeWhenSettled();
    }
  }

  // ---- from the connections to application servers ----

  @Override
  public ArrayRedisMessage command(double nowMs, ByteBufAllocator alloc) {
    return call.forwardedCommand(command, deadlineMs - nowMs, alloc);
  }

  @Override
  public void attemptWritten(UpstreamAttempt attempt) {
    counters.attemptSent();
    attemptsWritten++;
    firstWrittenAtMs = Math.min(firstWrittenAtMs, attempt.requestedAtMs);
  }

  /**
   * Whether anybody waits for the response: the client by what the kernel says now, as a busy loop
   * reads the end of a connection late, or duplicates. The client of a key leader is not checked:
   * an attempt that is not sent would count as one that may have run, and the duplicates would get
   * an error.
   */
  @Override
  public boolean isClientWaiting() {
    if (isFinished) {
      return false;
    }
    if (hasNoClient) {
      return table.duplicates.hasFollowers(id);
    }
    return isKeyLeader || !slot.hasClientDisconnected();
  }

  @Override
  public ValueSink valueStarted(UpstreamAttempt attempt, int lengthBytes, ValueSource source) {
    attemptsInFlight--;
    double nowMs = table.loop.nowMs();
    boolean isWanted = !isFinished && !hasNoClient;
    completeDuplicates(null, true);
    StreamedResponse response = new StreamedResponse(table, this, slot, counters, source);
    if (!isFinished) {
      // The server has done its work: how long the client reads must not count as its latency.
      isFinished = true;
      slot.setOpenRequest(isWanted ? response : null);
    }
    table.policy.attemptEnded(
        nowMs, this, attempt, CallOutcome.OK, UpstreamConnectionPool.NO_LOAD_REPORT);
    removeWhenSettled();
    if (isWanted) {
      slot.startStreaming(lengthBytes, response, Math.max(0, deadlineMs - nowMs));
    }
    return isWanted ? response : null;
  }

  @Override
  public void attemptEnded(
      UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] loadReport) {
    attemptsInFlight--;
    attemptsWritten -= attempt.isWritten() && outcome.provesNothingRan() ? 1 : 0;
    double nowMs = table.loop.nowMs();
    if (outcome == CallOutcome.OK && !isFinished) {
      respondWithValue(value);
    }
    if (!table.policy.attemptEnded(nowMs, this, attempt, outcome, loadReport)) {
      failWithoutDecision();
    }
    removeWhenSettled();
  }

  // ---- end ----

  /** Whether it had an effect, or may have one yet. */
  private boolean mayHaveRun() {
    return attemptsWritten > 0 || attemptsInFlight > 0;
  }

  /** Whether its client has left before its end, and it must not run again. */
  boolean mayHaveRunForLeftClient() {
    return isAbandoned && mayHaveRun() && !isRepeatable();
  }

  private boolean isRepeatable() {
    return table.settings.isRepeatableAnywhere(call.className());
  }

  /** Its client has disconnected within a long value. */
  void streamAbandoned() {
    if (!isRepeatable()) {
      table.requestAbandoned(clientRequestId());
    }
  }

  private void respondWithValue(RedisMessage value) {
    if (hasNoClient || slot.canBuffer(RespCodec.valueBytes(value))) {
      respond(RequestOutcome.SERVED, ReferenceCountUtil.retain(value));
    } else {
      table.valueDropped();
      respond(RequestOutcome.FAILED, new ErrorRedisMessage("ERR failed"), replayable(value));
    }
  }

  private ReplayableResponse replayable(RedisMessage message) {
    return isKeyLeader ? ReplayableResponse.of(message) : null;
  }

  private void respond(RequestOutcome outcome, RedisMessage message) {
    respond(outcome, message, replayable(message));
  }

  /**
   * Gives the final response.
   *
   * @param replayable the response for duplicates, or null
   */
  private void respond(
      RequestOutcome outcome, RedisMessage message, ReplayableResponse replayable) {
    finish(outcome);
    if (hasNoClient) {
      ReferenceCountUtil.release(message);
    } else {
      slot.respond(message);
    }
    completeDuplicates(
        replayable,
        outcome == RequestOutcome.SERVED || outcome == RequestOutcome.FAILED && mayHaveRun());
    removeWhenSettled();
  }

  /**
   * Duplicates that wait get the response.
   *
   * @param response null where there is none that can be given again
   */
  private void completeDuplicates(ReplayableResponse response, boolean mayHaveRun) {
    if (isKeyLeader) {
      isKeyLeader = false;
      table.duplicates.leaderFinished(id, response, mayHaveRun);
    }
  }

  private void countEnd(RequestOutcome outcome) {
    if (!hasNoClient) {
      counters.requestEnded(outcome);
      table.requestClosed();
    }
  }

  private void finish(RequestOutcome outcome) {
    isFinished = true;
    countEnd(outcome);
    slot.setOpenRequest(null);
    for (UpstreamAttempt attempt : attempts) {
      table.upstream.cancelIfQueued(attempt); // a connection that comes up later must not carry it
    }
    if (attemptsInFlight == 0) {
      timer.cancel(false);
    }
  }

  private void removeWhenSettled() {
    if (isFinished && attemptsInFlight == 0 && table.remove(this)) {
      timer.cancel(false);
      ReferenceCountUtil.release(command);
    }
  }
}
