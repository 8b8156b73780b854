package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.OperatorSettings;
import edgenode.emulator.EdsEmulator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Envoy's EDS as a source, against an emulator on loopback with faults. */
@Timeout(60)
class EdsSourceTest extends EndpointSourceFixture {
  @Test
  void reportsHealthAndWeightsWithVersionAndNonce() throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set(
          "1",
          EdsEmulator.clusterJson(
              "enrol",
              "127.0.0.1 1001 HEALTHY 3",
              "127.0.0.1 1002 DRAINING 1",
              "127.0.0.1 1003 UNHEALTHY 1",
              "127.0.0.1 1004 DEGRADED 10",
              "127.0.0.1 1005 UNKNOWN 1"));
      start(
          5000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      awaitUp("127.0.0.1:1001 127.0.0.1:1004 127.0.0.1:1005");
      assertEquals(3, view.get("127.0.0.1:1001").info().weight());
      assertEquals(1, view.get("127.0.0.1:1004").info().weight());
      assertEquals("z1", view.get("127.0.0.1:1001").info().zone());
      awaitCondition("more questions", () -> eds.requests().size() > 2);
      assertEquals(
          "POST /v3/discovery:endpoints {\"version_info\":\"\",\"node\":{\"id\":\"edge-1\"},"
              + "\"resource_names\":[\"enrol\"],\"type_url\":\"type.googleapis.com/envoy.config.endpoint.v3."
              + "ClusterLoadAssignment\",\"response_nonce\":\"\"}",
          eds.requests().get(0));
      assertTrue(eds.requests().get(1).contains("\"version_info\":\"1\""), eds.requests().get(1));
      assertTrue(eds.requests().get(1).contains("\"response_nonce\":\"1\""), eds.requests().get(1));
      eds.set(
          "2",
          EdsEmulator.clusterJson(
              "enrol",
              "127.0.0.1 1005 DRAINING 1",
              "127.0.0.1 1006 HEALTHY 1",
              "127.0.0.1 1007 HEALTHY 1"));
      awaitUp("127.0.0.1:1006 127.0.0.1:1007");
    }
  }

  /**
   * What cannot be used is rejected with the reason, and requests go on naming the version in
   * force.
   */
  @Test
  void rejectsResponsesThatCannotBeUsed() throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set("1", EdsEmulator.clusterJson("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          60_000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      awaitUp("127.0.0.1:1001");
      eds.set("2", EdsEmulator.clusterJson("enrol", "not.a.number 1002 HEALTHY 1"));
      awaitCondition(
          "a rejection",
          () -> eds.requests().stream().anyMatch(q -> q.contains("\"error_detail\"")));
      String said =
          eds.requests().stream().filter(q -> q.contains("error_detail")).findFirst().orElseThrow();
      assertTrue(
          said.contains("\"version_info\":\"1\"") && said.contains("not.a.number:1002"), said);
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set("3", EdsEmulator.clusterJson("another", "127.0.0.1 1003 HEALTHY 1"));
      awaitCondition(
          "the reason in the log",
          () -> log.stream().anyMatch(line -> line.contains("no resource for cluster enrol")));
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set(
          "4",
          EdsEmulator.clusterJson("enrol", "127.0.0.1 1001 HEALTHY 1", "127.0.0.1 1004 HEALTHY 1"));
      awaitUp("127.0.0.1:1001 127.0.0.1:1004");
    }
  }

  @ParameterizedTest
  @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void faultyResponsesChangeNothing(EdsEmulator.Fault fault) throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set("1", EdsEmulator.clusterJson("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          60_000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      awaitUp("127.0.0.1:1001");
      eds.injectFault(fault, 1);
      awaitCondition("a failure", () -> failures.get() > 0);
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set(
          "2",
          EdsEmulator.clusterJson("enrol", "127.0.0.1 1001 HEALTHY 1", "127.0.0.1 1002 HEALTHY 1"));
      awaitUp("127.0.0.1:1001 127.0.0.1:1002");
    }
  }
}
