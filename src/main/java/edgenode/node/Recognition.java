package edgenode.node;

import edgenode.eventloop.Loop;
import edgenode.idempotency.Bounds;
import edgenode.idempotency.Repeats;
import edgenode.ledger.Ledger;
import edgenode.net.downstream.ClientListener;
import edgenode.net.resp.Call;
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
 * Carries out what {@link Repeats} decides: holds the clients that wait for another request's
 * answer, and gives it to them. The module hears nothing of these: they are not sent on and take no
 * units.
 */
final class Recognition {
  /** A final answer, as it can be given again: a value or an error line. */
  record Answer(byte[] value, String error) {
    static Answer of(RedisMessage message) {
      return message instanceof FullBulkStringRedisMessage bulk
          ? new Answer(ByteBufUtil.getBytes(bulk.content()), null)
          : new Answer(null, ((ErrorRedisMessage) message).content());
    }

    int size() {
      return value == null ? error.length() : value.length;
    }

    RedisMessage message() {
      return value == null
          ? new ErrorRedisMessage(error)
          : new FullBulkStringRedisMessage(Unpooled.wrappedBuffer(value));
    }

    Ledger.End end() {
      return value != null
          ? Ledger.End.SERVED
          : error.startsWith("BUSY") ? Ledger.End.REFUSED : Ledger.End.FAILED;
    }
  }

  /** What the node is to do with a request that came. */
  enum Way {
    /** Send it on, and tell {@link #ended}. */
    LEADS,
    /** Send it on as one without a key. */
    PASSES,
    /** Nothing: it has its answer, or will have it. */
    DONE,
    /** It is not taken: its key is another request's. */
    CLASHES
  }

  /** A client that waits for the answer of another's request. */
  private final class Follower implements ClientListener.Taken {
    private final long id;
    private final ClientListener.Slot slot;
    private final Ledger.Row row;
    private Future<?> timer;

    Follower(long id, ClientListener.Slot slot, Ledger.Row row) {
      this.id = id;
      this.slot = slot;
      this.row = row;
    }

    private void end(Ledger.End how) {
      followers.remove(id);
      repeats.left(id);
      timer.cancel(false);
      slot.take(null);
      row.ended(how);
    }

    @Override
    public void giveUp() {
      end(Ledger.End.FAILED);
      slot.answer(new ErrorRedisMessage("ERR failed"));
    }

    @Override
    public void gone() {
      end(Ledger.End.ABANDONED);
    }

    void answered(Answer answer) {
      Answer given = answer == null ? GONE : answer;
      end(given.end());
      slot.answer(given.message());
    }
  }

  /**
   * It ran, and its answer cannot be given again: it was too long to be kept, or others needed the
   * room.
   */
  private static final Answer GONE =
      new Answer(null, "ERR a repeat of an answered request, the value is not kept");

  private static final int BODY = 4;
  private static final int HALF = 32;

  private final Loop loop;
  private final Bounds bounds;
  private boolean mute;
  private final Repeats<Answer> repeats;
  private final LongObjectHashMap<Follower> followers = new LongObjectHashMap<>();

  /** Where keys outlive the process, or null. */
  private LastingKeys lasting;

  /** Keys of those that lead and are to last, by number. */
  private final LongObjectHashMap<Led> led = new LongObjectHashMap<>();

  private record Led(String key, long digest, CompletableFuture<Long> there) {}

  Recognition(Loop loop, Bounds bounds) {
    this.loop = loop;
    this.bounds = bounds;
    repeats = new Repeats<>(bounds);
  }

  /**
   * Remembers what earlier processes did, and lets the next ones. Waits for the disk: at the start
   * only.
   */
  void lasting(Path folder) throws StoreException {
    lasting = new LastingKeys(folder, bounds.keep());
    lasting.told().forEach(loop::say);
    List<LastingKeys.Kept> all = lasting.restore();
    for (LastingKeys.Kept k : all.subList(Math.max(0, all.size() - bounds.entries()), all.size())) {
      repeats.restored(
          loop.now() + k.keep(),
          k.key(),
          k.digest(),
          k.answer(),
          k.answer() == null ? 0 : k.answer().size());
    }
  }

  /**
   * Goes on once the key of a request that leads lasts, or cannot be made to; at once where none is
   * to.
   */
  void whenLasting(long leader, Runnable then) {
    if (lasting == null) {
      then.run();
      return;
    }
    led.get(leader)
        .there
        .whenComplete(
            (version, failed) ->
                loop.later(
                    () -> {
                      if (failed != null && !mute) {
                        mute = true;
                        loop.say("idempotency keys do not last: " + failed.getMessage());
                      }
                      then.run();
                    }));
  }

  /** Figures of the store, or null. */
  Map<String, Object> store() {
    return lasting == null ? null : lasting.figures();
  }

  /** Makes what is remembered last; not on the loop. */
  void close() {
    if (lasting != null) {
      lasting.close();
    }
  }

  /**
   * A request with a key has come.
   *
   * @param patience how long its client waits (ms)
   */
  Way arrived(
      long id,
      ClientListener.Slot slot,
      Call call,
      ArrayRedisMessage command,
      Ledger.Row row,
      double patience) {
    String key = call.customer() + " " + call.key();
    long digest = digest(call, command);
    Repeats.Told<Answer> told = repeats.arrived(loop.now(), id, key, digest);
    switch (told.verdict()) {
      case LEADS:
        if (lasting != null) {
          led.put(id, new Led(key, digest, lasting.leads(key, digest)));
        }
        return Way.LEADS;
      case PASSES:
        return Way.PASSES;
      case CLASHES:
        return Way.CLASHES;
      case FOLLOWS:
        row.taken();
        Follower f = new Follower(id, slot, row);
        followers.put(id, f);
        slot.take(f);
        f.timer = loop.after(patience, f::giveUp);
        return Way.DONE;
      default:
        Answer answer =
            switch (told.verdict()) {
              case REPLAYED -> told.answer();
              case REFUSED -> new Answer(null, "BUSY " + Math.round(told.after()));
              default -> GONE;
            };
        row.taken();
        row.ended(answer.end());
        slot.answer(answer.message());
        return Way.DONE;
    }
  }

  /** A request that led has its final answer, which those that wait for it get too. */
  void ended(long leader, Answer answer, boolean mayHaveRun) {
    int size = answer == null ? 0 : answer.size();
    Led l = lasting == null ? null : led.remove(leader);
    if (l != null && mayHaveRun) {
      lasting.ended(l.key, l.digest, answer == null || size > bounds.bytes() ? null : answer);
    } else if (l != null) {
      lasting.forgotten(l.key);
    }
    for (long id : repeats.ended(loop.now(), leader, answer, size, mayHaveRun)) {
      followers.get(id).answered(answer);
    }
  }

  /** Whether others wait for its answer. */
  boolean followed(long leader) {
    return repeats.followed(leader);
  }

  /** Clients that wait for the answer of another's request. */
  int waiting() {
    return followers.size();
  }

  Repeats.Figures figures() {
    return repeats.figures(loop.now());
  }

  /** Of class and body. Whoever finds two of one sum spoils only a key of its own. */
  private static long digest(Call call, ArrayRedisMessage command) {
    CRC32C sum = new CRC32C();
    sum.update(call.type().getBytes(StandardCharsets.UTF_8));
    long length = 0;
    if (command.children().size() > BODY) {
      ByteBuf body = ((FullBulkStringRedisMessage) command.children().get(BODY)).content();
      length = body.readableBytes();
      for (java.nio.ByteBuffer part : body.nioBuffers()) {
        sum.update(part);
      }
    }
    return sum.getValue() << HALF | length;
  }
}
