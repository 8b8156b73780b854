import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of a run: what was sent, answered and run, a line each, with the time in ms. */
final class Record {
  private static final long START_NANOS = System.nanoTime();
  private final PrintStream out;

  Record(Path folder) throws IOException {
    out = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true);
  }

  /** Time (ms) since the start of the test. */
  static double nowMs() {
    return (System.nanoTime() - START_NANOS) / 1e6;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%10.1f  %s%n", nowMs(), text);
  }

  /** A line that is also printed. */
  synchronized void say(String text) {
    line(text);
    System.out.println(text);
  }
}
