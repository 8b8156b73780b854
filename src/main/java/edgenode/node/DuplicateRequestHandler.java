package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.idempotency.IdempotencyIndex;
import edgenode.idempotency.IdempotencyLimits;
import edgenode.ledger.RequestLedger;
import edgenode.net.downstream.ClientListener;
import edgenode.net.resp.RequestCommand;
import edgenode.store.StoreException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.zip.CRC32C;

/**
 * Carries out what {@link IdempotencyIndex} decides: holds the clients that wait for another
 * request's answer, and gives it to them. The module hears nothing of these: they are not sent on
 * and take no units.
 */
final class DuplicateRequestHandler {
  /** A final answer, as it can be given again: a value or an error line. */
  record ReplayableResponse(byte[] value, String error) {
    static ReplayableResponse of(RedisMessage message) {
      return message instanceof FullBulkStringRedisMessage bulk
          ? new ReplayableResponse(ByteBufUtil.getBytes(bulk.content()), null)
          : new ReplayableResponse(null, ((ErrorRedisMessage) message).content());
    }

    int sizeBytes() {
      return value == null ? error.length() : value.length;
    }

    RedisMessage toMessage() {
      return value == null
          ? new ErrorRedisMessage(error)
          : new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(value));
    }

    RequestLedger.RequestOutcome ledgerOutcome() {
      return value != null
          ? RequestLedger.RequestOutcome.SERVED
          : error.startsWith("BUSY")
              ? RequestLedger.RequestOutcome.REJECTED
              : RequestLedger.RequestOutcome.FAILED;
    }
  }

  /** What the node is to do with a request that came. */
  enum Disposition {
    /** Send it on, and tell {@link #leaderFinished}. */
    FORWARD_AS_LEADER,
    /** Send it on as one without a key. */
    FORWARD_WITHOUT_KEY,
    /** Nothing: it has its answer, or will have it. */
    HANDLED,
    /** It is not taken: its key is another request's. */
    KEY_CONFLICT
  }

  /** A client that waits for the answer of another's request. */
  private final class Follower implements ClientListener.OpenRequest {
    private final long id;
    private final ClientListener.ResponseSlot slot;
    private final RequestLedger.ClassCounters row;
    private Future<?> timer;

    Follower(long id, ClientListener.ResponseSlot slot, RequestLedger.ClassCounters row) {
      this.id = id;
      this.slot = slot;
      this.row = row;
    }

    private void finish(RequestLedger.RequestOutcome outcome) {
      followers.remove(id);
      repeats.removeWaiting(id);
      timer.cancel(false);
      slot.setOpenRequest(null);
      row.requestEnded(outcome);
    }

    @Override
    public void failNow() {
      finish(RequestLedger.RequestOutcome.FAILED);
      slot.respond(new ErrorRedisMessage("ERR failed"));
    }

    @Override
    public void clientDisconnected() {
      finish(RequestLedger.RequestOutcome.ABANDONED);
    }

    void leaderResponded(ReplayableResponse response) {
      ReplayableResponse replayed = response == null ? RESPONSE_NOT_CACHED : response;
      finish(replayed.ledgerOutcome());
      slot.respond(replayed.toMessage());
    }
  }

  /**
   * It ran, and its answer cannot be given again: it was too long to be kept, or others needed the
   * room.
   */
  private static final ReplayableResponse RESPONSE_NOT_CACHED =
      new ReplayableResponse(null, "ERR a repeat of an answered request, the value is not kept");

  private static final int BODY_INDEX = 4;
  private static final int CHECKSUM_SHIFT = 32;

  private final EdgeEventLoop loop;
  private final IdempotencyLimits bounds;
  private boolean isFailureLogged;
  private final IdempotencyIndex<ReplayableResponse> repeats;
  private final LongObjectHashMap<Follower> followers = new LongObjectHashMap<>();

  /** Where keys outlive the process, or null. */
  private PersistentIdempotencyKeys persistentKeys;

  /** Keys of those that lead and are to last, by number. */
  private final LongObjectHashMap<LeaderKey> leaderKeys = new LongObjectHashMap<>();

  private record LeaderKey(String key, long digest, CompletableFuture<Long> persisted) {}

  DuplicateRequestHandler(EdgeEventLoop loop, IdempotencyLimits bounds) {
    this.loop = loop;
    this.bounds = bounds;
    repeats = new IdempotencyIndex<>(bounds);
  }

  /**
   * Remembers what earlier processes did, and lets the next ones. Waits for the disk: at the start
   * only.
   */
  void persistentKeys(Path folder) throws StoreException {
    persistentKeys = new PersistentIdempotencyKeys(folder, bounds.retentionMs());
    persistentKeys.openingMessages().forEach(loop::logLine);
    List<PersistentIdempotencyKeys.StoredKey> storedKeys = persistentKeys.restore();
    for (PersistentIdempotencyKeys.StoredKey storedKey :
        storedKeys.subList(
            Math.max(0, storedKeys.size() - bounds.maxEntries()), storedKeys.size())) {
      repeats.restore(
          loop.nowMs() + storedKey.remainingMs(),
          storedKey.key(),
          storedKey.digest(),
          storedKey.response(),
          storedKey.response() == null ? 0 : storedKey.response().sizeBytes());
    }
  }

  /**
   * Goes on once the key of a request that leads lasts, or cannot be made to; at once where none is
   * to.
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
            (version, failure) ->
                loop.execute(
                    () -> {
                      if (failure != null && !isFailureLogged) {
                        isFailureLogged = true;
                        loop.logLine("idempotency keys do not last: " + failure.getMessage());
                      }
                      continuation.run();
                    }));
  }

  /** Figures of the store, or null. */
  Map<String, Object> storeFigures() {
    return persistentKeys == null ? null : persistentKeys.figures();
  }

  /** Makes what is remembered last; not on the loop. */
  void close() {
    if (persistentKeys != null) {
      persistentKeys.close();
    }
  }

  /**
   * A request with a key has come.
   *
   * @param timeBudgetMs how long its client waits (ms)
   */
  Disposition requestArrived(
      long id,
      ClientListener.ResponseSlot slot,
      RequestCommand call,
      ArrayRedisMessage command,
      RequestLedger.ClassCounters row,
      double timeBudgetMs) {
    String key = call.customer() + " " + call.idempotencyKey();
    long digest = digest(call, command);
    IdempotencyIndex.LookupResult<ReplayableResponse> verdict =
        repeats.register(loop.nowMs(), id, key, digest);
    switch (verdict.decision()) {
      case FIRST:
        if (persistentKeys != null) {
          leaderKeys.put(id, new LeaderKey(key, digest, persistentKeys.putRunning(key, digest)));
        }
        return Disposition.FORWARD_AS_LEADER;
      case UNTRACKED:
        return Disposition.FORWARD_WITHOUT_KEY;
      case KEY_CONFLICT:
        return Disposition.KEY_CONFLICT;
      case JOINED:
        row.requestAccepted();
        Follower follower = new Follower(id, slot, row);
        followers.put(id, follower);
        slot.setOpenRequest(follower);
        follower.timer = loop.schedule(timeBudgetMs, follower::failNow);
        return Disposition.HANDLED;
      default:
        ReplayableResponse response =
            switch (verdict.decision()) {
              case REPLAYED -> verdict.response();
              case REJECTED ->
                  new ReplayableResponse(null, "BUSY " + Math.round(verdict.retryAfterMs()));
              default -> RESPONSE_NOT_CACHED;
            };
        row.requestAccepted();
        row.requestEnded(response.ledgerOutcome());
        slot.respond(response.toMessage());
        return Disposition.HANDLED;
    }
  }

  /** A request that led has its final answer, which those that wait for it get too. */
  void leaderFinished(long leaderId, ReplayableResponse response, boolean mayHaveRun) {
    int sizeBytes = response == null ? 0 : response.sizeBytes();
    LeaderKey leaderKey = persistentKeys == null ? null : leaderKeys.remove(leaderId);
    if (leaderKey != null && mayHaveRun) {
      persistentKeys.putFinished(
          leaderKey.key,
          leaderKey.digest,
          response == null || sizeBytes > bounds.maxResponseBytes() ? null : response);
    } else if (leaderKey != null) {
      persistentKeys.remove(leaderKey.key);
    }
    for (long followerId :
        repeats.complete(loop.nowMs(), leaderId, response, sizeBytes, mayHaveRun)) {
      followers.get(followerId).leaderResponded(response);
    }
  }

  /** Whether others wait for its answer. */
  boolean hasFollowers(long leaderId) {
    return repeats.hasWaitingDuplicates(leaderId);
  }

  /** Clients that wait for the answer of another's request. */
  int followerCount() {
    return followers.size();
  }

  IdempotencyIndex.IdempotencyMetrics figures() {
    return repeats.metrics(loop.nowMs());
  }

  /** Of class and body. Whoever finds two of one sum spoils only a key of its own. */
  private static long digest(RequestCommand call, ArrayRedisMessage command) {
    CRC32C checksum = new CRC32C();
    checksum.update(call.className().getBytes(StandardCharsets.UTF_8));
    long length = 0;
    if (command.children().size() > BODY_INDEX) {
      ByteBuf body = ((FullBulkStringRedisMessage) command.children().get(BODY_INDEX)).content();
      length = body.readableBytes();
      for (java.nio.ByteBuffer part : body.nioBuffers()) {
        checksum.update(part);
      }
    }
    return checksum.getValue() << CHECKSUM_SHIFT | length;
  }
}
