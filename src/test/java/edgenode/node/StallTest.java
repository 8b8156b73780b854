package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.Agent;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A drain is honoured within the grace wherever discovery's answers stall, to the byte: sends are
 * timed at the server's socket. The machine's own lateness is measured beside it and allowed for,
 * so that a busy one gives the same verdict.
 */
@Timeout(180)
class StallTest {
  private static final int RIGS = 6;

  /**
   * A byte at which a stall is not survived is late each time; a machine that was elsewhere is not.
   */
  private static final int TURNS = 3;

  /** One round on a rig: ms from told to the last send. */
  private interface Round {
    double run(Rig rig, int offset, int turn) throws Exception;
  }

  /** How late this machine wakes a thread: the most (ms) since it was last asked. */
  private static final class Lateness implements AutoCloseable {
    private volatile long most;
    private final Thread thread =
        new Thread(
            () -> {
              long before = System.nanoTime();
              while (!Thread.currentThread().isInterrupted()) {
                try {
                  Thread.sleep(2);
                } catch (InterruptedException e) {
                  return;
                }
                long now = System.nanoTime();
                most = Math.max(most, now - before - 2_000_000);
                before = now;
              }
            },
            "lateness");

    Lateness() {
      thread.setDaemon(true);
      thread.setPriority(Thread.MIN_PRIORITY);
      thread.start();
    }

    double take() {
      double ms = most / 1e6;
      most = 0;
      return ms;
    }

    @Override
    public void close() {
      thread.interrupt();
    }
  }

  private static void everyOffset(String what, int offsets, Round round) throws Exception {
    AtomicInteger next = new AtomicInteger();
    List<Double> took = Collections.synchronizedList(new ArrayList<>());
    List<String> late = Collections.synchronizedList(new ArrayList<>());
    ExecutorService threads = Executors.newFixedThreadPool(RIGS);
    List<Future<?>> all = new ArrayList<>();
    for (int i = 0; i < RIGS; i++) {
      all.add(
          threads.submit(
              (Callable<Void>)
                  () -> {
                    try (Rig rig = new Rig(new Agent(40));
                        Lateness lateness = new Lateness()) {
                      for (int k = next.getAndIncrement();
                          k < offsets;
                          k = next.getAndIncrement()) {
                        double ms = 0;
                        double allowed = -1;
                        for (int turn = 0; turn < TURNS && ms > allowed; turn++) {
                          lateness.take();
                          ms = round.run(rig, k, turn);
                          allowed = Rig.GRACE + 3 * lateness.take();
                        }
                        took.add(ms);
                        if (ms > allowed) {
                          late.add(what + " at byte " + k + ": " + ms + " ms, allowed " + allowed);
                        }
                      }
                    }
                    return null;
                  }));
    }
    for (Future<?> f : all) {
      f.get();
    }
    threads.shutdown();
    Collections.sort(took);
    System.out.printf(
        "%s, %d offsets, told to last send: median %.0f ms, worst %.0f ms%n",
        what, took.size(), took.get(took.size() / 2), took.get(took.size() - 1));
    assertEquals(List.of(), late);
    assertEquals(offsets, took.size());
  }

  /** What goes wrong at discovery between a server's coming and its going. */
  private interface Fault {
    void begin() throws Exception;
  }

  /**
   * A server comes and serves, the fault begins, the server drains: ms from told to the last send.
   */
  private static double drain(Rig rig, String id, Fault fault) throws Exception {
    rig.agent.set(rig.host(id, "active"));
    rig.serves(id);
    fault.begin();
    long told = System.nanoTime();
    rig.agent.set(rig.host(id, "leaving"));
    double ms = rig.drained(id, told);
    rig.agent.set(rig.host(id, "left"));
    return ms;
  }

  /** Bytes of a watch's head. */
  private static final int HEAD =
      "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
          .length();

  /** Bytes of the answer to a look that lists one server. */
  private static final int LIST =
      "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 180\r\n\r\n".length()
          + 180;

  /**
   * The watch sends so many bytes and stalls, wherever that is: in its head, in a chunk's, in a
   * line, behind.
   */
  @Test
  void aWatchThatStallsAtAnyByte() throws Exception {
    int whole = HEAD + "1\r\n\n\r\n".length() + 190;
    everyOffset(
        "watch stalls",
        whole,
        (rig, k, turn) ->
            drain(
                rig,
                "w" + k + "t" + turn,
                () -> {
                  rig.agent.stall(Agent.Kind.WATCH, k, 1);
                  rig.agent.reset();
                  Rig.await("a new watch", () -> rig.agent.stalled());
                }));
  }

  /** Both eyes at once: the watch stops dead, and the next look's answer stalls at any byte. */
  @Test
  void aWatchAndTheNextLookThatStallAtAnyByte() throws Exception {
    everyOffset(
        "watch and look stall",
        LIST,
        (rig, k, turn) ->
            drain(
                rig,
                "l" + k + "t" + turn,
                () -> {
                  rig.agent.stallNow(Agent.Kind.WATCH);
                  rig.agent.stall(Agent.Kind.LIST, k, 1);
                }));
  }

  /**
   * Discovery moves; what the new one sends first stalls at any byte, and the old one goes silent.
   */
  @Test
  void aMoveToOneThatStallsAtAnyByte() throws Exception {
    everyOffset(
        "move, and the first list stalls",
        LIST,
        (rig, k, turn) -> {
          String id = "m" + k + "t" + turn;
          Agent old = rig.agent;
          double ms =
              drain(
                  rig,
                  id,
                  () -> {
                    Agent next = new Agent(7);
                    next.set(rig.host(id, "active"));
                    next.stall(Agent.Kind.LIST, k, 1);
                    rig.move(next);
                    old.stallNow(Agent.Kind.WATCH);
                    Rig.await("the new one is asked", next::stalled);
                  });
          old.close();
          return ms;
        });
  }

  /**
   * A start with a list known that is old by then: discovery's own first list stalls at any byte.
   */
  @Test
  void aStartWhoseFirstListStallsAtAnyByte() throws Exception {
    everyOffset(
        "start, and the first list stalls",
        LIST,
        (rig, k, turn) -> {
          String id = "f" + k + "t" + turn;
          Agent agent = new Agent(7);
          agent.set(rig.host(id, "active"));
          agent.stall(Agent.Kind.LIST, k, 1);
          CompletableFuture<Long> told =
              CompletableFuture.supplyAsync(
                  () -> {
                    try {
                      Rig.await("the list is asked", agent::stalled);
                    } catch (InterruptedException e) {
                      throw new IllegalStateException(e);
                    }
                    long at = System.nanoTime();
                    agent.set(rig.host(id, "leaving"));
                    return at;
                  });
          try (Rig starting = new Rig(agent, rig, rig.host(id, "active"))) {
            starting.target = id;
            return starting.drained(id, told.get());
          }
        });
  }

  /**
   * Silent for a while during a release of all servers, then all at once: each told is honoured.
   */
  @Test
  void allIsToldAtOnceAfterASilence() throws Exception {
    try (Rig rig = new Rig(new Agent(40))) {
      for (int i = 0; i < 10; i++) {
        rig.agent.set(rig.host("a" + i, "active"));
      }
      rig.serves("a3");
      rig.agent.silent(true);
      for (int i = 0; i < 10; i++) {
        rig.agent.set(rig.host("a" + i, "left"));
        rig.agent.set(rig.host("b" + i, "active"));
      }
      Thread.sleep(3000);
      assertTrue(rig.view.get("a3") == edgenode.policy.EndpointState.UP, "nothing was told yet");
      long told = System.nanoTime();
      rig.agent.silent(false);
      double ms = rig.drained("a3", told);
      assertTrue(ms < Rig.GRACE, "took " + ms);
      rig.serves("b7");
    }
  }
}
