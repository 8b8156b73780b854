package edgenode.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.ExternalNames;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Settings and environment variables are read under the names of the list, and no others. */
class SettingNamesTest {
  private static final String CONFIGURATION =
      """
      {"name":"n0","listen":"127.0.0.1:1","admin_addr":"127.0.0.1:2","discovery":"127.0.0.1:3",
       "counter":"127.0.0.1:4","seed":"5","limits":{"sockets":64},"known":{"hosts":[]},"settings":{"rank":1}}
      """;

  /** Remembers which keys were read. */
  private static final class RecordingMap extends HashMap<String, String> {
    private static final long serialVersionUID = 1L;
    private final transient Set<String> readKeys = new TreeSet<>();

    RecordingMap(Map<String, String> values) {
      super(values);
    }

    @Override
    public String get(Object key) {
      readKeys.add((String) key);
      return super.get(key);
    }

    @Override
    public String getOrDefault(Object key, String defaultValue) {
      readKeys.add((String) key);
      return super.getOrDefault(key, defaultValue);
    }
  }

  @TempDir Path folder;

  /** A table is a wrong value for every key, and the fault of an unknown key reads differently. */
  @Test
  void eachOperatorSettingIsRead() {
    for (String key : ExternalNames.group("operator settings")) {
      List<String> faults =
          assertThrows(
                  InvalidOperatorSettingsException.class,
                  () ->
                      OperatorSettings.parse(
                          new TomlReader("f.toml", key + " = {unexpected = 1}"), 18_000))
              .faults();
      assertTrue(
          faults.get(0).startsWith("f.toml:1: " + key + ": found a table, allowed is "),
          key + ": " + faults);
    }
  }

  @Test
  void theSampleFileNamesEachOperatorSetting() throws IOException {
    Set<String> keys = new TreeSet<>();
    String table = "";
    for (String line : Files.readAllLines(Path.of("deploy/edge.toml"))) {
      if (line.startsWith("[")) {
        table = line.substring(1, line.indexOf(']'));
      } else if (line.matches("# [a-z_]+ = .*")) {
        keys.add(table + "." + line.substring(2, line.indexOf(" = ")));
      }
    }
    assertEquals(new TreeSet<>(ExternalNames.group("operator settings")), keys);
  }

  @Test
  void policySettingsAreReadUnderTheListedNames() {
    RecordingMap values =
        new RecordingMap(
            Map.of(
                "request_classes.count", "1",
                "request_classes.0.name", "read",
                "request_classes.0.effect", "read_like",
                "tariffs.count", "1",
                "tariffs.0.name", "p"));
    PolicySettingsReader.read(values);
    Set<String> expected = new TreeSet<>(ExternalNames.group("policy settings"));
    for (String key : ExternalNames.group("request class settings")) {
      expected.add("request_classes.0." + key);
    }
    for (String key : ExternalNames.group("plan settings")) {
      expected.add("tariffs.0." + key);
    }
    assertEquals(expected, values.readKeys);
  }

  @Test
  void eachListedRequestClassValueIsAccepted() {
    for (String effect : List.of("read_like", "idempotency_key", "non_idempotent")) {
      assertTrue(ExternalNames.group("request class values").contains(effect), effect);
      PolicySettingsReader.read(
          Map.of(
              "request_classes.count", "1",
              "request_classes.0.name", "read",
              "request_classes.0.effect", effect));
    }
  }

  private static List<?> parse(String configuration) throws IOException {
    NodeConfig config =
        NodeConfig.parse(JsonValue.parse(configuration.getBytes(StandardCharsets.UTF_8)), Map.of());
    return Arrays.asList(
        config.name(),
        config.listenAddress(),
        config.adminAddress(),
        config.discoveryAddress(),
        config.counterAddress(),
        config.seed(),
        config.maxSockets(),
        config.initialEndpoints() != null,
        config.settings());
  }

  /** Without the key the configuration is another one, or is rejected. */
  @Test
  void eachConfigurationKeyIsRead() throws IOException {
    List<?> complete = parse(CONFIGURATION);
    for (String key : ExternalNames.group("configuration keys")) {
      String without = CONFIGURATION.replace("\"" + key + "\":", "\"without\":");
      assertNotEquals(CONFIGURATION, without, key);
      try {
        assertNotEquals(complete, parse(without), key);
      } catch (IllegalArgumentException missing) {
        assertTrue(missing.getMessage().contains("'" + key + "'"), missing.getMessage());
      }
    }
  }

  @Test
  void connectionTimesAreReadFromThePolicySettings() throws IOException {
    assertEquals(
        List.of("limits.connect_timeout", "limits.keepalive"),
        ExternalNames.group("connection settings"));
    NodeConfig config =
        NodeConfig.parse(
            JsonValue.parse(
                CONFIGURATION
                    .replace(
                        "{\"rank\":1}", "{\"limits\":{\"connect_timeout\":777,\"keepalive\":888}}")
                    .getBytes(StandardCharsets.UTF_8)),
            Map.of());
    assertEquals(777, config.connectTimeoutMs());
    assertEquals(888, config.keepAliveMs());
  }

  @Test
  void environmentVariablesHaveTheListedNames() throws IOException {
    Path file = Files.writeString(folder.resolve("config.json"), CONFIGURATION);
    RecordingMap environment = new RecordingMap(Map.of("EDGE_CONFIG", file.toString()));
    NodeConfig.fromEnvironment(environment);
    assertEquals(new TreeSet<>(ExternalNames.group("environment variables")), environment.readKeys);
  }
}
