package edgenode.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import edgenode.idempotency.IdempotencyLimits;
import edgenode.membership.MembershipLimits;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' settings: defaults, and all faults of a file reported together. */
class OperatorSettingsTest {
  @TempDir Path folder;

  private static OperatorSettings read(String text) throws InvalidOperatorSettingsException {
    return OperatorSettings.parse(new TomlReader("f.toml", text), 18_000);
  }

  private static List<String> faultsOf(String text) {
    return assertThrows(InvalidOperatorSettingsException.class, () -> read(text)).faults();
  }

  @Test
  void anEmptyFileGivesTheDefaults() throws Exception {
    OperatorSettings none = read("");
    assertEquals(MembershipLimits.defaults(18_000), none.membershipLimits());
    assertEquals(List.of("agent"), none.sources());
    assertNull(none.idempotencyLimits());
    assertEquals(0, none.trackedCustomers());
    assertEquals(256, none.subsetMinEndpoints());
    assertEquals(64, read("subset.servers = 64").subsetMinEndpoints());
  }

  /** The documented sample is valid as it is, and with every key enabled. */
  @Test
  void theSampleFileIsValid() throws Exception {
    String sample = Files.readString(Path.of("deploy/edge.toml"));
    assertEquals(read("").membershipLimits(), read(sample).membershipLimits());
    String enabled =
        sample
            .replaceAll("(?m)^# ([a-z_]+ = )", "$1")
            .replace(
                "/run/secrets/consul-token",
                Files.writeString(folder.resolve("token"), "t").toString())
            .replaceAll("/var/lib/", folder + "/");
    String withIdempotency = enabled.replace("enabled = false", "enabled = true");
    assertEquals(folder.resolve("nickelstand"), read(withIdempotency).storeFolder());
    enabled = enabled.replaceAll("(?m)^folder = .*", ""); // needs repeats.enabled
    OperatorSettings all = read(enabled);
    assertEquals(MembershipLimits.defaults(18_000), all.membershipLimits());
    assertEquals(
        new OperatorSettings.EdsSettings("127.0.0.1:18000", "enrol", "nickelstand", 500),
        all.eds());
    assertEquals(
        new OperatorSettings.DnsSrvSettings(
            "_resp._tcp.enrol.example", List.of("127.0.0.1:53"), 1000, 30_000),
        all.dnsSrv());
    assertNull(all.idempotencyLimits()); // the sample enables nothing
    assertEquals(IdempotencyLimits.DEFAULT, read(withIdempotency).idempotencyLimits());
  }

  @Test
  void invalidIdempotencySettingsAreReported() {
    assertEquals(
        List.of(
            "f.toml:2: repeats.enabled: found 'yes', allowed is true or false",
            "f.toml:3: repeats.entries: found 0, allowed is a whole number from 1 to 1000000",
            "f.toml:4: repeats.when_full: found 'drop', allowed is one of forget, refuse",
            "f.toml:6: figures.campuses: found -1, allowed is a whole number from 0 to 10000",
            "f.toml:8: subset.servers: found 63, allowed is a whole number from 64 to 1000000"),
        faultsOf(
            """
                [repeats]
                enabled = "yes"
                entries = 0
                when_full = "drop"
                [figures]
                campuses = -1
                [subset]
                servers = 63
                """));
  }

  @Test
  void allFaultsAreReportedTogetherEachWithItsPosition() {
    assertEquals(
        List.of(
            "f.toml:2: membership.sources: found 'zookeeper', allowed is a list of agent, consul, eds, dns_srv",
            "f.toml:3: membership.fail_over_ms: found 10, allowed is a whole number from 500 to 600000",
            "f.toml:4: membership.up_after_ms: found 'soon', allowed is a whole number from 0 to 60000",
            "f.toml:5: membership.shrink_share: found 1.5, allowed is a number from 0 to 1",
            "f.toml:7: membership.eds.address: found 'localhost:80', allowed is address:port, numeric",
            "f.toml:8: membership.eds.refresh_mss: unknown key, 'membership.eds.refresh_ms' perhaps"),
        faultsOf(
            """
                [membership]
                sources = ["agent", "zookeeper"]
                fail_over_ms = 10
                up_after_ms = "soon"
                shrink_share = 1.5
                [membership.eds]
                address = "localhost:80"
                refresh_mss = 5
                """));
  }

  @Test
  void contradictorySettingsAreRejected() {
    assertEquals(
        List.of(
            "f.toml:4: membership.up_after_most_ms: is less than membership.up_after_ms, 500",
            "f.toml:5: membership.hold_empty_ms: is less than membership.hold_shrunk_ms, 2000",
            "f.toml:2: membership.sources: names 'consul', and membership.consul.service is not set",
            "f.toml:2: membership.sources: names 'dns_srv', and membership.dns_srv.name is not set",
            "f.toml:2: membership.sources: names 'dns_srv', and membership.dns_srv.servers is not set"),
        faultsOf(
            """
                [membership]
                sources = ["consul", "dns_srv"]
                up_after_ms = 500
                up_after_most_ms = 100
                hold_empty_ms = 5
                """));
    assertEquals(
        List.of("f.toml:1: membership.sources: names a source twice"),
        faultsOf("membership.sources = [\"agent\", \"agent\"]"));
  }

  @Test
  void invalidTomlIsRejectedWithItsLine() {
    assertEquals("f.toml:2", faultsOf("[membership]\nfail_over_ms = = 3\n").get(0).substring(0, 8));
    assertEquals(
        List.of("f.toml:1: membership: found 3, allowed is a table"), faultsOf("membership = 3"));
  }

  @Test
  void aMissingSecretFileIsReported() {
    assertEquals(
        List.of(
            "f.toml:3: membership.consul.token_file: '/nowhere/token' is no file that can be read"),
        faultsOf(
            """
            [membership.consul]
            service = "enrol"
            token_file = "/nowhere/token"
            """));
  }

  @Test
  void aMissingSettingsFileIsAnIoError() {
    assertThrows(IOException.class, () -> OperatorSettings.read(folder.resolve("none"), 0));
  }
}
