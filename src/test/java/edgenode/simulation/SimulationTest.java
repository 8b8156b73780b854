package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.CustomerClients;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Edge nodes and their world in virtual time: the same seed gives the same day, to the byte. */
@Timeout(120)
class SimulationTest {
  private static ScenarioRun day(long seed) throws Exception {
    return ScenarioRun.play(Scenarios.of("everything"), seed);
  }

  /** What a run of its own prints: the events and their sum. */
  public static void main(String[] args) throws Exception {
    ScenarioRun day = day(Long.parseLong(args[0]));
    System.out.println(day.events() + " " + day.sha256());
  }

  private static String inAnotherJvm(String seed, String heap) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                heap,
                "-cp",
                System.getProperty("java.class.path"),
                SimulationTest.class.getName(),
                seed));
    Process process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    String out =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    return out;
  }

  @Test
  void theSameSeedIsTheSameDayToTheByte() throws Exception {
    ScenarioRun one = day(7);
    String text = one.events() + " " + one.sha256();
    assertTrue(one.events() > 10_000, text);
    ScenarioRun two = day(7);
    assertEquals(text, two.events() + " " + two.sha256());
    assertEquals(text, inAnotherJvm("7", "-Xmx128m"), "another JVM, another heap");
    assertNotEquals(one.sha256(), day(8).sha256());
  }

  @Test
  void eachTryHasOneEnd() throws Exception {
    ScenarioRun day = ScenarioRun.play(Scenarios.of("window-opening"), 11);
    assertTrue(day.fates().get(CustomerClients.Fate.SERVED) > 700, day.fates().toString());
    assertTrue(
        day.fates().get(CustomerClients.Fate.REFUSED) > 0, "the quota bites: " + day.fates());
    assertEquals(0, day.fates().getOrDefault(CustomerClients.Fate.LOST, 0), day.fates().toString());
    assertEquals(
        0, day.fates().getOrDefault(CustomerClients.Fate.NOT_CONNECTED, 0), day.fates().toString());
  }
}
