package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.OperatorSettings;
import edgenode.emulator.ConsulEmulator;
import edgenode.emulator.EdsEmulator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Several sources, of which one after the other fails. */
@Timeout(60)
class SourceFailOverTest extends EndpointSourceFixture {
  @Test
  void silentSourceIsReplacedByTheNextAndBack() throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator();
        EdsEmulator eds = new EdsEmulator()) {
      consul.set(new ConsulEmulator.Instance("a", "127.0.0.1", 1001, "passing", 10, 2));
      eds.set("1", EdsEmulator.clusterJson("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          800,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 200, null)),
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      awaitUp("a");
      consul.injectFault(ConsulEmulator.Fault.STALL, Integer.MAX_VALUE);
      awaitUp("127.0.0.1:1001");
      assertTrue(
          log.stream().anyMatch(line -> line.contains("failing over to eds")), log.toString());
      consul.injectFault(ConsulEmulator.Fault.NONE, 0);
      eds.injectFault(EdsEmulator.Fault.STALL, Integer.MAX_VALUE);
      awaitUp("a");
    }
  }
}
