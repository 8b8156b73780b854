package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Idempotency keys through crashes: a real process is killed under load, before a server that would
 * enrol twice.
 */
class LastingTest extends NodeFixture {
  private static final int STUDENTS = 8;
  private static final int CRASHES = 3;
  private static final String MEMORY = "[repeats]\nenabled = true\nkeep_ms = 30000\n";
  private final Map<String, AtomicInteger> enrolments = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unknown = new AtomicInteger();
  private volatile boolean ending;
  @TempDir private Path folder;

  /** Answers each connection that comes. */
  private void answers(Peer peer, boolean enrols) {
    Thread accepting =
        new Thread(
            () -> {
              while (!ending) {
                try {
                  Peer.Line line = peer.poll(100);
                  if (line != null) {
                    Thread one = new Thread(() -> answer(line, enrols));
                    one.setDaemon(true);
                    one.start();
                  }
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  private void answer(Peer.Line line, boolean enrols) {
    Random random = new Random(1);
    try {
      line.socket.setSoTimeout(0);
      while (true) {
        List<String> words = line.message();
        if (!words.get(0).startsWith("CALL.")) {
          line.write("+PONG\r\n");
        } else if (enrols) {
          String key = words.get(3).replaceAll(".*k=([^,]*).*", "$1");
          enrolments.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
          Thread.sleep(random.nextInt(30));
          line.value("seat of " + key);
        }
      }
    } catch (IOException | InterruptedException e) {
      // the node has gone
    }
  }

  /** Presses until an answer comes, with one key after the other. */
  private void student(int who, int port) {
    for (int i = 0; !ending; i++) {
      String key = who + "-" + i;
      for (int press = 0; !ending; press++) {
        try (Peer.Line line = Peer.Line.to(port)) {
          line.command(
              "CALL.POST",
              CUSTOMER,
              "e" + who + "x" + i + "x" + press,
              "c=write,t=p,d=2000,k=" + key + ",units=1,spread=1,first=0",
              "seat 7");
          String answer = line.message().get(0);
          if (answer.startsWith("-BUSY")) {
            continue;
          }
          unknown.addAndGet(answer.contains("not known") ? 1 : 0);
          answered.incrementAndGet();
          break;
        } catch (IOException e) {
          pause(); // the node is away: the student presses again
        }
      }
    }
  }

  private static void pause() {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String lasting() {
    return MEMORY + "[store]\nfolder = \"" + folder.resolve("store") + "\"\n";
  }

  /** Returns how many keys were enrolled more than once. */
  private long killedUnderLoad(String settings) throws Exception {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = free.getLocalPort();
    }
    answers(app, true);
    answers(counter, false);
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            config().replace("\"per_second\":8,\"depth\":8", "\"per_second\":8000,\"depth\":8000"));
    Path own = Files.writeString(folder.resolve("edge.toml"), settings);
    List<Thread> students = new ArrayList<>();
    for (int who = 0; who < STUDENTS; who++) {
      int me = who;
      students.add(new Thread(() -> student(me, port)));
    }
    students.forEach(Thread::start);
    for (int round = 0; round <= CRASHES; round++) {
      String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
      ProcessBuilder start =
          new ProcessBuilder(
              java,
              "-cp",
              System.getProperty("java.class.path"),
              "edgenode.Main",
              "serve",
              "--settings",
              own.toString());
      start.environment().put("EDGE_CONFIG", config.toString());
      Process process =
          start.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
      try {
        int until = answered.get() + 150;
        Rig.await("answers, round " + round, () -> answered.get() >= until || !process.isAlive());
        assertTrue(process.isAlive(), Files.readString(folder.resolve("log")));
      } finally {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    }
    ending = true;
    for (Thread t : students) {
      t.join(TimeUnit.SECONDS.toMillis(10));
    }
    return enrolments.values().stream().filter(n -> n.get() > 1).count();
  }

  @Timeout(90)
  @Test
  void nobodyIsEnrolledTwiceHoweverOftenTheNodeIsKilled() throws Exception {
    assertEquals(0, killedUnderLoad(lasting()));
    assertTrue(unknown.get() > 0, "a request was running at a crash, and its student was told so");
  }

  /** The test of the test: with keys in memory only, those that ran at a crash run again. */
  @Timeout(90)
  @Test
  void withoutAStoreACrashEnrolsTwice() throws Exception {
    assertTrue(killedUnderLoad(MEMORY) > 0);
  }

  @Test
  void answersAreGivenAgainAfterAGoodEndAndSettingsAreChecked() throws Exception {
    admin = true;
    own = lasting();
    for (int round = 0; round < 2; round++) {
      start();
      Peer.Line client = client();
      client.command(
          "CALL.POST",
          CUSTOMER,
          "e" + round,
          "c=write,t=p,d=900,k=1,units=1,spread=1,first=0",
          "7");
      if (round == 0) {
        assertEquals("e0", server.message().get(2));
        server.value("done");
      }
      assertEquals(List.of("done"), client.message());
      assertEquals("serving", figure("/store/state"));
      client.close();
      node.drain();
      told.clear();
    }
    drained = true;
  }
}
