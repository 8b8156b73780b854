package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.idempotency.IdempotencyIndex;
import edgenode.idempotency.IdempotencyLimits;
import edgenode.ledger.RequestLedger.ClassCounters;
import edgenode.ledger.RequestLedger.RequestOutcome;
import edgenode.net.downstream.OpenRequest;
import edgenode.net.downstream.ResponseSlot;
import edgenode.net.resp.RequestCommand;
import edgenode.store.StoreException;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.zip.CRC32C;

/**
 * Carries out what {@link IdempotencyIndex} decides on requests with an idempotency key. Clients of
 * duplicates wait here for the response of the first request. The policy does not see duplicates:
 * they are not forwarded and use no quota. On the event loop only, where not said otherwise.
 */
final class DuplicateRequestHandler {
  /** What the node does with a request that arrived. */
  enum Disposition {
    /** Forward it, and call {@link #leaderFinished} at its end. */
    FORWARD_AS_LEADER,
    /** Forward it as a request without a key. */
    FORWARD_WITHOUT_KEY,
    /** Nothing: it is answered, or will be. */
    HANDLED,
    /** Answer with an error: the key belongs to a request with another content. */
    KEY_CONFLICT
  }

  /** The client of a duplicate, which waits for the response of the first request. */
  private final class Follower implements OpenRequest {
    private final long id;
    private final ResponseSlot slot;
    private final ClassCounters counters;
    private Future<?> timer;

    Follower(long id, ResponseSlot slot, ClassCounters counters) {
      this.id = id;
      this.slot = slot;
      this.counters = counters;
    }

    private void finish(RequestOutcome outcome) {
      followers.remove(id);
      index.removeWaiting(id);
      timer.cancel(false);
      slot.setOpenRequest(null);
      counters.requestEnded(outcome);
    }

    @Override
    public void failNow() {
      finish(RequestOutcome.FAILED);
      slot.respond(new ErrorRedisMessage("ERR failed"));
    }

    @Override
    public void clientDisconnected() {
      finish(RequestOutcome.ABANDONED);
    }

    void leaderResponded(ReplayableResponse response) {
      ReplayableResponse replayed = response == null ? RESPONSE_NOT_CACHED : response;
      if (!slot.canBuffer(replayed.sizeBytes())) {
        replayed = RESPONSE_NOT_CACHED; // its client reads too slowly
      }
      finish(replayed.ledgerOutcome());
      slot.respond(replayed.toMessage());
    }
  }

  /** The first request ran, but its response was too long to keep or has been evicted. */
  private static final ReplayableResponse RESPONSE_NOT_CACHED =
      new ReplayableResponse(null, "ERR a repeat of an answered request, the value is not kept");

  private static final int BODY_INDEX = 4;
  private static final int CHECKSUM_SHIFT = 32;

  private record LeaderKey(String key, long digest, CompletableFuture<Long> persisted) {}

  private final EdgeEventLoop loop;
  private final IdempotencyLimits limits;
  private final IdempotencyIndex<ReplayableResponse> index;
  private final LongObjectHashMap<Follower> followers = new LongObjectHashMap<>();

  /** Keys of first requests that are in flight, by request number; only with a store. */
  private final LongObjectHashMap<LeaderKey> leaderKeys = new LongObjectHashMap<>();

  /** Null where keys are in memory only. */
  private PersistentIdempotencyKeys persistentKeys;

  private boolean isFailureLogged;

  DuplicateRequestHandler(EdgeEventLoop loop, IdempotencyLimits limits) {
    this.loop = loop;
    this.limits = limits;
    index = new IdempotencyIndex<>(limits);
  }

  /**
   * Reads the keys of earlier processes, and stores those of this one from now on. Waits for the
   * disk: at the start only.
   */
  void openStore(Path folder) throws StoreException {
    persistentKeys = new PersistentIdempotencyKeys(folder, limits.retentionMs());
    persistentKeys.openingMessages().forEach(loop::logLine);
    List<PersistentIdempotencyKeys.StoredKey> storedKeys = persistentKeys.restore();
    for (PersistentIdempotencyKeys.StoredKey storedKey :
        storedKeys.subList(
            Math.max(0, storedKeys.size() - limits.maxEntries()), storedKeys.size())) {
      index.restore(
          loop.nowMs() + storedKey.remainingMs(),
          storedKey.key(),
          storedKey.digest(),
          storedKey.response(),
          storedKey.response() == null ? 0 : storedKey.response().sizeBytes());
    }
  }

  /**
   * Runs the continuation on the event loop once the key of a first request is stored, or the store
   * has failed; at once where there is no store.
   */
  void whenKeyPersisted(long leaderId, Runnable continuation) {
    if (persistentKeys == null) {
      continuation.run();
      return;
    }
    leaderKeys
        .get(leaderId)
        .persisted
        .whenComplete(
            (version, failure) -> loop.execute(() -> keyPersisted(failure, continuation)));
  }

  private void keyPersisted(Throwable failure, Runnable continuation) {
    if (failure != null && !isFailureLogged) {
      isFailureLogged = true;
      loop.logLine("idempotency keys do not last: " + failure.getMessage());
    }
    continuation.run();
  }

  /** Figures of the store, or null where there is none. */
  Map<String, Object> storeFigures() {
    return persistentKeys == null ? null : persistentKeys.figures();
  }

  /** Writes out what the store has to write; waits for the disk, not on the event loop. */
  void close() {
    if (persistentKeys != null) {
      persistentKeys.close();
    }
  }

  /**
   * A request with an idempotency key has arrived.
   *
   * @param requestId the node's number of it
   * @param timeBudgetMs how long its client waits (ms)
   */
  Disposition requestArrived(
      long requestId,
      ResponseSlot slot,
      RequestCommand call,
      ArrayRedisMessage command,
      ClassCounters counters,
      double timeBudgetMs) {
    String key = call.customer() + " " + call.idempotencyKey();
    long digest = digest(call, command);
    IdempotencyIndex.LookupResult<ReplayableResponse> found =
        index.register(loop.nowMs(), requestId, key, digest);
    switch (found.decision()) {
      case FIRST:
        if (persistentKeys != null) {
          CompletableFuture<Long> persisted = persistentKeys.putRunning(key, digest);
          leaderKeys.put(requestId, new LeaderKey(key, digest, persisted));
        }
        return Disposition.FORWARD_AS_LEADER;
      case UNTRACKED:
        return Disposition.FORWARD_WITHOUT_KEY;
      case KEY_CONFLICT:
        return Disposition.KEY_CONFLICT;
      case JOINED:
        follow(new Follower(requestId, slot, counters), timeBudgetMs);
        return Disposition.HANDLED;
      default:
        respondAtOnce(slot, counters, found);
        return Disposition.HANDLED;
    }
  }

  private void follow(Follower follower, double timeBudgetMs) {
    follower.counters.requestAccepted();
    followers.put(follower.id, follower);
    follower.slot.setOpenRequest(follower);
    follower.timer = loop.schedule(timeBudgetMs, follower::failNow);
  }

  private static void respondAtOnce(
      ResponseSlot slot,
      ClassCounters counters,
      IdempotencyIndex.LookupResult<ReplayableResponse> found) {
    ReplayableResponse response =
        switch (found.decision()) {
          case REPLAYED -> found.response();
          case REJECTED -> new ReplayableResponse(null, "BUSY " + Math.round(found.retryAfterMs()));
          default -> RESPONSE_NOT_CACHED;
        };
    counters.requestAccepted();
    counters.requestEnded(response.ledgerOutcome());
    slot.respond(response.toMessage());
  }

  /**
   * A first request has its final response, which waiting duplicates get too.
   *
   * @param response null where there is none that can be given again
   * @param mayHaveRun whether the key stays taken
   */
  void leaderFinished(long leaderId, ReplayableResponse response, boolean mayHaveRun) {
    int sizeBytes = response == null ? 0 : response.sizeBytes();
    LeaderKey leaderKey = persistentKeys == null ? null : leaderKeys.remove(leaderId);
    if (leaderKey != null && mayHaveRun) {
      persistentKeys.putFinished(
          leaderKey.key,
          leaderKey.digest,
          response == null || sizeBytes > limits.maxResponseBytes() ? null : response);
    } else if (leaderKey != null) {
      persistentKeys.remove(leaderKey.key);
    }
    for (long followerId :
        index.complete(loop.nowMs(), leaderId, response, sizeBytes, mayHaveRun)) {
      followers.get(followerId).leaderResponded(response);
    }
  }

  /** Whether duplicates wait for the response of this request. */
  boolean hasFollowers(long leaderId) {
    return index.hasWaitingDuplicates(leaderId);
  }

  /** Duplicates that wait for the response of a first request. */
  int followerCount() {
    return followers.size();
  }

  IdempotencyIndex.IdempotencyMetrics figures() {
    return index.metrics(loop.nowMs());
  }

  /**
   * Checksum of class and body. It need not resist attacks: a client that finds a collision affects
   * only keys of its own.
   */
  private static long digest(RequestCommand call, ArrayRedisMessage command) {
    CRC32C checksum = new CRC32C();
    checksum.update(call.className().getBytes(StandardCharsets.UTF_8));
    long length = 0;
    if (command.children().size() > BODY_INDEX) {
      ByteBuf body = ((FullBulkStringRedisMessage) command.children().get(BODY_INDEX)).content();
      length = body.readableBytes();
      for (ByteBuffer part : body.nioBuffers()) {
        checksum.update(part);
      }
    }
    return checksum.getValue() << CHECKSUM_SHIFT | length;
  }
}
