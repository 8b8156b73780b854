package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.DiscoveryAgentEmulator;
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
 * A draining endpoint gets no requests after the grace period wherever discovery's responses stall,
 * at any byte. Commands are timed at the server's socket. The wake-up delay of the machine is
 * measured and allowed for, so that a busy machine has the same verdict.
 */
@Timeout(180)
class DiscoveryStallTest {
  private static final int PARALLEL_FIXTURES = 6;

  /** A stall that is not handled is late in each try; a delay of the machine is not. */
  private static final int MAX_TRIES = 3;

  /** One case on a fixture: time (ms) from the change to the last command. */
  private interface Round {
    double run(DiscoveryFixture rig, int offset, int turn) throws Exception;
  }

  /** The maximum delay (ms) with which this machine wakes a thread, since the last call. */
  private static final class WakeupDelayMeter implements AutoCloseable {
    private volatile long maxDelayNanos;
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
                maxDelayNanos = Math.max(maxDelayNanos, now - before - 2_000_000);
                before = now;
              }
            },
            "lateness");

    WakeupDelayMeter() {
      thread.setDaemon(true);
      thread.setPriority(Thread.MIN_PRIORITY);
      thread.start();
    }

    double takeMaxDelayMs() {
      double ms = maxDelayNanos / 1e6;
      maxDelayNanos = 0;
      return ms;
    }

    @Override
    public void close() {
      thread.interrupt();
    }
  }

  private static void runForEachOffset(String caseName, int offsets, Round round) throws Exception {
    AtomicInteger next = new AtomicInteger();
    List<Double> delaysMs = Collections.synchronizedList(new ArrayList<>());
    List<String> tooLate = Collections.synchronizedList(new ArrayList<>());
    ExecutorService threads = Executors.newFixedThreadPool(PARALLEL_FIXTURES);
    List<Future<?>> futures = new ArrayList<>();
    for (int i = 0; i < PARALLEL_FIXTURES; i++) {
      futures.add(
          threads.submit(
              (Callable<Void>)
                  () -> {
                    try (DiscoveryFixture fixture =
                            new DiscoveryFixture(new DiscoveryAgentEmulator(40));
                        WakeupDelayMeter lateness = new WakeupDelayMeter()) {
                      for (int offset = next.getAndIncrement();
                          offset < offsets;
                          offset = next.getAndIncrement()) {
                        double delayMs = 0;
                        double allowedMs = -1;
                        for (int tries = 0; tries < MAX_TRIES && delayMs > allowedMs; tries++) {
                          lateness.takeMaxDelayMs();
                          delayMs = round.run(fixture, offset, tries);
                          allowedMs =
                              DiscoveryFixture.DRAIN_GRACE_MS + 3 * lateness.takeMaxDelayMs();
                        }
                        delaysMs.add(delayMs);
                        if (delayMs > allowedMs) {
                          tooLate.add(
                              caseName
                                  + " at byte "
                                  + offset
                                  + ": "
                                  + delayMs
                                  + " ms, allowed "
                                  + allowedMs);
                        }
                      }
                    }
                    return null;
                  }));
    }
    for (Future<?> future : futures) {
      future.get();
    }
    threads.shutdown();
    Collections.sort(delaysMs);
    System.out.printf(
        "%s, %d offsets, told to last send: median %.0f ms, worst %.0f ms%n",
        caseName,
        delaysMs.size(),
        delaysMs.get(delaysMs.size() / 2),
        delaysMs.get(delaysMs.size() - 1));
    assertEquals(List.of(), tooLate);
    assertEquals(offsets, delaysMs.size());
  }

  /** A fault of discovery while an endpoint is up. */
  private interface Fault {
    void begin() throws Exception;
  }

  /**
   * An endpoint serves, the fault begins, the endpoint drains: time (ms) from then to the last
   * command.
   */
  private static double measureDrain(DiscoveryFixture fixture, String endpointId, Fault fault)
      throws Exception {
    fixture.agent.set(fixture.host(endpointId, "active"));
    fixture.awaitServing(endpointId);
    fault.begin();
    long drainingSinceNanos = System.nanoTime();
    fixture.agent.set(fixture.host(endpointId, "leaving"));
    double delayMs = fixture.awaitDrained(endpointId, drainingSinceNanos);
    fixture.agent.set(fixture.host(endpointId, "left"));
    return delayMs;
  }

  /** Bytes of the headers of a watch response. */
  private static final int WATCH_HEADER_BYTES =
      "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n"
          .length();

  /** Bytes of the response to a list request with one endpoint. */
  private static final int LIST_RESPONSE_BYTES =
      "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 180\r\n\r\n".length()
          + 180;

  /**
   * The watch stalls after any number of bytes: in its headers, in a chunk header, in a line, after
   * it.
   */
  @Test
  void watchStallingAtAnyByte() throws Exception {
    int whole = WATCH_HEADER_BYTES + "1\r\n\n\r\n".length() + 190;
    runForEachOffset(
        "watch stalls",
        whole,
        (fixture, k, turn) ->
            measureDrain(
                fixture,
                "w" + k + "t" + turn,
                () -> {
                  fixture.agent.stall(DiscoveryAgentEmulator.ConnectionKind.WATCH, k, 1);
                  fixture.agent.reset();
                  DiscoveryFixture.await("a new watch", () -> fixture.agent.hasStalled());
                }));
  }

  /** The watch stops, and the response to the next list request stalls at any byte. */
  @Test
  void watchAndNextListRequestStallingAtAnyByte() throws Exception {
    runForEachOffset(
        "watch and look stall",
        LIST_RESPONSE_BYTES,
        (fixture, k, turn) ->
            measureDrain(
                fixture,
                "l" + k + "t" + turn,
                () -> {
                  fixture.agent.stallNow(DiscoveryAgentEmulator.ConnectionKind.WATCH);
                  fixture.agent.stall(DiscoveryAgentEmulator.ConnectionKind.LIST, k, 1);
                }));
  }

  /**
   * Discovery's address changes; the first list of the new one stalls at any byte, and the old one
   * goes silent.
   */
  @Test
  void newDiscoveryStallingAtAnyByte() throws Exception {
    runForEachOffset(
        "move, and the first list stalls",
        LIST_RESPONSE_BYTES,
        (fixture, k, turn) -> {
          String id = "m" + k + "t" + turn;
          DiscoveryAgentEmulator old = fixture.agent;
          double ms =
              measureDrain(
                  fixture,
                  id,
                  () -> {
                    DiscoveryAgentEmulator next = new DiscoveryAgentEmulator(7);
                    next.set(fixture.host(id, "active"));
                    next.stall(DiscoveryAgentEmulator.ConnectionKind.LIST, k, 1);
                    fixture.moveDiscovery(next);
                    old.stallNow(DiscoveryAgentEmulator.ConnectionKind.WATCH);
                    DiscoveryFixture.await("the new one is asked", next::hasStalled);
                  });
          old.close();
          return ms;
        });
  }

  /** A start with an outdated endpoint list: discovery's own first list stalls at any byte. */
  @Test
  void firstListAtStartStallingAtAnyByte() throws Exception {
    runForEachOffset(
        "start, and the first list stalls",
        LIST_RESPONSE_BYTES,
        (fixture, k, turn) -> {
          String id = "f" + k + "t" + turn;
          DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(7);
          agent.set(fixture.host(id, "active"));
          agent.stall(DiscoveryAgentEmulator.ConnectionKind.LIST, k, 1);
          CompletableFuture<Long> told =
              CompletableFuture.supplyAsync(
                  () -> {
                    try {
                      DiscoveryFixture.await("the list is asked", agent::hasStalled);
                    } catch (InterruptedException e) {
                      throw new IllegalStateException(e);
                    }
                    long at = System.nanoTime();
                    agent.set(fixture.host(id, "leaving"));
                    return at;
                  });
          try (DiscoveryFixture starting =
              new DiscoveryFixture(agent, fixture, fixture.host(id, "active"))) {
            starting.target = id;
            return starting.awaitDrained(id, told.get());
          }
        });
  }

  /**
   * Discovery is silent while all endpoints are replaced, then sends everything at once: each
   * change is applied.
   */
  @Test
  void allChangesAreAppliedAfterASilence() throws Exception {
    try (DiscoveryFixture fixture = new DiscoveryFixture(new DiscoveryAgentEmulator(40))) {
      for (int i = 0; i < 10; i++) {
        fixture.agent.set(fixture.host("a" + i, "active"));
      }
      fixture.awaitServing("a3");
      fixture.agent.setSilent(true);
      for (int i = 0; i < 10; i++) {
        fixture.agent.set(fixture.host("a" + i, "left"));
        fixture.agent.set(fixture.host("b" + i, "active"));
      }
      Thread.sleep(3000);
      assertTrue(
          fixture.endpointStates.get("a3") == edgenode.policy.EndpointState.UP,
          "nothing was told yet");
      long told = System.nanoTime();
      fixture.agent.setSilent(false);
      double ms = fixture.awaitDrained("a3", told);
      assertTrue(ms < DiscoveryFixture.DRAIN_GRACE_MS, "took " + ms);
      fixture.awaitServing("b7");
    }
  }
}
