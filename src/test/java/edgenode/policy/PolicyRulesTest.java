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

class PolicyRulesTest {
  /** A day of releases brings ever new servers: nothing is kept of those that left. */
  @Test
  void serversThatLeftAreForgotten() {
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
    assertEquals(1, gateway.count("fail 1"), "sent, never answered: failed at the deadline");
    gateway.endAttempt(1, 0, CallOutcome.CANCELLED);
    gateway.advanceTo(4000);
    assertEquals(1, gateway.count("fail 1") + gateway.count("refuse 1"));
  }

  @Test
  void heldRequestIsRefusedWithNoServer() {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.arrive(1, "once", "big", "c");
    gateway.advanceTo(2000);
    assertEquals(1, gateway.count("refuse 1"));
    assertEquals(0, gateway.count("send"));
  }

  @Test
  void unsafeIsRepeatedOnlyWhenItNeverRan() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    gateway.arrive(1, "once", "big", "c");
    gateway.endAttempt(1, 0, CallOutcome.FULL);
    assertEquals(2, gateway.count("send 1"));
    gateway.endAttempt(1, 1, CallOutcome.ERROR);
    assertEquals(2, gateway.count("send 1"));
    assertEquals(1, gateway.count("fail 1"));
    assertEquals(0, gateway.count("refuse 1"));
  }

  @Test
  void keyedStaysInItsCellAndIsNotRefused() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(6);
    gateway.arrive(1, "cell", "big", "c");
    int first = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    int second = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
    assertEquals(first / 2, second / 2);
    assertNotEquals(first, second);
    gateway.advanceTo(2015);
    assertEquals(0, gateway.count("refuse 1"));
    assertEquals(1, gateway.count("fail 1"));
  }

  @Test
  void keyedStaysInItsZone() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    gateway.arrive(1, "zone", "big", "c");
    int first = Integer.parseInt(gateway.lastEndpointOf(1).substring(1));
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    assertEquals(first / 2 % 2, Integer.parseInt(gateway.lastEndpointOf(1).substring(1)) / 2 % 2);
  }

  @Test
  void keyedIsNotSentAfterItsWindow() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    gateway.canHedge = false;
    gateway.arrive(1, "all", "big", "c");
    long before = gateway.count("send 1");
    gateway.advanceTo(399);
    before = gateway.count("send 1");
    gateway.endAttempt(1, 0, CallOutcome.ERROR);
    gateway.advanceTo(600);
    assertEquals(before, gateway.count("send 1"), "the window of 400 ms has passed");
  }

  @Test
  void neverTwoOutWhereCopiesAreForbidden() {
    FakeGateway gateway = FakeGateway.withoutCounter();
    gateway.canHedge = false;
    gateway.start().listEndpoints(4);
    gateway.arrive(1, "read", "big", "c");
    gateway.advanceTo(550);
    assertEquals(1, gateway.count("send 1"));
  }

  @Test
  void drainingServerGetsNothing() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    gateway.engine.endpointsChanged(
        gateway.nowMs, List.of(FakeGateway.endpoint(0, EndpointState.DRAINING, 0)), false);
    for (int i = 1; i <= 4; i++) {
      gateway.arrive(i, "read", "big", "c");
    }
    gateway.advanceTo(500);
    assertTrue(gateway.actions.stream().noneMatch(l -> l.startsWith("send") && l.endsWith(" s0")));
    assertTrue(gateway.count("send") > 0);
  }

  @Test
  void coldServerKeepsItsBudgetInEveryWindow() {
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
    long toCold =
        gateway.actions.stream().filter(l -> l.startsWith("send") && l.endsWith(" s0")).count();
    assertTrue(toCold >= 1 && toCold <= 25, "a quarter is 50, half of them would be 25: " + toCold);
  }

  @Test
  void aHundredGatewaysTogetherKeepTheColdBudget() {
    int toCold = 0;
    for (int n = 0; n < 100; n++) {
      FakeGateway gateway = FakeGateway.withoutCounter();
      gateway.seed = n;
      gateway.start().listEndpoints(4);
      long id = 0;
      for (int t = 0; t < 4000; t += 400) { // 20 a second at each gateway, 500 at a server
        gateway.advanceTo(t);
        if (t == 2000) {
          gateway.engine.endpointsChanged(
              t, List.of(FakeGateway.endpoint(0, EndpointState.UP, 1900)), false);
        }
        for (int k = 0; k < 8; k++) { // all at once, so that the cold server looks idle
          gateway.arrive(++id, "read", "big", "c");
          toCold += t >= 2000 && "s0".equals(gateway.lastEndpointOf(id)) ? 1 : 0;
        }
        gateway.advanceTo(t + 75);
        for (int k = 0; k < 8; k++) {
          gateway.engine.attemptEnded(
              gateway.nowMs, id - k, 0, CallOutcome.OK, 75, true, 0, new double[0]);
        }
      }
    }
    assertTrue(
        toCold > 0 && toCold < 300, "in 2 s a warm one gets 1000, a fifth of it is 200: " + toCold);
  }

  @Test
  void aServerThatFailsOneClassIsPassedOverForItAndServesTheOthers() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(2);
    for (int i = 0; i < 20; i++) {
      gateway.advanceTo(i * 200);
      gateway.arrive(i, "read", "big", "c");
      for (int k = 0;
          k < 5
              && gateway.lastEndpointOf(i).equals("s0")
              && gateway.count("send " + i + " ") == k + 1;
          k++) {
        gateway.endAttempt(i, k, CallOutcome.ERROR);
      }
      gateway.engine.attemptEnded(
          gateway.nowMs,
          i,
          (int) gateway.count("send " + i + " ") - 1,
          CallOutcome.OK,
          75,
          true,
          0,
          new double[0]);
      gateway.arrive(100 + i, "once", "big", "c");
      gateway.engine.attemptEnded(
          gateway.nowMs, 100 + i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
    }
    long failed = gateway.actions.stream().filter(l -> l.matches("send \\d\\d? s0")).count();
    long others = gateway.actions.stream().filter(l -> l.matches("send 1\\d\\d s0")).count();
    assertTrue(failed <= 4, "sent to the server that fails the class: " + failed);
    assertTrue(others >= 5, "the other class is served there: " + others);
  }

  @Test
  void anErrorOfASafeRequestIsTriedElsewhereHoweverManyFail() {
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
  void lateAnswersOfAllServersSlowTheGatewayDownAndTimelyOnesBringItBack() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(8);
    long sent = 0;
    for (int i = 0; i < 600; i++) {
      gateway.advanceTo(i * 50);
      sent = i == 200 || i == 500 ? gateway.count("send") : sent;
      gateway.arrive(i, "read", "big", "c");
      boolean late = i < 300;
      for (int k = Math.max(0, i - 20); k <= i; k++) {
        gateway.engine.attemptEnded(
            gateway.nowMs, k, 0, CallOutcome.OK, late ? 500 : 20, true, 0, new double[0]);
      }
      if (i == 299) {
        assertTrue(gateway.count("send") - sent < 60, "of 100: " + (gateway.count("send") - sent));
      }
    }
    assertTrue(gateway.count("send") - sent > 90, "of 100: " + (gateway.count("send") - sent));
  }

  @Test
  void ceilingStartsEmptyAndFillsAtTheEvenPart() {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(4);
    for (int i = 0; i < 100; i++) {
      gateway.advanceTo(i * 50);
      gateway.arrive(i, "read", "ceiling", "c");
    }
    long sent =
        gateway.actions.stream()
            .filter(l -> l.startsWith("send"))
            .map(l -> l.split(" ")[1])
            .distinct()
            .count();
    assertTrue(sent >= 8 && sent <= 10, "2 a second for 5 s: " + sent);
  }

  /** Waits for a server: there is none yet. */
  private static long sentOnceThereIsAServer(boolean leaves) {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.arrive(1, "read", "big", "c");
    return sentOnceServersCome(gateway, leaves);
  }

  /** Waits to be sent again: the only server drains. */
  private static long repeatedOnceThereIsAServer(boolean leaves) {
    FakeGateway gateway = FakeGateway.withoutCounter().start().listEndpoints(1);
    gateway.arrive(1, "read", "big", "c");
    gateway.engine.endpointsChanged(
        gateway.nowMs, List.of(FakeGateway.endpoint(0, EndpointState.DRAINING, 0)), false);
    gateway.endAttempt(1, 0, CallOutcome.FULL);
    return sentOnceServersCome(gateway, leaves) - 1;
  }

  private static long sentOnceServersCome(FakeGateway gateway, boolean leaves) {
    gateway.advanceTo(10);
    if (leaves) {
      gateway.engine.clientDisconnected(gateway.nowMs, 1);
    }
    gateway.listEndpoints(4);
    gateway.advanceTo(500);
    return gateway.count("send 1 ");
  }

  /** Waits for the counter to say that its customer has quota left. */
  private static long sentOnceTheCounterAnswers(boolean leaves) {
    FakeGateway gateway = new FakeGateway().start().listEndpoints(4);
    gateway.arrive(1, "read", "rate", "c");
    if (leaves) {
      gateway.engine.clientDisconnected(gateway.nowMs, 1);
    }
    gateway.advanceTo(5);
    gateway.answerCounter(CallOutcome.OK);
    gateway.advanceTo(500);
    return gateway.count("send 1 ");
  }

  /**
   * An attempt for one that left is a break from the third on, and it takes quota and a server from
   * others.
   */
  @Test
  void nothingIsSentForOneThatLeftWhileItWaited() {
    assertEquals(1, sentOnceThereIsAServer(false));
    assertEquals(0, sentOnceThereIsAServer(true));
    assertEquals(1, repeatedOnceThereIsAServer(false));
    assertEquals(0, repeatedOnceThereIsAServer(true));
    assertEquals(1, sentOnceTheCounterAnswers(false));
    assertEquals(0, sentOnceTheCounterAnswers(true));
  }

  @Test
  void oddEventsDoNoHarm() {
    FakeGateway gateway = FakeGateway.withoutCounter().start();
    gateway.engine.endpointsChanged(0, List.of(), true);
    gateway.engine.clientDisconnected(0, 99);
    gateway.engine.attemptEnded(0, 99, 0, CallOutcome.OK, 1, true, 0, new double[0]);
    gateway.engine.timerFired(0, 12345);
    gateway.engine.healthCheckEnded(0, "s9", CallOutcome.OK, 1, new double[0]);
    gateway.engine.counterCallEnded(0, 5, CallOutcome.OK, 1, 3);
    gateway.engine.responseStarted(0, 99, 0);
    assertEquals(0, gateway.count("send"));
    assertNull(gateway.lastEndpointOf(99));
  }

  /** One failed connect, or reset, is no restart: warm servers were sent as little as cold ones. */
  @Test
  void oneFailedConnectDoesNotMakeAServerCold() {
    for (CallOutcome chance : List.of(CallOutcome.NO_CONNECTION, CallOutcome.RESET)) {
      FakeGateway gateway = FakeGateway.withoutCounter();
      gateway.nodeCount = 1; // or the first pace is the bound
      gateway.start().listEndpoints(1);
      gateway.arrive(1, "read", "big", "c");
      gateway.endAttempt(1, 0, chance);
      gateway.endAttempt(1, 1, CallOutcome.OK);
      long before = gateway.count("send");
      for (int i = 10; i < 20; i++) {
        gateway.arrive(i, "read", "big", "c");
      }
      assertEquals(4, gateway.count("send") - before, "as many as a warm server gets: " + chance);
    }
  }

  /**
   * A timer that fires on the very instant of an edge: by rounding that named itself as the next
   * one, for ever.
   */
  @Test
  void anEdgeIsNotItsOwnNext() {
    assertTimeoutPreemptively(
        Duration.ofSeconds(30),
        () -> {
          for (int nodes : new int[] {1, 2, 3, 7, 20, 30, 100}) {
            for (int me = 0; me < nodes; me++) {
              FakeGateway gateway = FakeGateway.withoutCounter();
              gateway.nodeCount = nodes;
              gateway.nodeIndex = me;
              gateway.start();
              for (int edges = 0; edges < 200; edges++) {
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
  void theDeployFileNamesAllFilesOfThePolicy() throws Exception {
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
