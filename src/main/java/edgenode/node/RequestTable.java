package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.ledger.RequestLedger;
import edgenode.ledger.RequestLedger.ClassCounters;
import edgenode.ledger.RequestLedger.RequestOutcome;
import edgenode.net.downstream.RequestHandler;
import edgenode.net.downstream.ResponseSlot;
import edgenode.net.resp.RequestCommand;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.policy.PolicySettings;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.util.collection.LongObjectHashMap;

/**
 * The open requests of the node. Each one is entered when its command is complete, and removed once
 * it is answered and none of its attempts is in flight. On the event loop only.
 */
final class RequestTable implements RequestHandler {
  /** Part of a client's wait (ms) that is reserved for the transfer of the response. */
  private static final double RESPONSE_MARGIN_MS = 10;

  /**
   * Part of a client's wait that delays of the event loop may take at most: they are estimates, and
   * too high after a pause.
   */
  private static final double MAX_LOOP_DELAY_SHARE = 0.5;

  /** A request with less time left (ms) is rejected at once, while its client still waits. */
  private static final double MIN_TIME_BUDGET_MS = 1;

  /**
   * Size (bytes) of the commands of all open requests above which further ones are rejected. They
   * are read nevertheless: unread ones would age and hide the end of their client's connection.
   */
  private static final long MAX_BUFFERED_BYTES = 8L << 20;

  /** Least time (ms) between log lines on dropped values. */
  private static final double DROP_LOG_INTERVAL_MS = 10_000;

  /** Longest wait (ms) that a client may name; above it the request is malformed. */
  private static final double MAX_CLIENT_WAIT_MS = 3_600_000;

  final EdgeEventLoop loop;
  final PolicySettings settings;
  final GuardedPolicy policy;
  final UpstreamConnectionPool upstream;

  /** Null where duplicate requests are not recognised. */
  final DuplicateRequestHandler duplicates;

  private final RequestLedger ledger;
  private final LongObjectHashMap<PendingRequest> requests = new LongObjectHashMap<>();
  private final RequestIds clientRequestIds = new RequestIds();
  private long lastRequestId;
  private long bufferedBytes;

  private long droppedValues;
  private double nextDropLogMs;

  /** Requests that have not ended for their clients. */
  private long openRequests;

  /** Each request is answered by then (ms): the process may be killed. */
  private double killDeadlineMs = Double.POSITIVE_INFINITY;

  RequestTable(
      EdgeEventLoop loop,
      PolicySettings settings,
      GuardedPolicy policy,
      UpstreamConnectionPool upstream,
      RequestLedger ledger,
      DuplicateRequestHandler duplicates) {
    this.loop = loop;
    this.settings = settings;
    this.policy = policy;
    this.upstream = upstream;
    this.ledger = ledger;
    this.duplicates = duplicates;
  }

  @Override
  public String requestReceived(
      ResponseSlot slot, ArrayRedisMessage command, boolean isOverPipelineLimit) {
    double nowMs = loop.nowMs();
    RequestCommand call;
    try {
      call = RequestCommand.parse(command, settings);
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    if (!(call.remainingMs() > 0 && call.remainingMs() <= MAX_CLIENT_WAIT_MS)) {
      return "d is out of range";
    }
    if (clientRequestIds.isOpen(call.requestId())) {
      return "a request of this id is open"; // servers could not tell the two apart
    }
    if (clientRequestIds.mayHaveRun(call.requestId(), nowMs)) {
      return "a request of this id may have run";
    }
    double budgetMs = Math.min(timeBudgetMs(slot, call), killDeadlineMs - nowMs);
    if (isOverPipelineLimit
        || bufferedBytes > MAX_BUFFERED_BYTES
        || budgetMs < MIN_TIME_BUDGET_MS) {
      rejectAtOnce(slot, call);
      return null;
    }
    if (duplicates == null
        || call.idempotencyKey() == null
        || !settings.hasIdempotencyKey(call.className())) {
      admit(
          new PendingRequest(this, ++lastRequestId, slot, command, call, nowMs + budgetMs),
          false,
          budgetMs);
      return null;
    }
    return keyedRequestReceived(slot, command, call, nowMs, budgetMs);
  }

  private String keyedRequestReceived(
      ResponseSlot slot,
      ArrayRedisMessage command,
      RequestCommand call,
      double nowMs,
      double budgetMs) {
    ClassCounters counters = ledger.countersFor(call.className(), call.customer());
    long requestId = ++lastRequestId;
    switch (duplicates.requestArrived(requestId, slot, call, command, counters, budgetMs)) {
      case HANDLED:
        return null;
      case KEY_CONFLICT:
        return "k belongs to another request";
      case FORWARD_AS_LEADER:
        admit(
            new PendingRequest(this, requestId, slot, command, call, nowMs + budgetMs),
            true,
            budgetMs);
        return null;
      default:
        admit(
            new PendingRequest(this, ++lastRequestId, slot, command, call, nowMs + budgetMs),
            false,
            budgetMs);
        return null;
    }
  }

  private void rejectAtOnce(ResponseSlot slot, RequestCommand call) {
    ClassCounters counters = ledger.countersFor(call.className(), call.customer());
    counters.requestAccepted();
    counters.requestEnded(RequestOutcome.REJECTED);
    slot.respond(new ErrorRedisMessage("BUSY"));
  }

  private void admit(PendingRequest request, boolean isKeyLeader, double budgetMs) {
    clientRequestIds.opened(request.clientRequestId());
    bufferedBytes += request.sizeBytes();
    requests.put(request.id(), request);
    openRequests++;
    request.open(isKeyLeader, budgetMs);
  }

  /**
   * For how long (ms) from now a request can be worked on. Its client's wait counts from the last
   * byte of the command, which may have been unread on a busy event loop, and the response may find
   * the loop as busy.
   */
  private double timeBudgetMs(ResponseSlot slot, RequestCommand call) {
    double delaysMs =
        Math.min(
            slot.unreadDelayMs() + loop.queueingDelayMs(),
            MAX_LOOP_DELAY_SHARE * call.remainingMs());
    return call.remainingMs() - delaysMs - RESPONSE_MARGIN_MS;
  }

  ClassCounters countersFor(RequestCommand call) {
    return ledger.countersFor(call.className(), call.customer());
  }

  /** Returns the request of this number, or null where there is none. */
  PendingRequest find(long requestId) {
    return requests.get(requestId);
  }

  /** Removes a request that is answered and has no attempt in flight; whether it was there. */
  boolean remove(PendingRequest request) {
    if (requests.remove(request.id()) == null) {
      return false;
    }
    if (request.mayHaveRunForLeftClient()) {
      requestAbandoned(request.clientRequestId());
    } else {
      clientRequestIds.closed(request.clientRequestId());
    }
    bufferedBytes -= request.sizeBytes();
    return true;
  }

  /**
   * The client of a request has left that may have run, and whose class does not allow that it runs
   * again: a client that sends it once more gets an error.
   */
  void requestAbandoned(String clientRequestId) {
    clientRequestIds.abandoned(clientRequestId, loop.nowMs());
  }

  /** A value is dropped, as its client reads so slowly that it cannot be buffered. */
  void valueDropped() {
    droppedValues++;
    if (loop.nowMs() >= nextDropLogMs) {
      nextDropLogMs = loop.nowMs() + DROP_LOG_INTERVAL_MS;
      loop.logLine("clients read too slowly: values dropped since the start: " + droppedValues);
    }
  }

  /** One request has ended for its client. */
  void requestClosed() {
    openRequests--;
  }

  /** Requests that have not ended, those that wait for another one's response included. */
  long openRequestCount() {
    return openRequests + (duplicates == null ? 0 : duplicates.followerCount());
  }

  /** All open and all further requests are answered by this time (ms). */
  void limitDeadlines(double newKillDeadlineMs) {
    killDeadlineMs = newKillDeadlineMs;
    for (PendingRequest request : requests.values()) {
      request.limitDeadline(newKillDeadlineMs);
    }
  }
}
