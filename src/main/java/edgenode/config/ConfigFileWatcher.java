package edgenode.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Reads the configuration file again while the node runs: at SIGHUP, after faults that a changed
 * file would explain, and by polling where SIGHUP cannot be had. Nothing here runs on the event
 * loop, as reading blocks; the methods may be called from any thread.
 *
 * <p>Changes are recognised by content alone: a file may be replaced by rename, rewritten in place,
 * missing for a moment or partly written, and its timestamps may be another file's. Polled content
 * counts once two polls in a row have found it, as a file that is rewritten in place may parse at
 * any length. A poll reads a few KB from the page cache, in some 30 µs.
 */
public final class ConfigFileWatcher {
  /** New content counts within twice this; the platform allows 1.5 s. */
  static final long POLL_INTERVAL_MS = 200;

  /** A longer file is ignored. */
  static final int MAX_FILE_BYTES = 64 << 20;

  /** A file that is missing for this long is reported, once. */
  private static final long MISSING_REPORT_MS = 2000;

  /** Time between two reads after faults, doubled while they find nothing new. */
  private static final long FAULT_READ_BACKOFF_MS = 500;

  private static final long MAX_FAULT_READ_BACKOFF_MS = 8000;

  private final Map<String, String> environment;
  private final Path path;
  private final Consumer<NodeConfig> listener;
  private final Consumer<String> log;

  /** The content that was processed last, valid or not; null before the first. */
  private byte[] processed;

  /** The content of the last poll where it has not been processed yet, else null. */
  private byte[] pending;

  private long missingMs;
  private boolean isMissingReported;
  private long lastFaultReadMs = Long.MIN_VALUE;
  private long faultReadBackoffMs = FAULT_READ_BACKOFF_MS;
  private Thread watchThread;

  /**
   * Creates a watcher that has read nothing yet.
   *
   * @param environment the variables of the node's start; EDGE_CONFIG names the file
   * @param listener receives each valid configuration, on the thread that read it and in the order
   *     of the reads
   * @param log receives a line for the operators each
   */
  public ConfigFileWatcher(
      Map<String, String> environment, Consumer<NodeConfig> listener, Consumer<String> log) {
    this.environment = Map.copyOf(environment);
    this.path = Path.of(environment.getOrDefault("EDGE_CONFIG", ""));
    this.listener = listener;
    this.log = log;
  }

  /** Reads the file now, as at a signal. A file that is missing or invalid changes nothing. */
  public synchronized void reload() {
    byte[] found = readFile();
    if (found == null) {
      log.accept("configuration: " + path + " cannot be read; the previous one stays in force");
      return;
    }
    process(found);
  }

  /**
   * Something that the file names does not work: the file may have changed without a signal. Reads
   * it on another thread, with backoff while it has not changed. Returns at once.
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
        "config-read-after-fault",
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

  /** Polls the file on another thread, until the process ends or {@link #stop}. */
  public synchronized void watch() {
    if (watchThread == null) {
      watchThread =
          startThread(
              "config-poll",
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

  /** Stops reading the file unasked, for good. */
  public synchronized void stop() {
    if (watchThread != null) {
      watchThread.interrupt();
    }
  }

  /** Polls once. */
  synchronized void poll() {
    byte[] found = readFile();
    if (found == null) {
      pending = null;
      missingMs += POLL_INTERVAL_MS;
      if (missingMs >= MISSING_REPORT_MS && !isMissingReported) {
        isMissingReported = true;
        log.accept(
            "configuration: "
                + path
                + " has been unreadable or longer than "
                + (MAX_FILE_BYTES >> 20)
                + " MiB for "
                + MISSING_REPORT_MS
                + " ms; the previous one stays in force");
      }
      return;
    }
    missingMs = 0;
    isMissingReported = false;
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
      log.accept("configuration: rejected, the previous one stays in force: " + e.getMessage());
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
