package edgenode;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The commands as operators run them: a process each. */
@Timeout(60)
class CommandLineTest {
  private static final Pattern LONG_OPTION = Pattern.compile("(?m)^ *(?:-\\w, )?--([a-z-]+)");
  private static final Pattern STORE_COMMAND = Pattern.compile("(?m)^ {2}([a-z]+) {2}");

  private record Ended(int code, String out, String err) {}

  @TempDir Path folder;

  private Ended run(Map<String, String> env, String... args)
      throws IOException, InterruptedException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-cp",
                System.getProperty("java.class.path"), "edgenode.Main"));
    command.addAll(List.of(args));
    Path out = folder.resolve("out");
    Path err = folder.resolve("err");
    ProcessBuilder start =
        new ProcessBuilder(command).redirectOutput(out.toFile()).redirectError(err.toFile());
    start.environment().remove("EDGE_CONFIG");
    start.environment().putAll(env);
    Process process = start.start();
    assertTrue(process.waitFor(30, TimeUnit.SECONDS), "does not end");
    return new Ended(
        process.exitValue(),
        Files.readString(out, StandardCharsets.UTF_8),
        Files.readString(err, StandardCharsets.UTF_8));
  }

  @Test
  void helpIsAnAnswerAndNotAnError() throws Exception {
    for (String[] args :
        new String[][] {{"--help"}, {"help"}, {"serve", "--help"}, {"check-settings", "--help"}}) {
      Ended help = run(Map.of(), args);
      assertEquals(0, help.code, String.join(" ", args));
      assertTrue(help.out.startsWith("usage: "), help.out);
      assertEquals("", help.err);
    }
    Ended unknown = run(Map.of(), "sevre", "--help");
    assertEquals(2, unknown.code, "there is no such command to be told of");
    assertTrue(unknown.err.startsWith("usage: "), unknown.err);
    Ended none = run(Map.of());
    assertEquals(2, none.code);
    assertTrue(none.err.startsWith("usage: "), none.err);
  }

  /** Scripts call the commands by these names, those that they had before included. */
  @Test
  void eachListedCommandExists() throws Exception {
    for (String command : ExternalNames.group("commands")) {
      assertTrue(helpOf(command).toLowerCase(Locale.ROOT).contains("usage: "), command);
    }
  }

  @Test
  void optionsHaveTheListedNames() throws Exception {
    for (String command : List.of("demo", "simulate", "simulate-fleet", "benchmark-scaling")) {
      TreeSet<String> expected = new TreeSet<>(ExternalNames.group("flags of " + command));
      expected.addAll(List.of("help", "version"));
      assertEquals(expected, namesIn(helpOf(command), LONG_OPTION), command);
    }
  }

  @Test
  void storeCommandsHaveTheListedNames() throws Exception {
    assertEquals(
        new TreeSet<>(ExternalNames.group("store commands")),
        namesIn(helpOf("store"), STORE_COMMAND));
  }

  /** The help page of a command, which ends with code 0. */
  private String helpOf(String command) throws Exception {
    Ended help = run(Map.of(), command, "--help");
    assertEquals(0, help.code, command + ": " + help.err);
    return help.out;
  }

  private static TreeSet<String> namesIn(String help, Pattern name) {
    TreeSet<String> names = new TreeSet<>();
    name.matcher(help).results().forEach(match -> names.add(match.group(1)));
    return names;
  }

  @Test
  void settingsAreCheckedBeforeTheyAreUsed() throws Exception {
    Path good =
        Files.writeString(folder.resolve("good.toml"), "[membership]\nfail_over_ms = 4000\n");
    assertEquals(
        new Ended(0, good + ": good\n", ""), run(Map.of(), "check-settings", good.toString()));
    Path bad =
        Files.writeString(
            folder.resolve("bad.toml"), "[membership]\nfail_over_ms = \"soon\"\nsauces = []\n");
    Ended refused = run(Map.of(), "check-settings", bad.toString());
    assertEquals(2, refused.code);
    assertTrue(
        refused.err.contains(bad + ":2: membership.fail_over_ms: found 'soon'"), refused.err);
    assertTrue(refused.err.contains(":3: membership.sauces"), refused.err);
    Ended missing = run(Map.of(), "check-settings", folder.resolve("none.toml").toString());
    assertEquals(2, missing.code);
    assertTrue(missing.err.contains("none.toml: cannot be read"), missing.err);
  }

  /** Nothing is started with them: the process ends before it listens. */
  @Test
  void serveRefusesBadSettings() throws Exception {
    Path config =
        Files.writeString(
            folder.resolve("config.json"),
            """
            {"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":64},
             "settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}""");
    Path bad = Files.writeString(folder.resolve("bad.toml"), "[membership]\nfail_over_ms = 1\n");
    Ended ended =
        run(Map.of("EDGE_CONFIG", config.toString()), "serve", "--settings", bad.toString());
    assertEquals(2, ended.code, ended.err);
    assertTrue(ended.err.contains(":2: membership.fail_over_ms: found 1, allowed is"), ended.err);
  }
}
