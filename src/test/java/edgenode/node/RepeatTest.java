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

/** A student presses enrol twice, at a real node before a server that would enrol twice. */
class RepeatTest extends NodeFixture {
  private int ids;

  @BeforeEach
  void recognised() {
    admin = true;
    own = "[repeats]\nenabled = true\nkeep_ms = 30000\n";
    sockets = 512;
  }

  private void enrol(Peer.Line client, String key, int wait, String body) throws IOException {
    client.command(
        "CALL.POST",
        CUSTOMER,
        "e" + ++ids,
        "c=write,t=p,d=" + wait + ",k=" + key + ",units=1,spread=1,first=0",
        body);
  }

  /** A client whose enrolment is running at the server. */
  private Peer.Line running(String key) throws Exception {
    start();
    Peer.Line client = client();
    enrol(client, key, 5000, "seat 7");
    assertEquals("e1", asked(server));
    return client;
  }

  /** What the server is asked next, or null where nothing comes for a while. */
  private String asked(Peer.Line at) throws IOException {
    at.socket.setSoTimeout(300);
    try {
      return at.message().get(2);
    } catch (java.net.SocketTimeoutException e) {
      return null;
    } finally {
      at.socket.setSoTimeout(10_000);
    }
  }

  private void addsUp() throws IOException {
    assertEquals("true", figure("/adds_up"));
    assertEquals("0", figure("/in_flight"));
  }

  @Test
  void offUnlessTheSettingsSayOtherwise() throws Exception {
    own = "[repeats]\nkeep_ms = 30000\n";
    start();
    Peer.Line client = client();
    enrol(client, "1", 900, "seat 7");
    assertNotNull(asked(server));
    server.value("done");
    client.message();
    enrol(client, "1", 900, "seat 7");
    assertNotNull(asked(server));
    assertNull(figure("/repeats/entries"));
  }

  @Test
  void oneThatComesWhileTheFirstRunsGetsItsAnswer() throws Exception {
    Peer.Line client = running("1");
    List<Peer.Line> again = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      again.add(client());
      enrol(again.get(i), "1", 5000, "seat 7");
    }
    figure("/in_flight", "4");
    assertNull(app.poll(200));
    server.value("done");
    assertEquals(List.of("done"), client.message());
    for (Peer.Line line : again) {
      assertEquals(List.of("done"), line.message());
    }
    assertNull(asked(server));
    assertEquals("4", figure("/requests/write/served"));
    assertEquals("1", figure("/requests/write/attempts"));
    addsUp();
  }

  @Test
  void oneThatComesJustAfterTheAnswerGetsItAgain() throws Exception {
    Peer.Line client = running("1");
    server.value("done");
    assertEquals(List.of("done"), client.message());
    enrol(client, "1", 900, "seat 7");
    assertEquals(List.of("done"), client.message());
    assertNull(asked(server));
    enrol(client, "2", 900, "seat 7"); // another key is another wish
    assertNotNull(asked(server));
    server.value("second");
    assertEquals(List.of("second"), client.message());
    assertEquals("1", figure("/repeats/replayed"));
    addsUp();
  }

  /** The browser was closed and opened again: the work goes on, and its answer is not lost. */
  @Test
  void theFirstsClientMayGoAway() throws Exception {
    Peer.Line client = running("1");
    client.close();
    figure("/requests/write/abandoned", "1");
    figure("/in_flight", "0");
    Peer.Line again = client();
    enrol(again, "1", 5000, "seat 7");
    figure("/in_flight", "1");
    server.value("done");
    assertEquals(List.of("done"), again.message());
    Peer.Line third = client();
    enrol(third, "1", 5000, "seat 7");
    assertEquals(List.of("done"), third.message());
    assertNull(asked(server));
    addsUp();
  }

  /** Nothing ran: the next one may try, and is not told what the first was told. */
  @Test
  void whatDidNotRunMayBeTriedAgain() throws Exception {
    start();
    Peer.Line client = client();
    for (int i = 0; i < 2; i++) {
      enrol(client, "1", 900, "seat 7");
      asked(server);
      server.write("-BUSY\r\n");
      assertEquals(List.of("-ERR failed"), client.message()); // so the scripted module has it
    }
    enrol(client, "1", 900, "seat 7");
    assertEquals("e3", asked(server));
    server.value("done");
    assertEquals(List.of("done"), client.message());
    addsUp();
  }

  /** It may have run: a repeat is told the same, and nothing goes out. */
  @Test
  void whatMayHaveRunIsNotTriedAgain() throws Exception {
    Peer.Line client = running("1");
    server.write("-ERR failed\r\n");
    assertEquals(List.of("-ERR failed"), client.message());
    enrol(client, "1", 900, "seat 7");
    assertEquals(List.of("-ERR failed"), client.message());
    assertNull(asked(server));
    enrol(client, "2", 200, "seat 7");
    assertNotNull(asked(server));
    assertEquals(List.of("-ERR failed"), client.message()); // no answer in time: it may run yet
    enrol(client, "2", 900, "seat 7");
    assertEquals(List.of("-ERR failed"), client.message());
    assertNull(app.poll(200));
    addsUp();
  }

  @Test
  void aKeyOfAnotherRequestIsRefusedAndNothingRuns() throws Exception {
    Peer.Line client = running("1");
    Peer.Line other = client();
    enrol(other, "1", 5000, "seat 8");
    assertTrue(other.message().get(0).startsWith("-ERR k belongs"));
    server.value("done");
    assertEquals(List.of("done"), client.message());
    enrol(other, "1", 5000, "seat 8");
    assertTrue(other.message().get(0).startsWith("-ERR k belongs"));
    assertNull(asked(server));
    assertEquals("2", figure("/repeats/clashed"));
    addsUp();
  }

  @Test
  void oneThatFollowsHasItsOwnTime() throws Exception {
    Peer.Line client = running("1");
    Peer.Line again = client();
    enrol(again, "1", 200, "seat 7");
    assertEquals(List.of("-ERR failed"), again.message());
    Peer.Line gone = client();
    enrol(gone, "1", 5000, "seat 7");
    figure("/in_flight", "2");
    gone.close();
    figure("/in_flight", "1");
    server.value("done");
    assertEquals(List.of("done"), client.message());
    addsUp();
  }

  /** It went on to all its attempts, though nobody waited for its answer any more. */
  @Test
  void oneThatNobodyWaitsForIsNotSentAgain() throws Exception {
    start();
    Peer.Line client = client();
    client.command("CALL.POST", CUSTOMER, "e1", "c=again,t=p,d=5000,k=1,units=1,spread=1,first=0");
    assertEquals("e1", asked(server));
    client.close();
    figure("/in_flight", "0");
    server.close();
    Peer.Line other = client();
    ids = 1;
    figure("/repeats/entries", "1"); // it may have run
    enrol(other, "2", 5000, "seat 8");
    assertEquals("e2", asked(app.accept()));
  }

  /**
   * A long value is passed on and not kept; those that wait are told so, and nothing runs again.
   */
  @Test
  void aLongValueIsNotGivenAgain() throws Exception {
    Peer.Line client = running("1");
    Peer.Line again = client();
    enrol(again, "1", 5000, "seat 7");
    figure("/in_flight", "2");
    String value = "v".repeat(100_000);
    server.value(value);
    assertEquals(List.of(value), client.message());
    assertTrue(again.message().get(0).startsWith("-ERR a repeat"));
    enrol(again, "1", 5000, "seat 7");
    assertTrue(again.message().get(0).startsWith("-ERR a repeat"));
    assertNull(asked(server));
    addsUp();
  }

  @Test
  void afterItsTimeAKeyIsFree() throws Exception {
    own = "[repeats]\nenabled = true\nkeep_ms = 300\n";
    Peer.Line client = running("1");
    server.value("done");
    client.message();
    Thread.sleep(400); // the time itself is what is tested
    enrol(client, "1", 900, "seat 7");
    assertNotNull(asked(server));
  }

  @Test
  void aFullStoreThatRefusesSaysWhenToComeAgain() throws Exception {
    own = "[repeats]\nenabled = true\nkeep_ms = 30000\nentries = 1\nwhen_full = \"refuse\"\n";
    Peer.Line client = running("1");
    server.value("done");
    client.message();
    enrol(client, "2", 900, "seat 7");
    String told = client.message().get(0);
    assertTrue(told.startsWith("-BUSY "), told);
    int after = Integer.parseInt(told.substring(6));
    assertTrue(after > 20_000 && after <= 30_000, told);
    assertNull(asked(server));
    addsUp();
  }

  /**
   * Impatient students by the dozen, who press again, close and come back, before a server that
   * notes each effect and drops no repeat: with room for all keys none happens twice, and each has
   * one answer for all of its presses.
   */
  @Test
  void noEnrolmentHappensTwiceWhileTheStoreHasRoom() throws Exception {
    start();
    Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
    serve(server, effects);
    Thread accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  Peer.Line line = app.poll(10_000);
                  if (line == null) {
                    return;
                  }
                  serve(line, effects);
                }
              } catch (InterruptedException e) {
                // the test is over
              }
            });
    accepting.setDaemon(true);
    accepting.start();
    int port = ((InetSocketAddress) node.address()).getPort();
    Map<String, String> answers = new ConcurrentHashMap<>();
    AtomicInteger given = new AtomicInteger();
    List<String> wrong = java.util.Collections.synchronizedList(new ArrayList<>());
    List<Thread> students = new ArrayList<>();
    for (int s = 0; s < 16; s++) {
      int student = s;
      Thread thread = new Thread(() -> press(port, student, answers, given, wrong));
      thread.start();
      students.add(thread);
    }
    for (Thread thread : students) {
      thread.join();
    }
    assertEquals(List.of(), wrong);
    assertTrue(given.get() > 400, given + " answers");
    figure("/in_flight", "0");
    long twice = effects.values().stream().filter(n -> n.get() > 1).count();
    assertEquals(0, twice, "keys that ran twice, of " + effects.size());
    long repeats =
        Long.parseLong(figure("/repeats/followed")) + Long.parseLong(figure("/repeats/replayed"));
    assertTrue(
        effects.size() > 80 && repeats > 200, effects.size() + " keys, " + repeats + " repeats");
    assertEquals("true", figure("/adds_up"));
    accepting.interrupt();
  }

  private void press(
      int port, int student, Map<String, String> answers, AtomicInteger given, List<String> wrong) {
    Random random = new Random(student);
    try {
      for (int round = 0; round < 12; round++) {
        String key = student / 2 + "r" + round; // two browsers of one student
        for (int i = 0; i < 4; i++) {
          try (Peer.Line line = Peer.Line.to(port)) {
            line.command(
                "CALL.POST",
                CUSTOMER,
                student + "-" + round + "-" + i,
                "c=write,t=p,d=5000,k=" + key + ",units=1,spread=1,first=0",
                "seat " + key);
            if (random.nextInt(3) == 0) {
              TimeUnit.MILLISECONDS.sleep(random.nextInt(8));
              continue; // gone before the answer
            }
            String answer = line.message().get(0);
            given.incrementAndGet();
            String before = answers.putIfAbsent(key, answer);
            if (before != null && !before.equals(answer)) {
              wrong.add(key + ": " + before + ", then " + answer);
            }
          }
        }
      }
    } catch (IOException | InterruptedException e) {
      wrong.add("student " + student + ": " + e);
    }
  }

  /** Each command is an effect; its answer tells its number. */
  private static void serve(Peer.Line line, Map<String, AtomicInteger> effects) {
    Thread thread =
        new Thread(
            () -> {
              try {
                while (true) {
                  String list = line.message().get(3);
                  String key = list.substring(list.indexOf("k=") + 2, list.indexOf(",units"));
                  int n = effects.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
                  TimeUnit.MILLISECONDS.sleep(key.hashCode() & 7);
                  line.value("effect " + n + " of " + key);
                }
              } catch (IOException | InterruptedException e) {
                // the node has ended it
              }
            });
    thread.setDaemon(true);
    thread.start();
  }
}
