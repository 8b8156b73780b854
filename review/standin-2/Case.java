import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** What all cases share: the folder, the record, the time limit, the end of all processes. */
abstract class Case {
  /** Not 1, with which a JVM ends that cannot start; run.sh turns it into 1. */
  static final int BROKEN = 3;

  static final int HELD = 0;
  static final int NOT_RUN = 2;
  private static final int TIME_LIMIT_MS = 110_000;

  final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
  Record record;
  Path temporary;

  /** Runs the case; returns whether the rule held. */
  abstract boolean run() throws Exception;

  /** A new empty folder for one edge node's TMPDIR. */
  Path newTmp() throws IOException {
    return Files.createTempDirectory(temporary, "tmp");
  }

  void main(String folder) {
    int code = NOT_RUN;
    try {
      temporary = Files.createTempDirectory("case");
      Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
      record = new Record(Path.of(folder));
      Threads.start(
          "time limit",
          () -> {
            Thread.sleep(TIME_LIMIT_MS);
            record.say("not run: over the time limit");
            NodeProcess.killAll();
            Runtime.getRuntime().exit(NOT_RUN);
          });
      record.say(hasTrouble ? "with the disruption" : "without the disruption");
      boolean hasHeld = run();
      code = hasHeld ? HELD : BROKEN;
      record.say(hasHeld ? "the rule held" : "THE RULE WAS BROKEN");
    } catch (Throwable e) {
      e.printStackTrace();
      if (record != null) {
        record.say("not run: " + e);
      }
    }
    System.exit(code);
  }

  private void clean() {
    NodeProcess.killAll();
    if (Boolean.getBoolean("logs")) {
      try (Stream<Path> files = Files.walk(temporary)) {
        for (Path file : files.filter(f -> f.toString().endsWith(".log")).toList()) {
          System.err.println(Files.readString(file));
        }
      } catch (IOException e) {
        // no logs then
      }
    }
    try (Stream<Path> files = Files.walk(temporary)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // what is left is in the temporary folder
    }
  }
}
