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
 * <p>A look reads the whole file ({@link #POLL_INTERVAL_MS} apart, a few KB from memory: some 30
 * µs), so that no clock, inode or notice of the system needs to be trusted. Content counts once two
 * looks in a row have found it alike, as a writer in place passes through halves that may parse.
 */
public final class ConfigFileWatcher {
  /** Between two looks (ms): new content counts within twice that. The platform leaves 1.5 s. */
  static final long POLL_INTERVAL_MS = 200;

  /** A file longer than this (bytes) is no configuration. */
  static final int MAX_FILE_BYTES = 64 << 20;

  /** A file that is missing for so long (ms) is told, once. */
  private static final long MISSING_REPORT_MS = 2000;

  /**
   * Between two reads that were asked for by trouble (ms), doubled while they bring nothing new.
   */
  private static final long FAULT_READ_BACKOFF_MS = 500;

  private static final long MAX_FAULT_READ_BACKOFF_MS = 8000;

  private final Map<String, String> environment;
  private final Path path;
  private final Consumer<NodeConfig> listener;
  private final Consumer<String> log;

  /** What was judged last, good or bad; null before the first look. */
  private byte[] processed;

  /** What the last look found, where that has not been judged yet. */
  private byte[] pending;

  private long missingMs;
  private long lastFaultReadMs = Long.MIN_VALUE;
  private long faultReadBackoffMs = FAULT_READ_BACKOFF_MS;
  private Thread watchThread;

  /**
   * @param environment the variables of the start; EDGE_CONFIG names the file
   * @param listener hears each configuration that was read and understood, on the thread that read
   *     it and in the order of the reads
   * @param log hears what the operators should know, a line each
   */
  public ConfigFileWatcher(
      Map<String, String> environment, Consumer<NodeConfig> listener, Consumer<String> log) {
    this.environment = Map.copyOf(environment);
    this.path = Path.of(environment.getOrDefault("EDGE_CONFIG", ""));
    this.listener = listener;
    this.log = log;
  }

  /**
   * Reads and judges the file as it is now, as at a signal. What cannot be understood changes
   * nothing.
   */
  public synchronized void reload() {
    byte[] found = readFile();
    if (found == null) {
      log.accept("configuration: " + path + " cannot be read; what was read before stays");
      return;
    }
    process(found);
  }

  /**
   * Something that the file names has gone wrong: perhaps it names another by now and nobody said
   * so. Reads it on a thread of its own, rarer while it brings nothing new. Returns at once.
   */
  public synchronized void reloadAfterFault() {
    long nowMs = System.nanoTime() / 1_000_000;
    if (watchThread != null
        || lastFaultReadMs != Long.MIN_VALUE && nowMs - lastFaultReadMs < faultReadBackoffMs) {
      return;
    }
    faultReadBackoffMs =
        lastFaultReadMs != Long.MIN_VALUE && nowMs - lastFaultReadMs > 2 * MAX_FAULT_READ_BACKOFF_MS
            ? FAULT_READ_BACKOFF_MS
            : Math.min(2 * faultReadBackoffMs, MAX_FAULT_READ_BACKOFF_MS);
    lastFaultReadMs = nowMs;
    startThread(
        "configuration, once",
        () -> {
          synchronized (this) {
            byte[] found = readFile();
            if (found != null && !Arrays.equals(found, processed)) {
              faultReadBackoffMs = FAULT_READ_BACKOFF_MS;
              process(found);
            }
          }
        });
  }

  /** Looks at the file from now on, until the process ends or {@link #stop}. */
  public synchronized void watch() {
    if (watchThread == null) {
      watchThread =
          startThread(
              "configuration",
              () -> {
                try {
                  while (true) {
                    poll();
                    Thread.sleep(POLL_INTERVAL_MS);
                  }
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              });
    }
  }

  /** Ends the looks. */
  public synchronized void stop() {
    if (watchThread != null) {
      watchThread.interrupt();
    }
  }

  /** One look. */
  synchronized void poll() {
    byte[] found = readFile();
    if (found == null) {
      pending = null;
      missingMs += POLL_INTERVAL_MS;
      if (missingMs == MISSING_REPORT_MS) {
        log.accept(
            "configuration: "
                + path
                + " cannot be read for "
                + MISSING_REPORT_MS
                + " ms; what was read before stays");
      }
      return;
    }
    missingMs = 0;
    if (Arrays.equals(found, processed)) {
      pending = null;
    } else if (Arrays.equals(found, pending)) {
      process(found);
    } else {
      pending = found;
    }
  }

  private void process(byte[] found) {
    processed = found;
    pending = null;
    NodeConfig config;
    try {
      config = NodeConfig.reload(found, environment);
    } catch (IOException | RuntimeException e) {
      log.accept("configuration: not taken, what was read before stays: " + e.getMessage());
      return;
    }
    listener.accept(config);
  }

  private byte[] readFile() {
    try (InputStream in = Files.newInputStream(path)) {
      byte[] found = in.readNBytes(MAX_FILE_BYTES + 1);
      return found.length > MAX_FILE_BYTES ? null : found;
    } catch (IOException e) {
      return null;
    }
  }

  private static Thread startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
