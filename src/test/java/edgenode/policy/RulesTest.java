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

class RulesTest {
  /** A day of releases brings ever new servers: nothing is kept of those that left. */
  @Test
  void serversThatLeftAreForgotten() throws ReflectiveOperationException {
    Bench b = Bench.plain().start().servers(2);
    for (int i = 10; i < 60; i++) {
      b.module.endpointsChanged(b.now, List.of(Bench.server(i, EndpointState.UP, 0)), false);
      b.module.endpointsChanged(b.now, List.of(Bench.server(i, EndpointState.REMOVED, 0)), false);
    }
    java.lang.reflect.Field hosts = PolicyEngine.class.getDeclaredField("hosts");
    hosts.setAccessible(true);
    assertEquals(2, ((java.util.Map<?, ?>) hosts.get(b.module)).size());
  }

  @Test
  void everyRequestGetsOneAnswerByItsDeadline() {
    Bench b = Bench.plain().start().servers(2);
    b.arrive(1, "once", "big", "c");
    b.to(2015);
    assertEquals(1, b.count("fail 1"), "sent, never answered: failed at the deadline");
    b.end(1, 0, CallOutcome.CANCELLED);
    b.to(4000);
    assertEquals(1, b.count("fail 1") + b.count("refuse 1"));
  }

  @Test
  void heldRequestIsRefusedWithNoServer() {
    Bench b = Bench.plain().start();
    b.arrive(1, "once", "big", "c");
    b.to(2000);
    assertEquals(1, b.count("refuse 1"));
    assertEquals(0, b.count("send"));
  }

  @Test
  void unsafeIsRepeatedOnlyWhenItNeverRan() {
    Bench b = Bench.plain().start().servers(4);
    b.arrive(1, "once", "big", "c");
    b.end(1, 0, CallOutcome.FULL);
    assertEquals(2, b.count("send 1"));
    b.end(1, 1, CallOutcome.ERROR);
    assertEquals(2, b.count("send 1"));
    assertEquals(1, b.count("fail 1"));
    assertEquals(0, b.count("refuse 1"));
  }

  @Test
  void keyedStaysInItsCellAndIsNotRefused() {
    Bench b = Bench.plain().start().servers(6);
    b.arrive(1, "cell", "big", "c");
    int first = Integer.parseInt(b.sentTo(1).substring(1));
    b.end(1, 0, CallOutcome.ERROR);
    int second = Integer.parseInt(b.sentTo(1).substring(1));
    assertEquals(first / 2, second / 2);
    assertNotEquals(first, second);
    b.to(2015);
    assertEquals(0, b.count("refuse 1"));
    assertEquals(1, b.count("fail 1"));
  }

  @Test
  void keyedStaysInItsZone() {
    Bench b = Bench.plain().start().servers(4);
    b.arrive(1, "zone", "big", "c");
    int first = Integer.parseInt(b.sentTo(1).substring(1));
    b.end(1, 0, CallOutcome.ERROR);
    assertEquals(first / 2 % 2, Integer.parseInt(b.sentTo(1).substring(1)) / 2 % 2);
  }

  @Test
  void keyedIsNotSentAfterItsWindow() {
    Bench b = Bench.plain().start().servers(4);
    b.copies = false;
    b.arrive(1, "all", "big", "c");
    long before = b.count("send 1");
    b.to(399);
    before = b.count("send 1");
    b.end(1, 0, CallOutcome.ERROR);
    b.to(600);
    assertEquals(before, b.count("send 1"), "the window of 400 ms has passed");
  }

  @Test
  void neverTwoOutWhereCopiesAreForbidden() {
    Bench b = Bench.plain();
    b.copies = false;
    b.start().servers(4);
    b.arrive(1, "read", "big", "c");
    b.to(550);
    assertEquals(1, b.count("send 1"));
  }

  @Test
  void drainingServerGetsNothing() {
    Bench b = Bench.plain().start().servers(2);
    b.module.endpointsChanged(b.now, List.of(Bench.server(0, EndpointState.DRAINING, 0)), false);
    for (int i = 1; i <= 4; i++) {
      b.arrive(i, "read", "big", "c");
    }
    b.to(500);
    assertTrue(b.log.stream().noneMatch(l -> l.startsWith("send") && l.endsWith(" s0")));
    assertTrue(b.count("send") > 0);
  }

  @Test
  void coldServerKeepsItsBudgetInEveryWindow() {
    Bench b = Bench.plain().start().servers(2);
    b.now = 1000;
    b.module.endpointsChanged(b.now, List.of(Bench.server(0, EndpointState.UP, 900)), false);
    for (int i = 0; i < 200; i++) {
      b.to(1000 + i * 5);
      b.arrive(i, "read", "big", "c");
      if (i >= 40) {
        b.end(i - 40, 0, CallOutcome.OK);
      }
    }
    long toCold = b.log.stream().filter(l -> l.startsWith("send") && l.endsWith(" s0")).count();
    assertTrue(toCold >= 1 && toCold <= 25, "a quarter is 50, half of them would be 25: " + toCold);
  }

  @Test
  void aHundredGatewaysTogetherKeepTheColdBudget() {
    int toCold = 0;
    for (int n = 0; n < 100; n++) {
      Bench b = Bench.plain();
      b.seed = n;
      b.start().servers(4);
      long id = 0;
      for (int t = 0; t < 4000; t += 400) { // 20 a second at each gateway, 500 at a server
        b.to(t);
        if (t == 2000) {
          b.module.endpointsChanged(t, List.of(Bench.server(0, EndpointState.UP, 1900)), false);
        }
        for (int k = 0; k < 8; k++) { // all at once, so that the cold server looks idle
          b.arrive(++id, "read", "big", "c");
          toCold += t >= 2000 && "s0".equals(b.sentTo(id)) ? 1 : 0;
        }
        b.to(t + 75);
        for (int k = 0; k < 8; k++) {
          b.module.attemptEnded(b.now, id - k, 0, CallOutcome.OK, 75, true, 0, new double[0]);
        }
      }
    }
    assertTrue(
        toCold > 0 && toCold < 300, "in 2 s a warm one gets 1000, a fifth of it is 200: " + toCold);
  }

  @Test
  void aServerThatFailsOneClassIsPassedOverForItAndServesTheOthers() {
    Bench b = Bench.plain().start().servers(2);
    for (int i = 0; i < 20; i++) {
      b.to(i * 200);
      b.arrive(i, "read", "big", "c");
      for (int k = 0;
          k < 5 && b.sentTo(i).equals("s0") && b.count("send " + i + " ") == k + 1;
          k++) {
        b.end(i, k, CallOutcome.ERROR);
      }
      b.module.attemptEnded(
          b.now,
          i,
          (int) b.count("send " + i + " ") - 1,
          CallOutcome.OK,
          75,
          true,
          0,
          new double[0]);
      b.arrive(100 + i, "once", "big", "c");
      b.module.attemptEnded(b.now, 100 + i, 0, CallOutcome.OK, 75, true, 0, new double[0]);
    }
    long failed = b.log.stream().filter(l -> l.matches("send \\d\\d? s0")).count();
    long others = b.log.stream().filter(l -> l.matches("send 1\\d\\d s0")).count();
    assertTrue(failed <= 4, "sent to the server that fails the class: " + failed);
    assertTrue(others >= 5, "the other class is served there: " + others);
  }

  @Test
  void anErrorOfASafeRequestIsTriedElsewhereHoweverManyFail() {
    Bench b = Bench.plain().start().servers(4);
    for (int i = 0; i < 30; i++) {
      b.to(i * 100);
      b.arrive(i, "read", "big", "c");
      String first = b.sentTo(i);
      b.end(i, 0, CallOutcome.ERROR);
      b.to(i * 100 + 30);
      assertNotEquals(first, b.sentTo(i), "request " + i);
      b.end(i, 1, CallOutcome.OK);
    }
  }

  @Test
  void lateAnswersOfAllServersSlowTheGatewayDownAndTimelyOnesBringItBack() {
    Bench b = Bench.plain().start().servers(8);
    long sent = 0;
    for (int i = 0; i < 600; i++) {
      b.to(i * 50);
      sent = i == 200 || i == 500 ? b.count("send") : sent;
      b.arrive(i, "read", "big", "c");
      boolean late = i < 300;
      for (int k = Math.max(0, i - 20); k <= i; k++) {
        b.module.attemptEnded(b.now, k, 0, CallOutcome.OK, late ? 500 : 20, true, 0, new double[0]);
      }
      if (i == 299) {
        assertTrue(b.count("send") - sent < 60, "of 100: " + (b.count("send") - sent));
      }
    }
    assertTrue(b.count("send") - sent > 90, "of 100: " + (b.count("send") - sent));
  }

  @Test
  void ceilingStartsEmptyAndFillsAtTheEvenPart() {
    Bench b = Bench.plain().start().servers(4);
    for (int i = 0; i < 100; i++) {
      b.to(i * 50);
      b.arrive(i, "read", "ceiling", "c");
    }
    long sent =
        b.log.stream()
            .filter(l -> l.startsWith("send"))
            .map(l -> l.split(" ")[1])
            .distinct()
            .count();
    assertTrue(sent >= 8 && sent <= 10, "2 a second for 5 s: " + sent);
  }

  /** Waits for a server: there is none yet. */
  private static long sentOnceThereIsAServer(boolean leaves) {
    Bench b = Bench.plain().start();
    b.arrive(1, "read", "big", "c");
    return sentOnceServersCome(b, leaves);
  }

  /** Waits to be sent again: the only server drains. */
  private static long repeatedOnceThereIsAServer(boolean leaves) {
    Bench b = Bench.plain().start().servers(1);
    b.arrive(1, "read", "big", "c");
    b.module.endpointsChanged(b.now, List.of(Bench.server(0, EndpointState.DRAINING, 0)), false);
    b.end(1, 0, CallOutcome.FULL);
    return sentOnceServersCome(b, leaves) - 1;
  }

  private static long sentOnceServersCome(Bench b, boolean leaves) {
    b.to(10);
    if (leaves) {
      b.module.clientDisconnected(b.now, 1);
    }
    b.servers(4);
    b.to(500);
    return b.count("send 1 ");
  }

  /** Waits for the counter to say that its customer has quota left. */
  private static long sentOnceTheCounterAnswers(boolean leaves) {
    Bench b = new Bench().start().servers(4);
    b.arrive(1, "read", "rate", "c");
    if (leaves) {
      b.module.clientDisconnected(b.now, 1);
    }
    b.to(5);
    b.answerCounter(CallOutcome.OK);
    b.to(500);
    return b.count("send 1 ");
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
    Bench b = Bench.plain().start();
    b.module.endpointsChanged(0, List.of(), true);
    b.module.clientDisconnected(0, 99);
    b.module.attemptEnded(0, 99, 0, CallOutcome.OK, 1, true, 0, new double[0]);
    b.module.timerFired(0, 12345);
    b.module.healthCheckEnded(0, "s9", CallOutcome.OK, 1, new double[0]);
    b.module.counterCallEnded(0, 5, CallOutcome.OK, 1, 3);
    b.module.responseStarted(0, 99, 0);
    assertEquals(0, b.count("send"));
    assertNull(b.sentTo(99));
  }

  /** One failed connect, or reset, is no restart: warm servers were sent as little as cold ones. */
  @Test
  void oneFailedConnectDoesNotMakeAServerCold() {
    for (CallOutcome chance : List.of(CallOutcome.NO_CONNECTION, CallOutcome.RESET)) {
      Bench b = Bench.plain();
      b.nodes = 1; // or the first pace is the bound
      b.start().servers(1);
      b.arrive(1, "read", "big", "c");
      b.end(1, 0, chance);
      b.end(1, 1, CallOutcome.OK);
      long before = b.count("send");
      for (int i = 10; i < 20; i++) {
        b.arrive(i, "read", "big", "c");
      }
      assertEquals(4, b.count("send") - before, "as many as a warm server gets: " + chance);
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
              Bench b = Bench.plain();
              b.nodes = nodes;
              b.me = me;
              b.start();
              for (int edges = 0; edges < 200; edges++) {
                b.now += b.delay;
                b.module.timerFired(b.now, 0);
                assertTrue(b.delay > 0, "no time to the next");
              }
              assertTrue(b.now < 201 * 250 + 1, "one each 250 ms: " + b.now);
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
