package willowyoke.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import willowyoke.standin.Arrivals;
import willowyoke.standin.CampusClients;
import willowyoke.standin.Capacity;

/** Edge nodes and their world in virtual time: the same seed gives the same day, to the byte. */
@Timeout(120)
class SimulationTest {
    /** A window opens, a server dies at the peak and returns cold, another drains: 12 s. */
    private static Simulation day(long seed) throws Exception {
        Simulation day = new Simulation(seed, 2, 4, new Capacity.Size(2, 16, 32, 8, 0.3, 5000), line -> { });
        for (int node = 0; node < 2; node++) {
            day.ask(node, new Arrivals(seed + node, World.CAMPUSES, World.KINDS, ms -> ms < 3000 ? 10 : 100, 100),
                CampusClients.Habits.USUAL, seed + node);
        }
        day.at(5000, () -> day.servers().get(0).die());
        day.at(6500, () -> {
            day.servers().get(0).back(day.servers().get(0).address());
            day.discovery().set(day.servers().get(0).entry("active"));
        });
        day.at(8000, () -> day.discovery().set(day.servers().get(1).entry("leaving")));
        day.run(12_000);
        day.settle();
        return day;
    }

    /** What a run of its own prints: the events and their sum. */
    public static void main(String[] args) throws Exception {
        Simulation day = day(Long.parseLong(args[0]));
        System.out.println(day.trace().events() + " " + day.trace().sha256());
    }

    private static String inAnotherJvm(String seed, String heap) throws Exception {
        List<String> command = new ArrayList<>(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), heap, "-cp",
            System.getProperty("java.class.path"), SimulationTest.class.getName(), seed));
        Process process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String out = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS));
        return out;
    }

    @Test void theSameSeedIsTheSameDayToTheByte() throws Exception {
        Simulation one = day(7);
        String text = one.trace().events() + " " + one.trace().sha256();
        assertTrue(one.trace().events() > 3000, text);
        assertEquals(text, day(7).trace().events() + " " + day(7).trace().sha256());
        assertEquals(text, inAnotherJvm("7", "-Xmx64m"), "another JVM, another heap");
        assertNotEquals(one.trace().sha256(), day(8).trace().sha256());
    }

    @Test void eachTryHasOneEndAndNoneIsLost() throws Exception {
        long from = System.nanoTime();
        Simulation day = day(11);
        double ms = (System.nanoTime() - from) / 1e6;
        System.out.printf("12 s of 2 nodes and 4 servers: %.0f ms, %d events, %s%n", ms, day.trace().events(),
            day.fates());
        assertTrue(day.fates().get(CampusClients.Fate.SERVED) > 700, day.fates().toString());
        assertTrue(day.fates().get(CampusClients.Fate.REFUSED) > 0, "the quota bites: " + day.fates());
        assertEquals(0, day.fates().getOrDefault(CampusClients.Fate.LOST, 0), day.fates().toString());
        assertEquals(0, day.fates().getOrDefault(CampusClients.Fate.NOT_CONNECTED, 0), day.fates().toString());
    }
}
