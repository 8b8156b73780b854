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
 * Small fleets of model nodes: the same seed gives the same run, and each verdict finds the fault
 * injected for it and no other run's.
 */
@Timeout(120)
class SimulateFleetTest {
  private static final int SECONDS = 15;

  /** Runs without an injected fault: one with incidents, one with ordinary churn alone. */
  private static final FleetVerdicts.Run FAULTLESS_WITH_INCIDENTS = run(shape(8, 160, false, 5));

  private static final FleetVerdicts.Run FAULTLESS_WITH_CHURN =
      run(new FleetShape(6, 120, 3, 200, 300, SECONDS, 24, 6, false, false, 5));

  private static FleetShape shape(int nodes, int servers, boolean isFlat, long seed) {
    return new FleetShape(
        nodes,
        servers,
        servers / 40,
        30 * nodes,
        40 * nodes,
        SECONDS,
        1,
        nodes,
        isFlat,
        true,
        seed);
  }

  private static FleetVerdicts.Run run(FleetShape shape) {
    return new FleetVerdicts.Run(
        shape, new FleetSimulation(shape, PolicyEngine::new).run(share -> {}, false), 0);
  }

  private static Map<String, FleetVerdicts.Outcome> outcomes(List<FleetVerdicts.Verdict> all) {
    return all.stream()
        .collect(
            Collectors.toMap(
                FleetVerdicts.Verdict::name,
                FleetVerdicts.Verdict::outcome,
                (a, b) -> b,
                TreeMap::new));
  }

  private static String brokenVerdicts(List<FleetVerdicts.Verdict> all) {
    return all.stream()
        .filter(v -> v.outcome() == FleetVerdicts.Outcome.BROKEN)
        .map(FleetVerdicts.Verdict::name)
        .collect(Collectors.joining("; "));
  }

  @Test
  void givenSameShapeAndSeedWhenRunThenSameDigest() {
    FleetCounters one = run(shape(6, 120, false, 7)).counters();
    FleetCounters two = run(shape(6, 120, false, 7)).counters();
    assertTrue(one.sends > 2500, "sends " + one.sends);
    assertEquals(one.digest(), two.digest());
    assertEquals(one.events, two.events);
    assertEquals(one.changeLatencyUs.getTotalCount(), two.changeLatencyUs.getTotalCount());
    assertNotEquals(one.digest(), run(shape(6, 120, false, 8)).counters().digest());
  }

  /** With a list for each service no cost grows with the fleet; with one list two do. */
  @ParameterizedTest
  @CsvSource({"false", "true"})
  void givenSmallFleetsWhenRunThenNoVerdictIsBrokenAndOnlyKnownCostsGrow(boolean isFlat) {
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    for (int nodes : new int[] {4, 8, 16}) {
      FleetVerdicts.Run run = run(shape(nodes, 20 * nodes, isFlat, 3));
      List<FleetVerdicts.Verdict> all = FleetVerdicts.evaluate(run);
      assertEquals("", brokenVerdicts(all), all.toString());
      runs.add(run);
    }
    List<FleetVerdicts.Verdict> slopes = FleetVerdicts.evaluateGrowth(runs);
    assertEquals("", brokenVerdicts(slopes), slopes.toString());
    assertEquals(
        isFlat ? FleetVerdicts.Outcome.GROWS : FleetVerdicts.Outcome.HELD,
        outcomes(slopes).get("growth of entries listed"));
    assertEquals(
        isFlat ? FleetVerdicts.Outcome.GROWS : FleetVerdicts.Outcome.HELD,
        outcomes(slopes).get("growth of bytes of a whole list"));
  }

  @ParameterizedTest
  @CsvSource({
    "NEVER_ANSWERS, one final answer a request",
    "ANSWERS_TWICE, one final answer a request",
    "SENDS_TO_REMOVED, 'nothing sent to a server told draining, gone or not at all'",
    "SENDS_AFTER_END, nothing sent for a request that is over",
    "REPEATS_COUNTER_CALLS, counter calls a request",
    "OVERLOADS_WARMING_UP, a cold server's sends",
    "REJECTS_ALL, evidence"
  })
  void givenFaultyPolicyWhenRunThenVerdictIsBroken(FaultyPolicy.Fault fault, String verdict) {
    assertEquals(
        "", brokenVerdicts(FleetVerdicts.evaluate(FAULTLESS_WITH_INCIDENTS)), "without the fault");
    FleetCounters tally =
        new FleetSimulation(
                FAULTLESS_WITH_INCIDENTS.shape(),
                (settings, seed, now, host) -> new FaultyPolicy(fault, settings, seed, now, host))
            .run(share -> {}, false);
    List<FleetVerdicts.Verdict> all =
        FleetVerdicts.evaluate(new FleetVerdicts.Run(FAULTLESS_WITH_INCIDENTS.shape(), tally, 0));
    assertEquals(FleetVerdicts.Outcome.BROKEN, outcomes(all).get(verdict), all.toString());
  }

  @ParameterizedTest
  @CsvSource({
    "ALWAYS_SENDS_COMPLETE_LIST, whole lists",
    "SENDS_ALL_AS_CHANGES, discovery bytes a change",
    "DROPS_EVERY_SECOND_CHANGE, views agree with discovery at the end"
  })
  void givenFaultyDiscoveryWhenRunThenVerdictIsBroken(DiscoveryModel.Fault fault, String verdict) {
    assertEquals(
        "", brokenVerdicts(FleetVerdicts.evaluate(FAULTLESS_WITH_CHURN)), "without the fault");
    FleetSimulation fleet = new FleetSimulation(FAULTLESS_WITH_CHURN.shape(), PolicyEngine::new);
    for (int i = 0; i < FAULTLESS_WITH_CHURN.shape().modelledLists(); i++) {
      fleet.servers().list(i).injectFault(fault);
    }
    List<FleetVerdicts.Verdict> all =
        FleetVerdicts.evaluate(
            new FleetVerdicts.Run(FAULTLESS_WITH_CHURN.shape(), fleet.run(share -> {}, false), 0));
    assertEquals(FleetVerdicts.Outcome.BROKEN, outcomes(all).get(verdict), all.toString());
  }

  /** Given counts: two costs that grow with the fleet, one that grows by a tenth, one constant. */
  @Test
  void givenGrowingCostsWhenGrowthIsEvaluatedThenVerdictIsBroken() {
    List<FleetVerdicts.Run> runs = new ArrayList<>();
    for (int nodes : new int[] {10, 100, 1000}) {
      FleetCounters counters = new FleetCounters();
      counters.arrived = 1000;
      counters.counterCalls = nodes;
      counters.served = 1000 - nodes / 2;
      counters.sends = Math.round(1000 * Math.pow(nodes, 0.1));
      counters.listEntries = 40;
      runs.add(new FleetVerdicts.Run(shape(nodes, 40 * nodes, false, 1), counters, 0));
    }
    Map<String, FleetVerdicts.Outcome> words = outcomes(FleetVerdicts.evaluateGrowth(runs));
    assertEquals(FleetVerdicts.Outcome.BROKEN, words.get("growth of counter calls a request"));
    assertEquals(FleetVerdicts.Outcome.BROKEN, words.get("growth of requests not served"));
    assertEquals(FleetVerdicts.Outcome.HELD, words.get("growth of sends a request"));
    assertEquals(FleetVerdicts.Outcome.HELD, words.get("growth of entries listed"));
  }

  /** A part of a large fleet runs, and the report says so. */
  @Test
  void givenSampledFleetWhenReportedThenReportSaysSoAndIsValidJson() throws Exception {
    FleetShape shape = new FleetShape(1000, 40_000, 1000, 30_000, 60_000, 5, 1, 4, false, false, 1);
    assertEquals(4, shape.modelledLists());
    assertEquals(160, shape.modelledServers());
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
  void targetFleetIsDividedEvenly() {
    FleetShape all = FleetShape.target(1, 10, false, 1);
    assertEquals(110, all.modelledNodes());
    assertEquals(96, all.modelledLists());
    FleetShape tenth = FleetShape.target(50, 10, false, 1);
    assertEquals(110, tenth.nodes());
    assertEquals(all.modelledLists(), tenth.modelledLists());
    assertEquals(
        4,
        FleetShape.target(1, 10, true, 1).modelledNodes(),
        "one list for all: what memory allows");
    assertThrows(
        IllegalArgumentException.class,
        () -> new FleetShape(5, 10, 20, 1, 1, 5, 1, 5, false, false, 1));
  }

  @Test
  void givenWrongInputWhenRunThenExitCodeIsTwo() {
    assertEquals(2, SimulationCommands.run("simulate-fleet", "--size", "0"));
    assertEquals(2, SimulationCommands.run("simulate-fleet", "--nodes", "5", "--detail", "6"));
    assertEquals(2, SimulationCommands.run("scale", "--seconds", "two"));
  }
}
