package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A start in a JVM of its own. */
@Timeout(60)
class StartupTest {
  /**
   * Classes that are expensive at a start and not needed: recording, locales, formats, comparison
   * of records; and all of simulation and emulators, which serve must not load.
   */
  private static final List<String> CLASSES_NOT_TO_LOAD =
      List.of(
          "jdk.jfr.EventType",
          "sun.util.cldr.",
          "java.util.Formatter",
          "java.lang.runtime.ObjectMethods",
          "edgenode.simulation.",
          "edgenode.emulator.",
          "edgenode.benchmark.",
          "picocli.");

  private static final String CONFIG =
      """
                {"listen":"127.0.0.1:0","discovery":"%1$s","counter":"%1$s","name":"n",
                 "known":{"seq":1,"whole":true,"hosts":[{"host":"s","dial":"%1$s","site":"a","class":"m",
                  "block":1,"health":"active","share":1.0,"born_ms":0}]},
                 "settings":{"rank":0,"group_size":1,"tick":4,"family_info":{"shared_counter":true},
                  "request_classes":[{"name":"r","effect":"read_like","aim":600,"hard_limit":2000}],
                  "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""";

  private static String runLine() throws Exception {
    for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
      if (line.startsWith("run = ")) {
        return line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    throw new IllegalStateException("no run in the deploy file");
  }

  @Test
  void startLoadsNoExpensiveClassesAndLogsItsParts(@TempDir Path folder) throws Exception {
    try (ServerSocket peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Path config = folder.resolve("config.json");
      String address = "127.0.0.1:" + peer.getLocalPort();
      Files.writeString(config, CONFIG.formatted(address));
      Path loadedClassesLog = folder.resolve("loaded");
      // the command of the deploy file without the jar, which is not built when tests run
      List<String> command =
          new ArrayList<>(
              List.of(
                  System.getProperty("java.home")
                      + File.separator
                      + "bin"
                      + File.separator
                      + "java"));
      for (String word : runLine().substring("exec java ".length()).split(" ")) {
        if (word.startsWith("-X") || word.startsWith("-Dio.netty") && !word.contains("$")) {
          command.add(word);
        }
      }
      command.addAll(
          List.of(
              "-Xlog:class+load:file=" + loadedClassesLog,
              "-cp",
              System.getProperty("java.class.path"),
              "edgenode.Main",
              "serve"));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.environment().put("EDGE_CONFIG", config.toString());
      Process process = builder.redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
      try (BufferedReader log =
          new BufferedReader(
              new InputStreamReader(process.getErrorStream(), StandardCharsets.UTF_8))) {
        String line = log.readLine();
        while (line != null && !line.startsWith("start, wall/CPU ms:")) {
          line = log.readLine();
        }
        assertTrue(
            line != null && line.contains(" configuration ") && line.contains(" bind "),
            "the parts are told: " + line);
      } finally {
        process.destroy();
        assertTrue(process.waitFor(10, TimeUnit.SECONDS));
      }
      List<String> expensive =
          Files.readAllLines(loadedClassesLog).stream()
              .filter(c -> CLASSES_NOT_TO_LOAD.stream().anyMatch(c::contains))
              .limit(5)
              .toList();
      assertEquals(List.of(), expensive);
    }
  }
}
