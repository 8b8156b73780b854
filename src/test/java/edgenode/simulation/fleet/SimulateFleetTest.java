package edgenode.simulation.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import edgenode.policy.PolicyEngine;
import edgenode.simulation.SimulationCommands;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * A small fleet of hollow nodes: it repeats, it is judged by counts, and each judge finds what is
 * planted for it.
 */
@Timeout(120)
class SimulateFleetTest {
  private static final int SECONDS = 15;

  /**
   * The honest twins of what is planted: a day with incidents, and one with a day's ordinary churn.
   */
  private static final FleetVerdicts.Run HONEST = run(shape(8, 160, false, 5));

  private static final FleetVerdicts.Run CALM =
      run(new Shape(6, 120, 3, 200, 300, SECONDS, 24, 6, false, false, 5));

  private static Shape shape(int nodes, int servers, boolean flat, long seed) {
    return new Shape(
        nodes, servers, servers / 40, 30 * nodes, 40 * nodes, SECONDS, 1, nodes, flat, true, seed);
  }

  private static FleetVerdicts.Run run(Shape shape) {
    return new FleetVerdicts.Run(
        shape, new Fleet(shape, PolicyEngine::new).run(share -> {}, false), 0);
  }

  private static Map<String, FleetVerdicts.Word> words(List<FleetVerdicts.Verdict> all) {
    return all.stream()
        .collect(
            Collectors.toMap(
                FleetVerdicts.Verdict::name,
                FleetVerdicts.Verdict::word,
                (a, b) -> b,
                TreeMap::new));
  }

  private static String broken(List<FleetVerdicts.Verdict> all) {
    return all.stream()
        .filter(v -> v.word() == FleetVerdicts.Word.BROKEN)
        .map(FleetVerdicts.Verdict::name)
        .collect(Collectors.joining("; "));
  }

  @Test
  void theSameShapeAndSeedAreTheSameRun() {
    Tally one = run(shape(6, 120, false, 7)).tally();
    Tally two = run(shape(6, 120, false, 7)).tally();
    assertTrue(one.sends > 2500, "sends " + one.sends);
    assertEquals(one.digest(), two.digest());
    assertEquals(one.events, two.events);
    assertEquals(one.applied.getTotalCount(), two.applied.getTotalCount());
    assertNotEquals(one.digest(), run(shape(6, 120, false, 8)).tally().digest());
  }

  /**
   * One service's list costs a node the same however large the fleet is; one list for all does not,
   * and is named.
   */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void aSmallFleetHoldsAndItsCostsGrowAsNamed(boolean flat) {
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    for (int nodes : new int[] {4, 8, 16}) {
      FleetVerdicts.Run run = run(shape(nodes, 20 * nodes, flat, 3));
      List<FleetVerdicts.Verdict> all = FleetVerdicts.of(run);
      assertEquals("", broken(all), all.toString());
      runs.add(run);
    }
    List<FleetVerdicts.Verdict> slopes = FleetVerdicts.slopes(runs);
    assertEquals("", broken(slopes), slopes.toString());
    assertEquals(
        flat ? FleetVerdicts.Word.GROWS : FleetVerdicts.Word.HELD,
        words(slopes).get("growth of entries listed"));
    assertEquals(
        flat ? FleetVerdicts.Word.GROWS : FleetVerdicts.Word.HELD,
        words(slopes).get("growth of bytes of a whole list"));
  }

  @ParameterizedTest
  @CsvSource({
    "NEVER_ANSWERS, one final answer a request",
    "ANSWERS_TWICE, one final answer a request",
    "SENDS_TO_GONE, 'nothing sent to a server told draining, gone or not at all'",
    "SENDS_AFTER_END, nothing sent for a request that is over",
    "CALLS_AGAIN, counter calls a request",
    "RUSHES_COLD, a cold server's sends",
    "REFUSES_ALL, evidence"
  })
  void aFaultPlantedInTheModuleIsFound(Crooked.Fault fault, String verdict) {
    assertEquals("", broken(FleetVerdicts.of(HONEST)), "its honest twin");
    Tally tally =
        new Fleet(
                HONEST.shape(),
                (settings, seed, now, host) -> new Crooked(fault, settings, seed, now, host))
            .run(share -> {}, false);
    List<FleetVerdicts.Verdict> all =
        FleetVerdicts.of(new FleetVerdicts.Run(HONEST.shape(), tally, 0));
    assertEquals(FleetVerdicts.Word.BROKEN, words(all).get(verdict), all.toString());
  }

  @ParameterizedTest
  @CsvSource({
    "WHOLE_ALWAYS, whole lists",
    "ALL_AS_CHANGES, discovery bytes a change",
    "TELLS_HALF, views agree with discovery at the end"
  })
  void aFaultPlantedInDiscoveryIsFound(DiscoveryModel.Fault fault, String verdict) {
    assertEquals("", broken(FleetVerdicts.of(CALM)), "its honest twin");
    Fleet fleet = new Fleet(CALM.shape(), PolicyEngine::new);
    for (int i = 0; i < CALM.shape().lists(); i++) {
      fleet.list(i).plant(fault);
    }
    List<FleetVerdicts.Verdict> all =
        FleetVerdicts.of(new FleetVerdicts.Run(CALM.shape(), fleet.run(share -> {}, false), 0));
    assertEquals(FleetVerdicts.Word.BROKEN, words(all).get(verdict), all.toString());
  }

  /**
   * Hand-made runs: a cost that should not grow and does, and one that grows by a tenth of the
   * size.
   */
  @Test
  void growthIsFound() {
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    for (int nodes : new int[] {10, 100, 1000}) {
      Tally t = new Tally();
      t.arrived = 1000;
      t.counterCalls = nodes;
      t.served = 1000 - nodes / 2;
      t.sends = Math.round(1000 * Math.pow(nodes, 0.1));
      t.listEntries = 40;
      runs.add(new FleetVerdicts.Run(shape(nodes, 40 * nodes, false, 1), t, 0));
    }
    Map<String, FleetVerdicts.Word> words = words(FleetVerdicts.slopes(runs));
    assertEquals(FleetVerdicts.Word.BROKEN, words.get("growth of counter calls a request"));
    assertEquals(FleetVerdicts.Word.BROKEN, words.get("growth of requests not served"));
    assertEquals(FleetVerdicts.Word.HELD, words.get("growth of sends a request"));
    assertEquals(FleetVerdicts.Word.HELD, words.get("growth of entries listed"));
  }

  /** Of a large fleet a part is run, and the report says so. */
  @Test
  void aSampleSaysSoAndTheReportIsReadable() throws Exception {
    Shape shape = new Shape(1000, 40_000, 1000, 30_000, 60_000, 5, 1, 4, false, false, 1);
    assertEquals(4, shape.lists());
    assertEquals(160, shape.modelled());
    FleetVerdicts.Run run = run(shape);
    assertTrue(
        FleetReport.text(run).contains("SAMPLE: 4 nodes and 160 servers are run"),
        FleetReport.text(run));
    int fields = 0;
    boolean sampled = false;
    try (JsonParser in =
        new JsonFactory().createParser(FleetReport.json(List.of(run), List.of()))) {
      for (JsonToken token = in.nextToken(); token != null; token = in.nextToken()) {
        fields += token == JsonToken.FIELD_NAME ? 1 : 0;
        sampled |= token == JsonToken.VALUE_TRUE && "sampled".equals(in.currentName());
      }
    }
    assertTrue(sampled && fields > 100, fields + " fields");
  }

  @Test
  void theTargetDividesEvenly() {
    Shape all = Shape.target(1, 10, false, 1);
    assertEquals(110, all.detail());
    assertEquals(96, all.lists());
    Shape tenth = Shape.target(50, 10, false, 1);
    assertEquals(110, tenth.nodes());
    assertEquals(all.lists(), tenth.lists());
    assertEquals(4, Shape.target(1, 10, true, 1).detail(), "one list for all: what memory allows");
    assertThrows(
        IllegalArgumentException.class, () -> new Shape(5, 10, 20, 1, 1, 5, 1, 5, false, false, 1));
  }

  @Test
  void wrongInputIsRefused() {
    assertEquals(2, SimulationCommands.run("simulate-fleet", "--size", "0"));
    assertEquals(2, SimulationCommands.run("simulate-fleet", "--nodes", "5", "--detail", "6"));
    assertEquals(2, SimulationCommands.run("scale", "--seconds", "two"));
  }
}
