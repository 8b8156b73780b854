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
 * Idempotency keys across crashes: a process is killed under load, before a server that would run
 * each request.
 */
class PersistentIdempotencyKeysTest extends EdgeNodeFixture {
  private static final int STUDENTS = 8;
  private static final int CRASHES = 3;
  private static final String IN_MEMORY_SETTINGS = "[repeats]\nenabled = true\nkeep_ms = 30000\n";
  private final Map<String, AtomicInteger> enrolments = new ConcurrentHashMap<>();
  private final AtomicInteger answeredRequests = new AtomicInteger();
  private final AtomicInteger unknownOutcomes = new AtomicInteger();
  private volatile boolean isFinished;
  @TempDir private Path folder;

  /** Serves each connection to this peer. */
  private void acceptConnections(FakePeer peer, boolean countsEnrolments) {
    Thread accepting =
        new Thread(
            () -> {
              while (!isFinished) {
                try {
                  FakePeer.Connection connection = peer.poll(100);
                  if (connection != null) {
                    Thread serving =
                        new Thread(() -> serveConnection(connection, countsEnrolments));
                    serving.setDaemon(true);
                    serving.start();
                  }
                } catch (InterruptedException e) {
                  return;
                }
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  private void serveConnection(FakePeer.Connection connection, boolean countsEnrolments) {
    Random random = new Random(1);
    try {
      connection.socket.setSoTimeout(0);
      while (true) {
        List<String> words = connection.readMessage();
        if (!words.get(0).startsWith("CALL.")) {
          connection.write("+PONG\r\n");
        } else if (countsEnrolments) {
          String key = words.get(3).replaceAll(".*k=([^,]*).*", "$1");
          enrolments.computeIfAbsent(key, k -> new AtomicInteger()).incrementAndGet();
          Thread.sleep(random.nextInt(30));
          connection.writeAppServerValue("seat of " + key);
        }
      }
    } catch (IOException | InterruptedException e) {
      // the node has ended
    }
  }

  /** Submits each of its keys until there is a response. */
  private void submitUntilAnswered(int student, int port) {
    for (int i = 0; !isFinished; i++) {
      String key = student + "-" + i;
      for (int press = 0; !isFinished; press++) {
        try (FakePeer.Connection connection = FakePeer.Connection.connect(port)) {
          connection.writeCommand(
              "CALL.POST",
              CUSTOMER,
              "e" + student + "x" + i + "x" + press,
              "c=write,t=p,d=2000,k=" + key + ",units=1,spread=1,first=0",
              "seat 7");
          String response = connection.readMessage().get(0);
          if (response.startsWith("-BUSY")) {
            continue;
          }
          unknownOutcomes.addAndGet(response.contains("not known") ? 1 : 0);
          answeredRequests.incrementAndGet();
          break;
        } catch (IOException e) {
          pause(); // the node is down: submit again
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

  private String persistentSettings() {
    return IN_MEMORY_SETTINGS + "[store]\nfolder = \"" + folder.resolve("store") + "\"\n";
  }

  /** Returns the number of keys that ran more than once. */
  private long duplicatesAfterKillsUnderLoad(String settings) throws Exception {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      listenPort = free.getLocalPort();
    }
    acceptConnections(appServer, true);
    acceptConnections(counter, false);
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            config().replace("\"per_second\":8,\"depth\":8", "\"per_second\":8000,\"depth\":8000"));
    Path settingsFile = Files.writeString(folder.resolve("edge.toml"), settings);
    List<Thread> students = new ArrayList<>();
    for (int number = 0; number < STUDENTS; number++) {
      int student = number;
      students.add(new Thread(() -> submitUntilAnswered(student, listenPort)));
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
              settingsFile.toString());
      start.environment().put("EDGE_CONFIG", config.toString());
      Process process =
          start.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
      try {
        int answersToAwait = answeredRequests.get() + 150;
        DiscoveryFixture.await(
            "answers, round " + round,
            () -> answeredRequests.get() >= answersToAwait || !process.isAlive());
        assertTrue(process.isAlive(), Files.readString(folder.resolve("log")));
      } finally {
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
      }
    }
    isFinished = true;
    for (Thread t : students) {
      t.join(TimeUnit.SECONDS.toMillis(10));
    }
    return enrolments.values().stream().filter(n -> n.get() > 1).count();
  }

  @Timeout(90)
  @Test
  void noDuplicateEnrolmentWhenNodeIsKilledRepeatedly() throws Exception {
    assertEquals(0, duplicatesAfterKillsUnderLoad(persistentSettings()));
    assertTrue(
        unknownOutcomes.get() > 0, "a request was running at a crash, and its student was told so");
  }

  /**
   * Shows that the test detects the fault: with keys in memory only, requests that ran at a crash
   * run again.
   */
  @Timeout(90)
  @Test
  void withoutAStoreACrashCausesDuplicates() throws Exception {
    assertTrue(duplicatesAfterKillsUnderLoad(IN_MEMORY_SETTINGS) > 0);
  }

  @Test
  void responsesAreReplayedAfterGracefulShutdown() throws Exception {
    hasAdminAddress = true;
    edgeSettingsToml = persistentSettings();
    for (int round = 0; round < 2; round++) {
      start();
      FakePeer.Connection client = connectClient();
      client.writeCommand(
          "CALL.POST",
          CUSTOMER,
          "e" + round,
          "c=write,t=p,d=900,k=1,units=1,spread=1,first=0",
          "7");
      if (round == 0) {
        assertEquals("e0", serverConnection.readMessage().get(2));
        serverConnection.writeAppServerValue("done");
      }
      assertEquals(List.of("done"), client.readMessage());
      assertEquals("serving", figure("/store/state"));
      client.close();
      node.shutdown();
      policyEvents.clear();
    }
    isShutDown = true;
  }
}
