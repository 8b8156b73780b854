import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One edge node: a process that the deploy file's run command starts, from the root. */
final class NodeProcess {
  private static final List<NodeProcess> STARTED = new ArrayList<>();
  private final Process process;
  private final String name;

  private NodeProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /**
   * Starts a node.
   *
   * @param folder for its configuration and its log
   * @param tmp its TMPDIR
   */
  static NodeProcess start(String name, Path folder, Path tmp, String config, Map<String, String> more)
      throws IOException {
    String deploy = Files.readString(Path.of("deploy/balancer.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"((?:[^\"\\\\]++|\\\\.)*+)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run command in the deploy file");
    }
    if (!Files.exists(Path.of("target/edge-node.jar"))) {
      throw new IOException("the program is not built");
    }
    Path configFile = folder.resolve(name + "-" + System.nanoTime() + ".json");
    Files.writeString(configFile, config);
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run.group(1).replace("\\\"", "\"").replace("\\\\", "\\"));
    builder.environment().put("EDGE_NAME", name);
    builder.environment().put("EDGE_CONFIG", configFile.toString());
    builder.environment().put("TMPDIR", tmp.toString());
    builder.environment().putAll(more);
    builder.redirectErrorStream(true);
    builder.redirectOutput(folder.resolve(configFile.getFileName() + ".log").toFile());
    NodeProcess node = new NodeProcess(name, builder.start());
    synchronized (STARTED) {
      STARTED.add(node);
    }
    return node;
  }

  String name() {
    return name;
  }

  long pid() {
    return process.pid();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitCode() {
    return process.exitValue();
  }

  /** SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** SIGKILL. */
  void kill() {
    process.destroyForcibly();
  }

  boolean awaitEnd(long ms) throws InterruptedException {
    return process.waitFor(ms, TimeUnit.MILLISECONDS);
  }

  /** Ends all nodes that were started. */
  static void killAll() {
    synchronized (STARTED) {
      for (NodeProcess node : STARTED) {
        node.process.destroyForcibly();
      }
    }
  }
}
