package edgenode.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** What one node may send, where, and how it answers; quotas are tested in {@link QuotaTest}. */
class PolicyRulesTest {
  /** A day of releases brings ever new endpoints: records of those that left must not pile up. */
  @Test
  void removedEndpointsAreForgotten() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    for (int i = 10; i < 60; i++) {
      gateway.engine.endpointsChanged(
          gateway.nowMs, List.of(FakeGateway.endpoint(i, EndpointState.UP, 0)), false);
      gateway.engine.endpointsChanged(
          gateway.nowMs, List.of(FakeGateway.endpoint(i, EndpointState.REMOVED, 0)), false);
    }
    assertEquals(2, gateway.engine.endpoints().knownCount());
  }

  @Test
  void everyRequestGetsOneAnswerByItsDeadline() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    gateway.arrive(1, "once", "big", "c");
    gateway.advanceTo(2015);
    assertEquals(1, gateway.actionCount("fail 1"), "sent, never answered: failed at the deadline");
    gateway.endAttempt(1, 0, CallOutcome.CANCELLED);
    gateway.advanceTo(4000);
    assertEquals(1, gateway.actionCount("fail 1") + gateway.actionCount("reject 1"));
  }

  @Test
  void queuedRequestIsRejectedWithoutAnyEndpoint() {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.arrive(1, "once", "big", "c");
    gateway.advanceTo(2000);
    assertEquals(1, gateway.actionCount("reject 1"));
    assertEquals(0, gateway.actionCount("send"));
  }

  @Test
  void notIdempotentIsRetriedOnlyWhenItCannotHaveRun() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    gateway.arrive(1, "once", "big", "c");
    gateway.endAttempt(1, 0, CallOutcome.FULL);
    assertEquals(2, gateway.actionCount("send 1"));
    gateway.endAttempt(1, 1, CallOutcome.ERROR);
    assertEquals(2, gateway.actionCount("send 1"));
    assertEquals(1, gateway.actionCount("fail 1"));
    assertEquals(0, gateway.actionCount("reject 1"));
  }

  @Test
  void keyedRetryStaysInItsCellAndIsNotRejected() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(6);
    gateway.arrive(1, "cell", "big", "c");
    int first = gateway.lastEndpointNumberOf(1);
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    int second = gateway.lastEndpointNumberOf(1);
    assertEquals(first / 2, second / 2);
    assertNotEquals(first, second);
    gateway.advanceTo(2015);
    assertEquals(0, gateway.actionCount("reject 1"));
    assertEquals(1, gateway.actionCount("fail 1"));
  }

  /**
   * Guards against a request that ran twice: a new process came up under the name of the one that
   * may have run it, in another cell, and the retry went to that cell.
   */
  @Test
  void keyedRetryStaysInTheCellInWhichItWasSent() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(6);
    gateway.arrive(1, "cell", "big", "c");
    int first = gateway.lastEndpointNumberOf(1);
    int otherCell = (first / 2 + 1) % 3;
    gateway.engine.endpointsChanged(
        gateway.nowMs,
        List.of(new EndpointInfo("s" + first, otherCell, "a", EndpointState.UP, "k", 1, 1)),
        false);
    gateway.endAttempt(1, 0, CallOutcome.RESET);
    int second = gateway.lastEndpointNumberOf(1);
    assertEquals(first / 2, second / 2);
    assertNotEquals(first, second);
  }

  @Test
  void keyedRetryStaysInItsZone() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    gateway.arrive(1, "zone", "big", "c");
    int first = gateway.lastEndpointNumberOf(1);
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    assertEquals(first / 2 % 2, gateway.lastEndpointNumberOf(1) / 2 % 2);
  }

  @Test
  void keyedIsNotRetriedAfterItsIdempotencyWindow() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.canHedge = false;
    gateway.start().listEndpoints(4);
    gateway.arrive(1, "all", "big", "c");
    gateway.advanceTo(399);
    long before = gateway.actionCount("send 1");
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    gateway.advanceTo(600);
    assertEquals(before, gateway.actionCount("send 1"), "the window of 400 ms has passed");
  }

  @Test
  void noSecondAttemptInFlightWhereHedgingIsForbidden() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.canHedge = false;
    gateway.start().listEndpoints(4);
    gateway.arrive(1, "read", "big", "c");
    gateway.advanceTo(550);
    assertEquals(1, gateway.actionCount("send 1"));
  }

  @Test
  void drainingEndpointGetsNothing() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    gateway.engine.endpointsChanged(
        gateway.nowMs, List.of(FakeGateway.endpoint(0, EndpointState.DRAINING, 0)), false);
    for (int i = 1; i <= 4; i++) {
      gateway.arrive(i, "read", "big", "c");
    }
    gateway.advanceTo(500);
    assertEquals(0, gateway.sendsTo("s0"));
    assertTrue(gateway.actionCount("send") > 0);
  }

  @Test
  void coldEndpointKeepsItsBudgetInEveryWindow() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    gateway.nowMs = 1000;
    gateway.engine.endpointsChanged(
        gateway.nowMs, List.of(FakeGateway.endpoint(0, EndpointState.UP, 900)), false);
    for (int i = 0; i < 200; i++) {
      gateway.advanceTo(1000 + i * 5);
      gateway.arrive(i, "read", "big", "c");
      if (i >= 40) {
        gateway.endAttempt(i - 40, 0, CallOutcome.OK);
      }
    }
    long toCold = gateway.sendsTo("s0");
    assertTrue(toCold >= 1 && toCold <= 25, "a quarter is 50, half of them would be 25: " + toCold);
  }

  @Test
  void aHundredNodesTogetherKeepTheSlowStartBudget() {
    int toCold = 0;
    for (int seed = 0; seed < 100; seed++) {
      FakeGateway gateway = FakeGateway.withoutCounter();
      gateway.seed = seed;
      gateway.start().listEndpoints(4);
      long id = 0;
      for (int t = 0; t < 4000; t += 400) { // 20 a second at each node, 500 at an endpoint
        gateway.advanceTo(t);
        if (t == 2000) {
          gateway.engine.endpointsChanged(
              t, List.of(FakeGateway.endpoint(0, EndpointState.UP, 1900)), false);
        }
        for (int k = 0; k < 8; k++) { // all at once, so that the cold endpoint looks idle
          gateway.arrive(++id, "read", "big", "c");
          toCold += t >= 2000 && "s0".equals(gateway.lastEndpointOf(id)) ? 1 : 0;
        }
        gateway.advanceTo(t + 75);
        for (int k = 0; k < 8; k++) {
          gateway.answerAfter(id - k, 75);
        }
      }
    }
    assertTrue(
        toCold > 0 && toCold < 300, "in 2 s a warm one gets 1000, a fifth of it is 200: " + toCold);
  }

  @Test
  void endpointThatFailsOneClassIsAvoidedForItAndServesTheOthers() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    for (int i = 0; i < 20; i++) {
      gateway.advanceTo(i * 200);
      gateway.arrive(i, "read", "big", "c");
      for (int k = 0;
          k < 5
              && gateway.lastEndpointOf(i).equals("s0")
              && gateway.actionCount("send " + i + " ") == k + 1;
          k++) {
        gateway.endAttempt(i, k, CallOutcome.ERROR);
      }
      gateway.engine.attemptEnded(
          gateway.nowMs,
          i,
          (int) gateway.actionCount("send " + i + " ") - 1,
          new AttemptResult(CallOutcome.OK, 75, 0, new double[0]),
          true);
      gateway.arrive(100 + i, "once", "big", "c");
      gateway.answerAfter(100 + i, 75);
    }
    long failed = gateway.actions.stream().filter(l -> l.matches("send \\d\\d? s0")).count();
    long others = gateway.actions.stream().filter(l -> l.matches("send 1\\d\\d s0")).count();
    assertTrue(failed <= 4, "sent to the endpoint that fails the class: " + failed);
    assertTrue(others >= 5, "the other class is served there: " + others);
  }

  @Test
  void idempotentRequestIsRetriedElsewhereHoweverManyFail() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    for (int i = 0; i < 30; i++) {
      gateway.advanceTo(i * 100);
      gateway.arrive(i, "read", "big", "c");
      String first = gateway.lastEndpointOf(i);
      gateway.endAttempt(i, 0, CallOutcome.ERROR);
      gateway.advanceTo(i * 100 + 30);
      assertNotEquals(first, gateway.lastEndpointOf(i), "request " + i);
      gateway.endAttempt(i, 1, CallOutcome.OK);
    }
  }

  @Test
  void lateAnswersOfAllEndpointsLowerThePaceAndTimelyOnesRaiseIt() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(8);
    long sent = 0;
    for (int i = 0; i < 600; i++) {
      gateway.advanceTo(i * 50);
      sent = i == 200 || i == 500 ? gateway.actionCount("send") : sent;
      gateway.arrive(i, "read", "big", "c");
      boolean late = i < 300;
      for (int k = Math.max(0, i - 20); k <= i; k++) {
        gateway.answerAfter(k, late ? 500 : 20);
      }
      if (i == 299) {
        assertTrue(
            gateway.actionCount("send") - sent < 60,
            "of 100: " + (gateway.actionCount("send") - sent));
      }
    }
    assertTrue(
        gateway.actionCount("send") - sent > 90, "of 100: " + (gateway.actionCount("send") - sent));
  }

  @Test
  void ceilingStartsEmptyAndFillsAtTheEvenShare() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 50);
      gateway.arrive(i, "read", "ceiling", "c");
    }
    long sent = gateway.requestsSent();
    assertTrue(sent >= 8 && sent <= 10, "2 a second for 5 s: " + sent);
  }

  /** The request waits in the queue: there is no endpoint yet. */
  private static long sendsOfQueuedRequest(boolean disconnects) {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.arrive(1, "read", "big", "c");
    return sendsOnceEndpointsCome(gateway, disconnects);
  }

  /** The request waits for a retry: the only endpoint drains. */
  private static long retriesOfWaitingRequest(boolean disconnects) {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(1);
    gateway.arrive(1, "read", "big", "c");
    gateway.engine.endpointsChanged(
        gateway.nowMs, List.of(FakeGateway.endpoint(0, EndpointState.DRAINING, 0)), false);
    gateway.endAttempt(1, 0, CallOutcome.FULL);
    return sendsOnceEndpointsCome(gateway, disconnects) - 1;
  }

  private static long sendsOnceEndpointsCome(FakeGateway gateway, boolean disconnects) {
    gateway.advanceTo(10);
    if (disconnects) {
      gateway.engine.clientDisconnected(gateway.nowMs, 1);
    }
    gateway.listEndpoints(4);
    gateway.advanceTo(500);
    return gateway.actionCount("send 1 ");
  }

  /** The request waits for the counter. */
  private static long sendsOnceTheCounterAnswers(boolean disconnects) {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(4);
    gateway.arrive(1, "read", "rate", "c");
    if (disconnects) {
      gateway.engine.clientDisconnected(gateway.nowMs, 1);
    }
    gateway.advanceTo(5);
    gateway.answerCounter(CallOutcome.OK);
    gateway.advanceTo(500);
    return gateway.actionCount("send 1 ");
  }

  /** An attempt for a client that has gone takes quota and capacity from others. */
  @Test
  void nothingIsSentForAClientThatDisconnectedWhileWaiting() {
    assertEquals(1, sendsOfQueuedRequest(false));
    assertEquals(0, sendsOfQueuedRequest(true));
    assertEquals(1, retriesOfWaitingRequest(false));
    assertEquals(0, retriesOfWaitingRequest(true));
    assertEquals(1, sendsOnceTheCounterAnswers(false));
    assertEquals(0, sendsOnceTheCounterAnswers(true));
  }

  @Test
  void eventsWithUnknownIdsDoNoHarm() {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.engine.endpointsChanged(0, List.of(), true);
    gateway.engine.clientDisconnected(0, 99);
    gateway.engine.attemptEnded(
        0, 99, 0, new AttemptResult(CallOutcome.OK, 1, 0, new double[0]), true);
    gateway.engine.timerFired(0, 12345);
    gateway.engine.healthCheckEnded(0, "s9", CallOutcome.OK, 1, new double[0]);
    gateway.engine.counterCallEnded(0, 5, CallOutcome.OK, 1, 3);
    gateway.engine.responseStarted(0, 99, 0);
    assertEquals(0, gateway.actionCount("send"));
    assertNull(gateway.lastEndpointOf(99));
  }

  /** One failed connect was taken for a restart: warm endpoints got as little as cold ones. */
  @Test
  void oneFailedConnectStartsNoWarmUp() {
    for (CallOutcome fault : List.of(CallOutcome.NO_CONNECTION, CallOutcome.RESET)) {
      FakeGateway gateway = FakeGateway.withoutCounter();
      gateway.nodeCount = 1; // or the initial pace is the limit
      gateway.start().listEndpoints(1);
      gateway.arrive(1, "read", "big", "c");
      gateway.endAttempt(1, 0, fault);
      gateway.endAttempt(1, 1, CallOutcome.OK);
      long before = gateway.actionCount("send");
      for (int i = 10; i < 20; i++) {
        gateway.arrive(i, "read", "big", "c");
      }
      assertEquals(
          4, gateway.actionCount("send") - before, "as many as a warm endpoint gets: " + fault);
    }
  }

  /** By rounding, a tick that was due at this very instant was scheduled anew without end. */
  @Test
  void quotaTickIsNotItsOwnNext() {
    assertTimeoutPreemptively(
        Duration.ofSeconds(30),
        () -> {
          for (int nodes : new int[] {1, 2, 3, 7, 20, 30, 100}) {
            for (int index = 0; index < nodes; index++) {
              FakeGateway gateway = FakeGateway.withoutCounter();
              gateway.nodeCount = nodes;
              gateway.nodeIndex = index;
              gateway.start();
              for (int ticks = 0; ticks < 200; ticks++) {
                gateway.nowMs += gateway.lastTimerDelayMs;
                gateway.engine.timerFired(gateway.nowMs, 0);
                assertTrue(gateway.lastTimerDelayMs > 0, "no time to the next");
              }
              assertTrue(gateway.nowMs < 201 * 250 + 1, "one each 250 ms: " + gateway.nowMs);
            }
          }
        });
  }

  /** The deploy file names every file that decides, and nothing else. */
  @Test
  void deployFileNamesAllFilesOfThePolicy() throws Exception {
    String policy =
        Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("policy = "))
            .findFirst()
            .orElseThrow();
    try (Stream<Path> files = Files.walk(Path.of("src/main/java/edgenode/policy"))) {
      String expected =
          files
              .filter(file -> file.toString().endsWith(".java"))
              .map(file -> '"' + file.toString() + '"')
              .sorted()
              .collect(Collectors.joining(", ", "policy = [", "]"));
      assertEquals(expected, policy);
    }
  }
}
