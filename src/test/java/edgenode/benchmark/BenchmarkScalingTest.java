package edgenode.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import edgenode.config.NodeConfig;
import edgenode.net.discovery.EndpointListJson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The arithmetic of the slopes, and that the command measures what it says. No time is judged. */
@Timeout(120)
class BenchmarkScalingTest {
  private static final double EXACT = 1e-9;
  private static final int CPU = 1000;

  @TempDir Path folder;

  // ---- the fit ----

  @Test
  void aLineIsFoundAgain() {
    LeastSquaresFit fit =
        LeastSquaresFit.line(new double[] {1, 2, 4, 8}, new double[] {5, 8, 14, 26});
    assertEquals(3, fit.slope(), EXACT);
    assertEquals(2, fit.intercept(), EXACT);
    assertEquals(0, fit.standardError(), EXACT);
    assertEquals(1, fit.rSquared(), EXACT);
    assertEquals(0, fit.maxRelativeError(), EXACT);
    assertEquals(32, fit.at(10), EXACT);
  }

  /** By hand: the mean of y is 2, Sxx 2, Sxy 1, so the slope is 1/2 and SSE 1.5 of Syy 2. */
  @Test
  void whatIsOffTheLineIsTheError() {
    LeastSquaresFit fit = LeastSquaresFit.line(new double[] {1, 2, 3}, new double[] {1, 3, 2});
    assertEquals(0.5, fit.slope(), EXACT);
    assertEquals(1, fit.intercept(), EXACT);
    assertEquals(Math.sqrt(0.75), fit.standardError(), EXACT);
    assertEquals(0.25, fit.rSquared(), EXACT);
    assertEquals(0.5, fit.maxRelativeError(), EXACT, "1.5 for what is 1");
  }

  @Test
  void aPowerLawIsALineOfLogarithms() {
    LeastSquaresFit fit =
        LeastSquaresFit.isPowerLaw(
            new double[] {40, 400, 4000, 40_000},
            new double[] {
              7 * Math.pow(40, 1.5),
              7 * Math.pow(400, 1.5),
              7 * Math.pow(4000, 1.5),
              7 * Math.pow(40_000, 1.5)
            });
    assertEquals(1.5, fit.slope(), EXACT);
    assertEquals(Math.log(7), fit.intercept(), EXACT);
    assertEquals(7 * Math.pow(190_000, 1.5), fit.at(190_000), 1e-3);
    assertEquals(1, fit.rSquared(), EXACT);
  }

  @Test
  void twoPointsOrAZeroAreNoPowerLaw() {
    CostCurve.Measurement a = new CostCurve.Measurement(1, 2, 2, 2, 1);
    CostCurve.Measurement b = new CostCurve.Measurement(2, 4, 4, 4, 1);
    assertNull(new CostCurve("s", "q", "us", "n", List.of(a, b), List.of()).power());
    assertNull(new CostCurve("s", "q", "us", "n", List.of(a, b), List.of()).line());
    CostCurve zero =
        new CostCurve(
            "s",
            "q",
            "us",
            "n",
            List.of(a, b, new CostCurve.Measurement(3, 0, 0, 0, 1)),
            List.of());
    assertNull(zero.power());
    assertNotNull(zero.line());
  }

  // ---- the meter ----

  /** A clock of the test's own: each call takes 3 us, and what is prepared is not measured. */
  @Test
  void aPointIsTheMedianTimeOfOneCall() {
    AtomicLong cpu = new AtomicLong();
    CostCurve.Measurement p =
        new CpuMeter(cpu::get, 10)
            .time(
                5,
                new CpuMeter.Work() {
                  @Override
                  public void prepare() {
                    cpu.addAndGet(77_777);
                  }

                  @Override
                  public void run(int times) {
                    assertTrue(times <= maxTimes());
                    cpu.addAndGet(3L * CPU * times);
                  }
                });
    assertEquals(new CostCurve.Measurement(5, 3, 3, 3, 7), p);
  }

  /** Work that takes far longer than its point is not repeated seven times. */
  @Test
  void dearWorkIsRepeatedThreeTimes() {
    AtomicLong cpu = new AtomicLong();
    List<Integer> runs = new ArrayList<>();
    CostCurve.Measurement p =
        new CpuMeter(cpu::get, 1)
            .time(
                1,
                times -> {
                  runs.add(times);
                  cpu.addAndGet(50_000L * CPU * times);
                });
    assertEquals(3, p.repeats());
    assertEquals(List.of(1, 1, 1, 1), runs, "one to warm up");
    assertEquals(50_000, p.median());
  }

  @Test
  void theMedianOfAnEvenNumberLiesBetween() {
    assertEquals(
        new CostCurve.Measurement(1, 2.5, 1, 9, 4), CpuMeter.point(1, new double[] {9, 2, 1, 3}));
  }

  @Test
  void whatTheBudgetLeavesOutIsTold() throws Exception {
    BenchmarkRun run = new BenchmarkRun(null, null, -1, line -> {});
    run.beginStudy("s");
    run.measure("q", "us", "n", new int[] {1, 2}, n -> CpuMeter.value(n, 1, () -> 1));
    assertEquals(
        List.of("1: not run, --budget was over", "2: not run, --budget was over"),
        run.curves().get(0).missing());
    assertTrue(run.curves().get(0).points().isEmpty());
  }

  // ---- what is measured ----

  @Test
  void theListAndTheConfigurationAreInTheirRealForms() throws IOException {
    byte[] list = CoreStudies.list(300, 7, true).getBytes(StandardCharsets.US_ASCII);
    EndpointListJson read =
        EndpointListJson.parse(
            list,
            list.length,
            bad -> {
              throw new AssertionError(bad);
            });
    assertEquals(300, read.endpoints().size());
    assertEquals(7, read.version());
    assertTrue(read.isComplete());
    NodeConfig config =
        NodeConfig.reload(WireStudies.configuration(50).getBytes(StandardCharsets.UTF_8), Map.of());
    assertEquals(50, config.settings().plans().size());
    assertEquals(5500, config.settings().nodeCount());
  }

  /**
   * The same seed, the same day; every unit that is sent lies within quota and burst while the
   * counter answers.
   */
  @Test
  void aFleetIsPlayedTheSameTwice() {
    FleetStudies.Scenario terms = FleetStudies.fleet(10, 10, FleetStudies.TARGET_CUSTOMER_RATE, 4);
    FleetStudies.Result one = FleetStudies.play(terms, 1);
    assertEquals(one, FleetStudies.play(terms, 1));
    assertEquals(10 * 10 * 10, one.requests(), 150, "ten nodes, ten a second, ten seconds");
    assertTrue(one.calls() > 0);
    assertEquals((double) one.calls() / one.requests(), one.callsPerRequest(), EXACT);
  }

  /** Even parts of a lost counter sum up to the quota. */
  @Test
  void aCounterThatIsLostLeavesTheQuota() {
    FleetStudies.Result there = FleetStudies.play(FleetStudies.outage(5, 0), 1);
    FleetStudies.Result lost = FleetStudies.play(FleetStudies.outage(5, 5), 1);
    assertTrue(
        there.overQuotaShare() < 1.1, "sent over quota with a counter: " + there.overQuotaShare());
    assertTrue(
        lost.overQuotaShare() > 0.5 && lost.overQuotaShare() < 1.5,
        "sent over quota without: " + lost.overQuotaShare());
  }

  // ---- the command ----

  @Test
  void theCommandPrintsATableAndWritesAReport() throws Exception {
    Path out = folder.resolve("out");
    Path err = folder.resolve("err");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "edgenode.Main",
                "benchmark-scaling",
                "--only",
                "decide,forms",
                "--servers",
                "10,20,40",
                "--point-ms",
                "1",
                "--report",
                folder.toString())
            .redirectOutput(out.toFile())
            .redirectError(err.toFile())
            .start();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS), "does not end");
    String table = Files.readString(out);
    assertEquals(0, process.exitValue(), table + Files.readString(err));
    assertEquals(
        5 + 4,
        table.lines().filter(l -> l.startsWith("| decide |") || l.startsWith("| forms |")).count());
    assertTrue(
        Files.readString(err).contains("decide, a request, arrived to ended: 40 servers: "),
        "progress");
    int points = 0;
    try (JsonParser json = new JsonFactory().createParser(folder.resolve("slopes.json").toFile())) {
      while (json.nextToken() != null) {
        points += "median".equals(json.currentName()) && json.currentToken().isNumeric() ? 1 : 0;
      }
    }
    assertEquals(5 * 3 + 3 + 3 * 4, points);
  }

  @Test
  void wrongInputIsRefused() throws Exception {
    Path err = folder.resolve("err");
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "edgenode.Main",
                "slopes",
                "--only",
                "decode")
            .redirectError(err.toFile())
            .start();
    assertTrue(process.waitFor(60, TimeUnit.SECONDS), "does not end");
    assertEquals(2, process.exitValue());
    assertTrue(
        Files.readString(err).contains("--only: found 'decode', allowed are decide, customers"));
  }
}
