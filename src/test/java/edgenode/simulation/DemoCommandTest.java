package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.AppServerListener;
import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CustomerClients;
import edgenode.node.FakePeer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** {@code try} as a newcomer runs it, and its world as tests use it. */
@Timeout(60)
class DemoCommandTest {
  private static Process run(String... options) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "edgenode.Main",
                "demo"));
    command.addAll(List.of(options));
    return new ProcessBuilder(command).start();
  }

  private static BufferedReader lines(java.io.InputStream in) {
    return new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
  }

  private static String until(BufferedReader out, String what) throws IOException {
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.contains(what)) {
        return line;
      }
    }
    throw new AssertionError("never told: " + what);
  }

  /**
   * A shell starts what it puts in the background with SIGINT ignored, and that is inherited
   * (POSIX, 2.11).
   */
  private static boolean interruptsIgnored() throws IOException {
    return Files.readAllLines(Path.of("/proc/self/status")).stream()
        .filter(l -> l.startsWith("SigIgn:"))
        .anyMatch(l -> (Long.parseUnsignedLong(l.substring(7).strip(), 16) & 2) != 0);
  }

  /**
   * The request it prints is pasted, to the byte, and answered; what passes is told; Ctrl-C ends
   * all.
   */
  @Test
  void theRequestItPrintsIsServedAndCtrlCEndsIt() throws Exception {
    Process process = run();
    try (BufferedReader out = lines(process.getInputStream())) {
      int port = Integer.parseInt(until(out, "edge node").replaceAll(".*:", ""));
      String paste =
          until(out, "printf '")
              .replaceAll(".*printf '(.*)' \\| nc.*", "$1")
              .replace("\\r\\n", "\r\n");
      until(out, "What passes");
      try (FakePeer.Connection line = FakePeer.Connection.connect(port)) {
        line.write(paste);
        assertTrue(line.readMessage().get(0).startsWith("ok 1 by s"), "served");
      }
      assertTrue(
          until(out, " gets ").contains("CALL.GET 1 of 0000000012ab34cd c=seat-lookup,t=estandar"));
      until(out, "answers 1: value");
      boolean deaf = interruptsIgnored();
      assertEquals(
          0,
          new ProcessBuilder("kill", deaf ? "-TERM" : "-INT", Long.toString(process.pid()))
              .start()
              .waitFor());
      assertTrue(process.waitFor(10, TimeUnit.SECONDS), "Ctrl-C does not end it");
      assertEquals(deaf ? 143 : 130, process.exitValue());
      assertThrows(
          IOException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
    } finally {
      process.destroyForcibly();
    }
  }

  @Test
  void campusesAskByThemselves() throws Exception {
    Process process = run("--rate", "40", "--servers", "2");
    try (BufferedReader out = lines(process.getInputStream())) {
      until(out, "requests a second of stand-in campuses");
      until(out, "campuses: served"); // the first second may have begun late
      String line = until(out, "campuses: served");
      assertTrue(Integer.parseInt(line.replaceAll(".*served (\\d+),.*", "$1")) > 10, line);
    } finally {
      process.destroy();
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    }
  }

  /** One line to standard error, exit 2, nothing left running. */
  private static void refused(String expected, String... options) throws Exception {
    Process process = run(options);
    String err = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(20, TimeUnit.SECONDS), "still running");
    assertEquals(2, process.exitValue(), err);
    assertEquals(1, err.lines().count(), err);
    assertTrue(err.contains(expected), err);
  }

  @Test
  void badInputIsOneLineAndExitTwo() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      refused(
          "127.0.0.1:" + taken.getLocalPort(), "--port", Integer.toString(taken.getLocalPort()));
    }
    refused("--servers: found 0, allowed is 1 to 50", "--servers", "0");
    refused("--rate", "--rate", "soon");
    refused("--bogus", "--bogus");
    Process help = run("--help");
    assertTrue(
        new String(help.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .contains("--rate"));
    assertEquals(0, help.waitFor());
  }

  /**
   * A window opens at ten times the load of a moment before, a server dies at the peak and returns
   * cold: each try has one end, none is lost, and the campus of the smallest plan gets no more than
   * its quota.
   */
  @Test
  void aWindowOpensAndAServerReturnsCold() throws Exception {
    Map<CustomerClients.Fate, AtomicInteger> fates = new EnumMap<>(CustomerClients.Fate.class);
    for (CustomerClients.Fate fate : CustomerClients.Fate.values()) {
      fates.put(fate, new AtomicInteger());
    }
    AtomicInteger small = new AtomicInteger();
    Map<String, AtomicInteger> enrolled = new ConcurrentHashMap<>();
    AppServerListener effects =
        new AppServerListener() {
          @Override
          public void commandReceived(double now, String server, ReceivedCommand command) {
            if (command.isExecuted()
                && command.customer().equals(EmulatedWorld.CAMPUSES.get(0).id())) {
              small.incrementAndGet();
            }
            if (command.idempotencyKey() != null && command.isExecuted()) {
              enrolled
                  .computeIfAbsent(command.requestId(), k -> new AtomicInteger())
                  .incrementAndGet();
            }
          }
        };
    double seconds = 6;
    try (EmulatedWorld world =
        new EmulatedWorld(0, 3, 11, effects, (now, name, amount, total) -> {}, line -> {})) {
      ArrivalProcess arrivals =
          new ArrivalProcess(
              11, EmulatedWorld.CAMPUSES, EmulatedWorld.KINDS, ms -> ms < 2000 ? 20 : 200, 200);
      CustomerClients clients =
          new CustomerClients(
              world.loop(),
              arrivals,
              CustomerClients.RetryOptions.DEFAULT,
              world.address(),
              (of, retry, fate, ms) -> fates.get(fate).incrementAndGet(),
              11);
      world.loop().execute(clients::start);
      world
          .loop()
          .execute(
              () ->
                  world
                      .loop()
                      .schedule(
                          3000,
                          () -> {
                            world.servers().get(0).crash();
                            world
                                .loop()
                                .schedule(
                                    1000,
                                    () -> {
                                      world
                                          .servers()
                                          .get(0)
                                          .restart(world.servers().get(0).address());
                                      world.discovery().set(world.servers().get(0).entry("active"));
                                    });
                          }));
      Thread.sleep((long) (seconds * 1000));
      world.loop().execute(clients::stop);
      for (int open = 1; open > 0; ) { // each has its end: an answer, or its client's patience
        open = CompletableFuture.supplyAsync(clients::openAttempts, world.loop().group()).join();
        Thread.sleep(5);
      }
      world.loop().execute(clients::close);
    }
    int served = fates.get(CustomerClients.Fate.SERVED).get();
    assertTrue(served > 200, fates.toString());
    assertTrue(fates.get(CustomerClients.Fate.REFUSED).get() > 0, "the quota bites: " + fates);
    assertEquals(0, fates.get(CustomerClients.Fate.LOST).get(), fates.toString());
    assertEquals(0, fates.get(CustomerClients.Fate.NOT_CONNECTED).get(), fates.toString());
    // plan basico: 5 a second and 10 at once; a try takes its units once, so attempts again may
    // come on top
    assertTrue(small.get() <= 10 + 5 * seconds * 1.05 + 3, "beyond its quota: " + small.get());
    assertTrue(enrolled.size() > 20, "enrolled: " + enrolled.size());
    assertFalse(enrolled.values().stream().anyMatch(n -> n.get() > 1), "an enrol had two effects");
  }
}
