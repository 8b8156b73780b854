package edgenode.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The configuration's file, read again while the edge node runs: at SIGHUP, when discovery refuses
 * everything, and where SIGHUP cannot be had by looking at it. What is read is judged by its
 * content alone: a file may be replaced by rename, rewritten in place, missing for a moment or half
 * written, and its times may be those of another. Nothing here runs on the event loop: reading
 * blocks.
 *
 * <p>A look reads the whole file ({@link #EVERY} apart, a few KB from memory: some 30 µs), so that
 * no clock, inode or notice of the system needs to be trusted. Content counts once two looks in a
 * row have found it alike, as a writer in place passes through halves that may parse.
 */
public final class ConfigFile {
  /** Between two looks (ms): new content counts within twice that. The platform leaves 1.5 s. */
  static final long EVERY = 200;

  /** A file longer than this (bytes) is no configuration. */
  static final int LONGEST = 64 << 20;

  /** A file that is missing for so long (ms) is told, once. */
  private static final long MISSING = 2000;

  /**
   * Between two reads that were asked for by trouble (ms), doubled while they bring nothing new.
   */
  private static final long SUSPECT = 500;

  private static final long SUSPECT_MOST = 8000;

  private final Map<String, String> environment;
  private final Path path;
  private final Consumer<Config> taken;
  private final Consumer<String> log;

  /** What was judged last, good or bad; null before the first look. */
  private byte[] judged;

  /** What the last look found, where that has not been judged yet. */
  private byte[] pending;

  private long missing;
  private long suspectAt = Long.MIN_VALUE;
  private long suspectWait = SUSPECT;
  private Thread watching;

  /**
   * @param environment the variables of the start; EDGE_CONFIG names the file
   * @param taken hears each configuration that was read and understood, on the thread that read it
   *     and in the order of the reads
   * @param log hears what the operators should know, a line each
   */
  public ConfigFile(Map<String, String> environment, Consumer<Config> taken, Consumer<String> log) {
    this.environment = Map.copyOf(environment);
    this.path = Path.of(environment.getOrDefault("EDGE_CONFIG", ""));
    this.taken = taken;
    this.log = log;
  }

  /**
   * Reads and judges the file as it is now, as at a signal. What cannot be understood changes
   * nothing.
   */
  public synchronized void read() {
    byte[] found = bytes();
    if (found == null) {
      log.accept("configuration: " + path + " cannot be read; what was read before stays");
      return;
    }
    judge(found);
  }

  /**
   * Something that the file names has gone wrong: perhaps it names another by now and nobody said
   * so. Reads it on a thread of its own, rarer while it brings nothing new. Returns at once.
   */
  public synchronized void suspect() {
    long now = System.nanoTime() / 1_000_000;
    if (watching != null || suspectAt != Long.MIN_VALUE && now - suspectAt < suspectWait) {
      return;
    }
    suspectWait =
        suspectAt != Long.MIN_VALUE && now - suspectAt > 2 * SUSPECT_MOST
            ? SUSPECT
            : Math.min(2 * suspectWait, SUSPECT_MOST);
    suspectAt = now;
    thread(
        "configuration, once",
        () -> {
          synchronized (this) {
            byte[] found = bytes();
            if (found != null && !Arrays.equals(found, judged)) {
              suspectWait = SUSPECT;
              judge(found);
            }
          }
        });
  }

  /** Looks at the file from now on, until the process ends or {@link #stop}. */
  public synchronized void watch() {
    if (watching == null) {
      watching =
          thread(
              "configuration",
              () -> {
                try {
                  while (true) {
                    look();
                    Thread.sleep(EVERY);
                  }
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }
  }

  /** Ends the looks. */
  public synchronized void stop() {
    if (watching != null) {
      watching.interrupt();
    }
  }

  /** One look. */
  synchronized void look() {
    byte[] found = bytes();
    if (found == null) {
      pending = null;
      missing += EVERY;
      if (missing == MISSING) {
        log.accept(
            "configuration: "
                + path
                + " cannot be read for "
                + MISSING
                + " ms; what was read before stays");
      }
      return;
    }
    missing = 0;
    if (Arrays.equals(found, judged)) {
      pending = null;
    } else if (Arrays.equals(found, pending)) {
      judge(found);
    } else {
      pending = found;
    }
  }

  private void judge(byte[] found) {
    judged = found;
    pending = null;
    Config told;
    try {
      told = Config.again(found, environment);
    } catch (IOException | RuntimeException e) {
      log.accept("configuration: not taken, what was read before stays: " + e.getMessage());
      return;
    }
    taken.accept(told);
  }

  private byte[] bytes() {
    try (InputStream in = Files.newInputStream(path)) {
      byte[] found = in.readNBytes(LONGEST + 1);
      return found.length > LONGEST ? null : found;
    } catch (IOException e) {
      return null;
    }
  }

  private static Thread thread(String name, Runnable what) {
    Thread thread = new Thread(what, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
