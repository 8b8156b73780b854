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
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The file of the configuration as writers leave it; the looks are made by hand, so no test waits.
 */
class ConfigFileTest {
  @TempDir Path folder;
  private Path path;
  private final BlockingQueue<Config> taken = new LinkedBlockingQueue<>();
  private final List<String> log = new ArrayList<>();
  private ConfigFile file;

  private static String text(int port) {
    return """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:%d",
             "settings":{"rank":0,"group_size":4,
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""
        .formatted(port);
  }

  @BeforeEach
  void file() throws IOException {
    path = Files.writeString(folder.resolve("config.json"), text(1001));
    file = new ConfigFile(Map.of("EDGE_CONFIG", path.toString()), taken::add, log::add);
    looks(2);
    expect(1001);
  }

  private void looks(int times) {
    for (int i = 0; i < times; i++) {
      file.look();
    }
  }

  private void expect(int port) {
    Config told = taken.poll();
    assertEquals(port, told == null ? 0 : told.discovery().getPort());
  }

  private void nothing() {
    assertEquals(0, taken.size());
  }

  @Test
  void whatDoesNotChangeIsTakenOnce() {
    looks(5);
    nothing();
  }

  @Test
  void aFileMovedIntoItsPlaceIsTakenByItsContent() throws IOException {
    FileTime before = Files.getLastModifiedTime(path);
    Path other = Files.writeString(folder.resolve("other"), text(1002)); // of the same size, too
    Files.setLastModifiedTime(other, before);
    Files.move(other, path, StandardCopyOption.ATOMIC_MOVE);
    looks(2);
    expect(1002);
    Files.writeString(path, text(1003)); // in place
    Files.setLastModifiedTime(path, before);
    looks(2);
    expect(1003);
  }

  /** A writer in place is seen at every length that the file has meanwhile, none of them twice. */
  @Test
  void aFileInTheMakingIsNotTaken() throws IOException {
    byte[] whole = text(1002).getBytes(StandardCharsets.US_ASCII);
    for (int n = 0; n < whole.length; n++) {
      Files.write(path, java.util.Arrays.copyOf(whole, n));
      looks(1);
    }
    nothing();
    Files.write(path, whole);
    looks(2);
    expect(1002);
    assertEquals(List.of(), log);
  }

  /**
   * Also one that stays half written is not taken, is told once, and is none the worse for its
   * second half.
   */
  @Test
  void halfAFileChangesNothingAtEveryLength() throws IOException {
    byte[] whole = text(1002).getBytes(StandardCharsets.US_ASCII);
    for (int n = 0; n < whole.length; n++) {
      Files.write(path, java.util.Arrays.copyOf(whole, n));
      log.clear();
      looks(3);
      nothing();
      assertEquals(1, log.size(), "at " + n + ": " + log);
      assertTrue(log.get(0).startsWith("configuration: not taken"), log.get(0));
    }
    Files.write(path, whole);
    looks(2);
    expect(1002);
  }

  /**
   * New bytes over the old ones: read before the end they may parse, with one address new and one
   * old.
   */
  @Test
  void aMixOfOldAndNewIsNotTakenWhileItChanges() throws IOException {
    String mixed = text(1002).replace("\"rank\":0", "\"rank\":1");
    Files.writeString(path, text(1002));
    looks(1);
    Files.writeString(path, mixed);
    looks(1);
    nothing();
    looks(1);
    expect(1002);
  }

  @Test
  void aFileThatIsMissingChangesNothingAndIsToldOnce() throws IOException {
    Files.delete(path);
    looks(3);
    assertEquals(List.of(), log); // a moment is no news
    looks(50);
    assertEquals(1, log.size());
    nothing();
    Files.writeString(path, text(1001));
    looks(2);
    nothing(); // back as it was
    Files.writeString(path, text(1002));
    looks(2);
    expect(1002);
  }

  @Test
  void aBadSettingIsNamed() throws IOException {
    Files.writeString(path, text(1002).replace("\"aim\":600", "\"aim\":\"soon\""));
    file.read();
    nothing();
    assertEquals(
        List.of(
            "configuration: not taken, what was read before stays: request_classes.0.aim: "
                + "number expected, found 'soon'"),
        log);
  }

  @Test
  void aFolderInItsPlaceIsNoConfiguration() throws IOException {
    Files.delete(path);
    Files.createDirectory(path);
    file.read();
    nothing();
    assertEquals(1, log.size());
  }

  /** The thread of its own: whoever replaces the file needs no signal. */
  @Test
  void theWatchTakesAReplacedFile() throws Exception {
    file.watch();
    Files.writeString(path, text(1002));
    Config told = taken.poll(10, TimeUnit.SECONDS);
    file.stop();
    assertEquals(1002, told == null ? 0 : told.discovery().getPort());
  }

  /** Trouble that does not end must not have the file read for ever at the same pace. */
  @Test
  void suspicionReadsOnceAndThenMoreRarely() throws Exception {
    Files.writeString(path, text(1002));
    file.suspect();
    assertEquals(1002, taken.poll(10, TimeUnit.SECONDS).discovery().getPort());
    Files.writeString(path, text(1003));
    file.suspect(); // too soon: no read
    assertEquals(null, taken.poll(100, TimeUnit.MILLISECONDS));
  }
}
