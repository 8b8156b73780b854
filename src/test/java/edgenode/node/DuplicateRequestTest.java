package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Duplicate submissions at a real node, before a server that would run each of them. */
class DuplicateRequestTest extends EdgeNodeFixture {
  private int lastRequestId;

  @BeforeEach
  void enableIdempotency() {
    hasAdminAddress = true;
    edgeSettingsToml = "[repeats]\nenabled = true\nkeep_ms = 30000\n";
    maxDescriptors = 512;
  }

  private void sendEnrolment(FakePeer.Connection client, String key, int waitMs, String body)
      throws IOException {
    client.writeCommand(
        "CALL.POST",
        CUSTOMER,
        "e" + ++lastRequestId,
        "c=write,t=p,d=" + waitMs + ",k=" + key + ",units=1,spread=1,first=0",
        body);
  }

  /** Returns a client whose request is running at the server. */
  private FakePeer.Connection clientWithRunningEnrolment(String key) throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendEnrolment(client, key, 5000, "seat 7");
    assertEquals("e1", nextRequestIdOrNull(serverConnection));
    return client;
  }

  /** Returns the id of the next request at the server, or null where none arrives for a while. */
  private String nextRequestIdOrNull(FakePeer.Connection serverSide) throws IOException {
    serverSide.socket.setSoTimeout(300);
    try {
      return serverSide.readMessage().get(2);
    } catch (java.net.SocketTimeoutException e) {
      return null;
    } finally {
      serverSide.socket.setSoTimeout(10_000);
    }
  }

  private void assertFiguresConsistent() throws IOException {
    assertEquals("true", figure("/adds_up"));
    assertEquals("0", figure("/in_flight"));
  }

  @Test
  void deduplicationIsOffByDefault() throws Exception {
    edgeSettingsToml = "[repeats]\nkeep_ms = 30000\n";
    start();
    FakePeer.Connection client = connectClient();
    sendEnrolment(client, "1", 900, "seat 7");
    assertNotNull(nextRequestIdOrNull(serverConnection));
    serverConnection.writeAppServerValue("done");
    client.readMessage();
    sendEnrolment(client, "1", 900, "seat 7");
    assertNotNull(nextRequestIdOrNull(serverConnection));
    assertNull(figure("/repeats/entries"));
  }

  @Test
  void duplicateOfRunningRequestGetsItsResponse() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    List<FakePeer.Connection> again = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      again.add(connectClient());
      sendEnrolment(again.get(i), "1", 5000, "seat 7");
    }
    figure("/in_flight", "4");
    assertNull(appServer.poll(200));
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), client.readMessage());
    for (FakePeer.Connection connection : again) {
      assertEquals(List.of("done"), connection.readMessage());
    }
    assertNull(nextRequestIdOrNull(serverConnection));
    assertEquals("4", figure("/requests/write/served"));
    assertEquals("1", figure("/requests/write/attempts"));
    assertFiguresConsistent();
  }

  @Test
  void duplicateOfAnsweredRequestGetsReplayedResponse() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), client.readMessage());
    sendEnrolment(client, "1", 900, "seat 7");
    assertEquals(List.of("done"), client.readMessage());
    assertNull(nextRequestIdOrNull(serverConnection));
    sendEnrolment(client, "2", 900, "seat 7"); // another key is another request
    assertNotNull(nextRequestIdOrNull(serverConnection));
    serverConnection.writeAppServerValue("second");
    assertEquals(List.of("second"), client.readMessage());
    assertEquals("1", figure("/repeats/replayed"));
    assertFiguresConsistent();
  }

  /** The client reconnects: the request goes on, and its response is not lost. */
  @Test
  void duplicateGetsResponseAfterFirstClientDisconnects() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    client.close();
    figure("/requests/write/abandoned", "1");
    figure("/in_flight", "0");
    FakePeer.Connection again = connectClient();
    sendEnrolment(again, "1", 5000, "seat 7");
    figure("/in_flight", "1");
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), again.readMessage());
    FakePeer.Connection third = connectClient();
    sendEnrolment(third, "1", 5000, "seat 7");
    assertEquals(List.of("done"), third.readMessage());
    assertNull(nextRequestIdOrNull(serverConnection));
    assertFiguresConsistent();
  }

  /**
   * Nothing ran: the next request with the key is forwarded and does not get the response of the
   * first.
   */
  @Test
  void requestThatDidNotRunMayBeRetried() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    for (int i = 0; i < 2; i++) {
      sendEnrolment(client, "1", 900, "seat 7");
      nextRequestIdOrNull(serverConnection);
      serverConnection.write("-BUSY\r\n");
      assertEquals(List.of("-ERR failed"), client.readMessage()); // as the scripted policy decides
    }
    sendEnrolment(client, "1", 900, "seat 7");
    assertEquals("e3", nextRequestIdOrNull(serverConnection));
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), client.readMessage());
    assertFiguresConsistent();
  }

  /** The request may have run: a duplicate gets the same response and is not forwarded. */
  @Test
  void requestThatMayHaveRunIsNotRetried() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    serverConnection.write("-ERR failed\r\n");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    sendEnrolment(client, "1", 900, "seat 7");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertNull(nextRequestIdOrNull(serverConnection));
    sendEnrolment(client, "2", 200, "seat 7");
    assertNotNull(nextRequestIdOrNull(serverConnection));
    assertEquals(
        List.of("-ERR failed"), client.readMessage()); // no response in time: it may still run
    sendEnrolment(client, "2", 900, "seat 7");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertNull(appServer.poll(200));
    assertFiguresConsistent();
  }

  @Test
  void keyOfAnotherRequestIsRejected() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    FakePeer.Connection other = connectClient();
    sendEnrolment(other, "1", 5000, "seat 8");
    assertTrue(other.readMessage().get(0).startsWith("-ERR k belongs"));
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), client.readMessage());
    sendEnrolment(other, "1", 5000, "seat 8");
    assertTrue(other.readMessage().get(0).startsWith("-ERR k belongs"));
    assertNull(nextRequestIdOrNull(serverConnection));
    assertEquals("2", figure("/repeats/clashed"));
    assertFiguresConsistent();
  }

  @Test
  void duplicateHasItsOwnDeadline() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    FakePeer.Connection again = connectClient();
    sendEnrolment(again, "1", 200, "seat 7");
    assertEquals(List.of("-ERR failed"), again.readMessage());
    FakePeer.Connection gone = connectClient();
    sendEnrolment(gone, "1", 5000, "seat 7");
    figure("/in_flight", "2");
    gone.close();
    figure("/in_flight", "1");
    serverConnection.writeAppServerValue("done");
    assertEquals(List.of("done"), client.readMessage());
    assertFiguresConsistent();
  }

  /** Guards against retries of a request whose response nobody waits for. */
  @Test
  void requestWithoutWaitingClientIsNotRetried() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    client.writeCommand(
        "CALL.POST", CUSTOMER, "e1", "c=again,t=p,d=5000,k=1,units=1,spread=1,first=0");
    assertEquals("e1", nextRequestIdOrNull(serverConnection));
    client.close();
    figure("/in_flight", "0");
    serverConnection.close();
    FakePeer.Connection other = connectClient();
    lastRequestId = 1;
    figure("/repeats/entries", "1"); // it may have run
    sendEnrolment(other, "2", 5000, "seat 8");
    assertEquals("e2", nextRequestIdOrNull(appServer.accept()));
  }

  /**
   * A long value is streamed and not cached; waiting duplicates get an error, and nothing runs
   * again.
   */
  @Test
  void longValueIsNotReplayed() throws Exception {
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    FakePeer.Connection again = connectClient();
    sendEnrolment(again, "1", 5000, "seat 7");
    figure("/in_flight", "2");
    String value = "v".repeat(100_000);
    serverConnection.writeAppServerValue(value);
    assertEquals(List.of(value), client.readMessage());
    assertTrue(again.readMessage().get(0).startsWith("-ERR a repeat"));
    sendEnrolment(again, "1", 5000, "seat 7");
    assertTrue(again.readMessage().get(0).startsWith("-ERR a repeat"));
    assertNull(nextRequestIdOrNull(serverConnection));
    assertFiguresConsistent();
  }

  @Test
  void keyExpiresAfterRetention() throws Exception {
    edgeSettingsToml = "[repeats]\nenabled = true\nkeep_ms = 300\n";
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    serverConnection.writeAppServerValue("done");
    client.readMessage();
    Thread.sleep(400); // the delay is what is tested
    sendEnrolment(client, "1", 900, "seat 7");
    assertNotNull(nextRequestIdOrNull(serverConnection));
  }

  @Test
  void fullKeyTableRejectsWithRetryAfter() throws Exception {
    edgeSettingsToml =
        "[repeats]\nenabled = true\nkeep_ms = 30000\nentries = 1\nwhen_full = \"refuse\"\n";
    FakePeer.Connection client = clientWithRunningEnrolment("1");
    serverConnection.writeAppServerValue("done");
    client.readMessage();
    sendEnrolment(client, "2", 900, "seat 7");
    String response = client.readMessage().get(0);
    assertTrue(response.startsWith("-BUSY "), response);
    int retryAfterMs = Integer.parseInt(response.substring(6));
    assertTrue(retryAfterMs > 20_000 && retryAfterMs <= 30_000, response);
    assertNull(nextRequestIdOrNull(serverConnection));
    assertFiguresConsistent();
  }

  /**
   * Many clients that submit again, disconnect and reconnect, before a server that counts each
   * effect and detects no duplicates: while the key table has capacity none runs twice, and all
   * submissions of a key get the same response.
   */
  @Test
  void noDuplicateEffectWhileKeyTableHasCapacity() throws Exception {
    start();
    Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
    countEffects(serverConnection, effects);
    Thread accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  FakePeer.Connection connection = appServer.poll(10_000);
                  if (connection == null) {
                    return;
                  }
                  countEffects(connection, effects);
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            });
    accepting.setDaemon(true);
    accepting.start();
    int port = ((InetSocketAddress) node.address()).getPort();
    Map<String, String> answers = new ConcurrentHashMap<>();
    AtomicInteger answerCount = new AtomicInteger();
    List<String> errors = java.util.Collections.synchronizedList(new ArrayList<>());
    List<Thread> students = new ArrayList<>();
    for (int number = 0; number < 16; number++) {
      int student = number;
      Thread thread =
          new Thread(() -> submitRepeatedly(port, student, answers, answerCount, errors));
      thread.start();
      students.add(thread);
    }
    for (Thread thread : students) {
      thread.join();
    }
    assertEquals(List.of(), errors);
    assertTrue(answerCount.get() > 400, answerCount + " answers");
    figure("/in_flight", "0");
    long duplicates = effects.values().stream().filter(n -> n.get() > 1).count();
    assertEquals(0, duplicates, "keys that ran twice, of " + effects.size());
    long repeats =
        Long.parseLong(figure("/repeats/followed")) + Long.parseLong(figure("/repeats/replayed"));
    assertTrue(
        effects.size() > 80 && repeats > 200, effects.size() + " keys, " + repeats + " repeats");
    assertEquals("true", figure("/adds_up"));
    accepting.interrupt();
  }

  private void submitRepeatedly(
      int port,
      int student,
      Map<String, String> answers,
      AtomicInteger answerCount,
      List<String> errors) {
    Random random = new Random(student);
    try {
      for (int round = 0; round < 12; round++) {
        String key = student / 2 + "r" + round; // two clients of one student
        for (int i = 0; i < 4; i++) {
          try (FakePeer.Connection connection = FakePeer.Connection.connect(port)) {
            connection.writeCommand(
                "CALL.POST",
                CUSTOMER,
                student + "-" + round + "-" + i,
                "c=write,t=p,d=5000,k=" + key + ",units=1,spread=1,first=0",
                "seat " + key);
            if (random.nextInt(3) == 0) {
              TimeUnit.MILLISECONDS.sleep(random.nextInt(8));
              continue; // disconnected before the response
            }
            String answer = connection.readMessage().get(0);
            answerCount.incrementAndGet();
            String before = answers.putIfAbsent(key, answer);
            if (before != null && !before.equals(answer)) {
              errors.add(key + ": " + before + ", then " + answer);
            }
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      errors.add("student " + student + ": " + e);
    }
  }

  /** Each command has an effect; its response names the number of effects of the key. */
  private static void countEffects(
      FakePeer.Connection connection, Map<String, AtomicInteger> effects) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  String parameters = connection.readMessage().get(3);
                  String key =
                      parameters.substring(
                          parameters.indexOf("k=") + 2, parameters.indexOf(",units"));
                  int count =
                      effects.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
                  TimeUnit.MILLISECONDS.sleep(key.hashCode() & 7);
                  connection.writeAppServerValue("effect " + count + " of " + key);
                }
              } catch (IOException | InterruptedException e) {
                // the node has closed it
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
