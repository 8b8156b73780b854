package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.OperatorSettings;
import edgenode.emulator.ConsulEmulator;
import edgenode.policy.EndpointState;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Consul as a source, against an emulator on loopback with faults. */
@Timeout(60)
class ConsulSourceTest extends EndpointSourceFixture {
  @TempDir Path folder;

  private static ConsulEmulator.Instance instance(String id, int port, String status) {
    return new ConsulEmulator.Instance(id, "127.0.0.1", port, status, 10, 2);
  }

  @Test
  void reportsHealthWeightsAndChangesByTheIndex() throws Exception {
    Path token = Files.writeString(folder.resolve("token"), "not-to-be-logged\n");
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.set(instance("a", 1001, "passing"));
      consul.set(instance("b", 1002, "warning"));
      consul.set(instance("c", 1003, "critical"));
      consul.set(instance("d", 1004, "maintenance"));
      consul.set(
          new ConsulEmulator.Instance(
              "e", "", 1005, "passing", 1, 1)); // the node's address is used
      start(
          5000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol ment", 5000, token)));
      awaitUp("a b e");
      assertEquals(10, view.get("a").info().weight());
      assertEquals(2, view.get("b").info().weight());
      assertEquals(EndpointState.DRAINING, view.get("c").info().state());
      assertEquals(EndpointState.DRAINING, view.get("d").info().state());
      assertEquals("127.0.0.9:1005", view.get("e").address());
      assertEquals("dc1", view.get("a").info().zone());
      awaitCondition("the next question", () -> consul.requestCount() > 1);
      assertEquals("/v1/health/service/enrol%20ment?index=6&wait=5000ms", consul.lastPath());
      assertEquals("not-to-be-logged", consul.lastToken());
      consul.set(instance("a", 1001, "critical"));
      awaitUp("b e");
      consul.remove("b");
      awaitUp("e");
      assertFalse(view.containsKey("b"));
      assertTrue(log.stream().noneMatch(line -> line.contains("not-to-be-logged")), log.toString());
    }
  }

  /** An index that goes back starts again from none (as the page on blocking queries asks). */
  @Test
  void startsAgainWhenTheIndexGoesBack() throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.setIndex(500);
      consul.set(instance("a", 1001, "passing"));
      start(
          5000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 5000, null)));
      awaitUp("a");
      awaitCondition("it waits", () -> consul.lastPath().contains("index=501"));
      consul.set(instance("b", 1002, "passing"));
      awaitUp("a b");
      consul.setIndex(3);
      awaitCondition("it asks from none", () -> consul.lastPath().endsWith("index=3&wait=5000ms"));
      consul.set(instance("c", 1003, "passing"));
      awaitUp("a b c");
    }
  }

  /** Whatever becomes of a response, the list stays, and what is reported afterwards counts. */
  @ParameterizedTest
  @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void faultyResponsesChangeNothing(ConsulEmulator.Fault fault) throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.set(instance("a", 1001, "passing"));
      start(
          60_000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 300, null)));
      awaitUp("a");
      int before = consul.requestCount();
      consul.injectFault(fault, 1);
      awaitCondition("a failure", () -> failures.get() > 0 && consul.requestCount() > before);
      assertEquals("a", upEndpoints());
      consul.set(instance("b", 1002, "passing"));
      awaitUp("a b");
    }
  }
}
