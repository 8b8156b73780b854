package edgenode.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reloads of a configuration file that is replaced or rewritten; polls are made by hand. */
class ConfigFileWatcherTest {
  @TempDir Path folder;
  private Path path;
  private final BlockingQueue<NodeConfig> loaded = new LinkedBlockingQueue<>();
  private final List<String> log = new ArrayList<>();
  private ConfigFileWatcher watcher;

  private static String configWithDiscoveryPort(int port) {
    return """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d",
             "settings":{"rank":0,"group_size":4,
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
        .formatted(port);
  }

  @BeforeEach
  void createWatcher() throws IOException {
    path = Files.writeString(folder.resolve("config.json"), configWithDiscoveryPort(1001));
    watcher = new ConfigFileWatcher(Map.of("EDGE_CONFIG", path.toString()), loaded::add, log::add);
    poll(2);
    assertLoadedWithPort(1001);
  }

  private void poll(int times) {
    for (int i = 0; i < times; i++) {
      watcher.poll();
    }
  }

  private void assertLoadedWithPort(int port) {
    NodeConfig config = loaded.poll();
    assertEquals(port, config == null ? 0 : config.discoveryAddress().getPort());
  }

  private void assertNothingLoaded() {
    assertEquals(0, loaded.size());
  }

  @Test
  void anUnchangedFileIsLoadedOnce() {
    poll(5);
    assertNothingLoaded();
  }

  @Test
  void aFileReplacedByRenameIsLoadedByItsContent() throws IOException {
    FileTime before = Files.getLastModifiedTime(path);
    Path other =
        Files.writeString(
            folder.resolve("other"), configWithDiscoveryPort(1002)); // with the same size, too
    Files.setLastModifiedTime(other, before);
    Files.move(other, path, StandardCopyOption.ATOMIC_MOVE);
    poll(2);
    assertLoadedWithPort(1002);
    Files.writeString(path, configWithDiscoveryPort(1003)); // rewritten in place
    Files.setLastModifiedTime(path, before);
    poll(2);
    assertLoadedWithPort(1003);
  }

  /** A file that is being rewritten in place has another length at each poll. */
  @Test
  void aPartlyWrittenFileIsNotLoaded() throws IOException {
    byte[] whole = configWithDiscoveryPort(1002).getBytes(StandardCharsets.US_ASCII);
    for (int n = 0; n < whole.length; n++) {
      Files.write(path, Arrays.copyOf(whole, n));
      poll(1);
    }
    assertNothingLoaded();
    Files.write(path, whole);
    poll(2);
    assertLoadedWithPort(1002);
    assertEquals(List.of(), log);
  }

  /** A file that stays partly written is rejected and reported once; its rest makes it valid. */
  @Test
  void aFileThatStaysPartlyWrittenIsRejectedAtEveryLength() throws IOException {
    byte[] whole = configWithDiscoveryPort(1002).getBytes(StandardCharsets.US_ASCII);
    for (int n = 0; n < whole.length; n++) {
      Files.write(path, Arrays.copyOf(whole, n));
      log.clear();
      poll(3);
      assertNothingLoaded();
      assertEquals(1, log.size(), "at " + n + ": " + log);
      assertTrue(log.get(0).startsWith("configuration: rejected"), log.get(0));
    }
    Files.write(path, whole);
    poll(2);
    assertLoadedWithPort(1002);
  }

  /** A file that is being overwritten may parse with one address new and another old. */
  @Test
  void aMixOfOldAndNewContentIsNotLoadedWhileItChanges() throws IOException {
    String mixed = configWithDiscoveryPort(1002).replace("\"rank\":0", "\"rank\":1");
    Files.writeString(path, configWithDiscoveryPort(1002));
    poll(1);
    Files.writeString(path, mixed);
    poll(1);
    assertNothingLoaded();
    poll(1);
    assertLoadedWithPort(1002);
  }

  @Test
  void aMissingFileChangesNothingAndIsReportedOnce() throws IOException {
    Files.delete(path);
    poll(3);
    assertEquals(List.of(), log); // a short absence is not reported
    poll(50);
    assertEquals(1, log.size());
    assertNothingLoaded();
    Files.writeString(path, configWithDiscoveryPort(1001));
    poll(2);
    assertNothingLoaded(); // the content is as before
    Files.writeString(path, configWithDiscoveryPort(1002));
    poll(2);
    assertLoadedWithPort(1002);
  }

  @Test
  void anInvalidSettingIsNamed() throws IOException {
    Files.writeString(
        path, configWithDiscoveryPort(1002).replace("\"aim\":600", "\"aim\":\"soon\""));
    watcher.reload();
    assertNothingLoaded();
    assertEquals(
        List.of(
            "configuration: rejected, the previous one stays in force: request_classes.0.aim: "
                + "number expected, found 'soon'"),
        log);
  }

  @Test
  void aFolderInPlaceOfTheFileIsNotLoaded() throws IOException {
    Files.delete(path);
    Files.createDirectory(path);
    watcher.reload();
    assertNothingLoaded();
    assertEquals(1, log.size());
  }

  /** Without a signal. */
  @Test
  void theWatchThreadLoadsAReplacedFile() throws Exception {
    watcher.watch();
    Files.writeString(path, configWithDiscoveryPort(1002));
    NodeConfig config = loaded.poll(10, TimeUnit.SECONDS);
    watcher.stop();
    assertEquals(1002, config == null ? 0 : config.discoveryAddress().getPort());
  }

  /** A fault that lasts must not cause reads at an undiminished rate. */
  @Test
  void reloadsAfterFaultsBackOff() throws Exception {
    Files.writeString(path, configWithDiscoveryPort(1002));
    watcher.reloadAfterFault();
    assertEquals(1002, loaded.poll(10, TimeUnit.SECONDS).discoveryAddress().getPort());
    Files.writeString(path, configWithDiscoveryPort(1003));
    watcher.reloadAfterFault(); // too soon: no read
    assertEquals(null, loaded.poll(100, TimeUnit.MILLISECONDS));
  }
}
