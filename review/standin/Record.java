import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** What was sent, answered and run: one line each, with the milliseconds since the start. */
final class Record implements AutoCloseable {
  private final long startedNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  double ms() {
    return (System.nanoTime() - startedNanos) / 1e6;
  }

  synchronized void line(String text) {
    out.printf(Locale.ROOT, "%10.2f %s%n", ms(), text);
  }

  /** Also to standard output. */
  synchronized void say(String text) {
    line(text);
    System.out.println(text);
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
