package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.OperatorSettings;
import edgenode.emulator.DnsServerEmulator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** DNS SRV as a source, against a DNS server on loopback with faults. */
@Timeout(60)
class DnsSrvSourceTest extends EndpointSourceFixture {
  private static final String SERVICE = "_resp._tcp.enrol.test.";

  private SourceDefinition dns(DnsServerEmulator server) {
    return EndpointSources.dnsSrv(
        new OperatorSettings.DnsSrvSettings(SERVICE, List.of(server.address()), 100, 1000));
  }

  @Test
  void reportsTheLowestPriorityWithWeightsAndAddresses() throws Exception {
    for (boolean additional : new boolean[] {false, true}) {
      view.clear();
      try (DnsServerEmulator dns = new DnsServerEmulator()) {
        dns.setSendsAdditional(additional);
        dns.addHost("s1.enrol.test.", "127.0.0.11");
        dns.addHost("s2.enrol.test.", "127.0.0.12");
        dns.addService(
            SERVICE,
            new DnsServerEmulator.Srv(0, 1, 7, 1001, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1002, "s2.enrol.test."),
            new DnsServerEmulator.Srv(0, 2, 3, 1003, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1004, "nowhere.test."));
        start(5000, dns(dns));
        awaitUp("s1.enrol.test.:1001 s2.enrol.test.:1002");
        assertEquals("127.0.0.11:1001", view.get("s1.enrol.test.:1001").address());
        assertEquals(7, view.get("s1.enrol.test.:1001").info().weight());
        dns.addService(
            SERVICE,
            new DnsServerEmulator.Srv(0, 1, 7, 1001, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1005, "s2.enrol.test."));
        awaitUp("s1.enrol.test.:1001 s2.enrol.test.:1005");
      }
    }
  }

  /** No query is sent before the time to live has passed, within the bounds of the settings. */
  @Test
  void queriesAgainWhenTheTimeToLiveHasPassed() throws Exception {
    try (DnsServerEmulator dns = new DnsServerEmulator()) {
      dns.setSendsAdditional(true);
      dns.addHost("s1.enrol.test.", "127.0.0.11");
      dns.addService(SERVICE, new DnsServerEmulator.Srv(3600, 1, 1, 1001, "s1.enrol.test."));
      start(60_000, dns(dns));
      awaitUp("s1.enrol.test.:1001");
      long since = System.nanoTime();
      int asked = dns.queryCount();
      awaitCondition("asked again", () -> dns.queryCount() > asked);
      assertTrue(
          System.nanoTime() - since > 700_000_000L, "before the longest time of the settings");
    }
  }

  @Test
  void failuresChangeNothing() throws Exception {
    try (DnsServerEmulator dns = new DnsServerEmulator()) {
      dns.addHost("s1.enrol.test.", "127.0.0.11");
      dns.addHost("s2.enrol.test.", "127.0.0.12");
      dns.addService(SERVICE, new DnsServerEmulator.Srv(0, 1, 1, 1001, "s1.enrol.test."));
      start(60_000, dns(dns));
      awaitUp("s1.enrol.test.:1001");
      for (int kind = 0; kind < 3; kind++) {
        int before = failures.get();
        dns.setFaults(kind == 0, kind == 1, kind == 2);
        awaitCondition("a failure of kind " + kind, () -> failures.get() > before);
        assertEquals("s1.enrol.test.:1001", upEndpoints());
      }
      dns.setFaults(false, false, false);
      dns.addService(
          SERVICE,
          new DnsServerEmulator.Srv(0, 1, 1, 1001, "s1.enrol.test."),
          new DnsServerEmulator.Srv(0, 1, 1, 1002, "s2.enrol.test."));
      awaitUp("s1.enrol.test.:1001 s2.enrol.test.:1002");
    }
  }
}
