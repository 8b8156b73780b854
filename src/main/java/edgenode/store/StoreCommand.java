package edgenode.store;

import edgenode.store.StoreScan.ScannedRecord;
import edgenode.store.StoreScan.UnreadableRange;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code store check|stats|dump|compact|repair}: what operators do with the directory of a store
 * that no process has open.
 */
@Command(
    name = "store",
    mixinStandardHelpOptions = true,
    version = "1",
    description = "Maintains the directory of a store. No node may have it open meanwhile.",
    footer = "Exit code: 0 all well, 1 damaged or failed, 2 wrong input.")
public final class StoreCommand {
  private static final int EXIT_OK = 0;
  private static final int EXIT_DAMAGED = 1;
  private static final int EXIT_WRONG_INPUT = 2;

  private static final int COMPACTION_STEP_BYTES = 1 << 22;
  private static final long PROGRESS_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  @Spec private CommandSpec spec;

  private interface DirectoryTask {
    /** Works on a directory; returns the exit code. */
    int run(StoreDirectory directory) throws StorageIoException, StoreException;
  }

  /**
   * Runs a command line.
   *
   * @param args without the first word, {@code store}
   * @return the exit code
   */
  public static int run(String[] args) {
    return new CommandLine(new StoreCommand()).execute(args);
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  private int withDirectory(Path path, DirectoryTask task) {
    if (!path.resolve(Manifest.FILE_NAME).toFile().exists()
        && !path.resolve(Segment.fileName(1)).toFile().exists()) {
      err().println(path + ": no store there");
      return EXIT_WRONG_INPUT;
    }
    try (StoreDirectory directory = new FileSystemDirectory(path)) {
      return task.run(directory);
    } catch (StoreException | StorageIoException e) {
      err().println(e.getMessage());
      return EXIT_DAMAGED;
    }
  }

  private StoreScan scan(StoreDirectory directory) throws StorageIoException, StoreException {
    StoreScan scan = StoreScan.scan(directory, name -> err().println("reading " + name));
    for (UnreadableRange range : scan.unreadableRanges()) {
      err()
          .println(
              range.fileName()
                  + ", bytes "
                  + range.startOffset()
                  + " to "
                  + range.endOffset()
                  + ": "
                  + range.reason()
                  + (range.isTornEnd() ? " (a torn end: the next start cuts it off)" : ""));
    }
    return scan;
  }

  private static int exitCode(StoreScan scan) {
    return scan.isDamaged() ? EXIT_DAMAGED : EXIT_OK;
  }

  private static StoreEngine openEngine(StoreDirectory directory, long nowMs)
      throws StorageIoException, StoreException {
    return new StoreEngine(
        directory, StoreEngine.Options.DEFAULT, nowMs, new SecureRandom()::nextLong);
  }

  @Command(
      name = "check",
      description = "Reads every byte and says what is damaged; changes nothing.")
  int check(@Parameters(paramLabel = "DIR") Path path) {
    return withDirectory(path, this::check);
  }

  private int check(StoreDirectory directory) throws StorageIoException, StoreException {
    StoreScan scan = scan(directory);
    for (ScannedRecord record : scan.latestByKey().values()) {
      record.readValue();
    }
    out()
        .println(
            (scan.isDamaged() ? "damaged: " : "whole: ")
                + scan.recordCount()
                + " records in "
                + scan.frameCount()
                + " batches");
    return exitCode(scan);
  }

  @Command(name = "stats", description = "Counts keys and bytes; changes nothing.")
  int stats(@Parameters(paramLabel = "DIR") Path path) {
    return withDirectory(path, this::stats);
  }

  private int stats(StoreDirectory directory) throws StorageIoException, StoreException {
    StoreScan scan = scan(directory);
    long keys = 0;
    long liveBytes = 0;
    for (ScannedRecord record : scan.latestByKey().values()) {
      if (!record.storedRecord().isTombstone()) {
        keys++;
        liveBytes += record.storedRecord().lengthBytes();
      }
    }
    long tombstones = scan.latestByKey().size() - keys;
    out()
        .printf(
            "keys %d%ntombstones %d%nrecords %d%nbytes %d%nlive_bytes %d%n",
            keys, tombstones, scan.recordCount(), scan.totalBytes(), liveBytes);
    return exitCode(scan);
  }

  @Command(
      name = "dump",
      description =
          "Writes the entries in order, a line each: namespace, key and value (base64),"
              + " version, when it expires (ms since 1970, 0 never). Changes nothing.")
  int dump(@Parameters(paramLabel = "DIR") Path path) {
    return withDirectory(path, this::dump);
  }

  private int dump(StoreDirectory directory) throws StorageIoException, StoreException {
    StoreScan scan = scan(directory);
    Base64.Encoder base64 = Base64.getEncoder();
    for (ScannedRecord scanned : scan.latestByKey().values()) {
      StoredRecord record = scanned.storedRecord();
      if (record.isTombstone()) {
        continue;
      }
      out()
          .println(
              record.key().namespace()
                  + " "
                  + base64.encodeToString(record.key().bytes())
                  + " "
                  + base64.encodeToString(scanned.readValue())
                  + " "
                  + record.sequence()
                  + " "
                  + record.expiresAtMs());
    }
    return exitCode(scan);
  }

  @Command(name = "compact", description = "Does all the compaction that gains anything.")
  int compact(@Parameters(paramLabel = "DIR") Path path) {
    return withDirectory(path, this::compact);
  }

  private int compact(StoreDirectory directory) throws StorageIoException, StoreException {
    try (StoreEngine engine = openEngine(directory, System.currentTimeMillis())) {
      long bytesBefore = engine.metrics().totalBytes();
      long lastProgressNanos = 0;
      while (engine.runMaintenance(COMPACTION_STEP_BYTES, 0)) {
        if (System.nanoTime() - lastProgressNanos > PROGRESS_INTERVAL_NANOS) {
          lastProgressNanos = System.nanoTime();
          err().println(engine.metrics().totalBytes() + " bytes");
        }
      }
      out().println(bytesBefore + " bytes before, " + engine.metrics().totalBytes() + " after");
      return EXIT_OK;
    }
  }

  @Command(
      name = "repair",
      description = "Writes all that can be read into a new folder, and lists what is lost.")
  int repair(
      @Parameters(paramLabel = "DIR") Path path, @Parameters(paramLabel = "NEW") Path target) {
    if (target.toFile().exists()) {
      err().println(target + " exists already");
      return EXIT_WRONG_INPUT;
    }
    return withDirectory(path, directory -> repair(directory, target));
  }

  private int repair(StoreDirectory directory, Path target)
      throws StorageIoException, StoreException {
    StoreScan scan = scan(directory);
    int keys = 0;
    try (StoreDirectory copy = new FileSystemDirectory(target);
        StoreEngine engine = openEngine(copy, scan.latestTimeMs())) {
      for (ScannedRecord record : scan.latestByKey().values()) {
        keys += copyRecord(record, engine, scan.latestTimeMs()) ? 1 : 0;
      }
      engine.sync();
    }
    out()
        .println(
            keys
                + " keys in "
                + target
                + ", "
                + scan.unreadableRanges().size()
                + " places lost"
                + (scan.isDamaged()
                    ? "; a key may have had a later value there, or have been deleted"
                    : ""));
    return EXIT_OK;
  }

  /** Writes a record to the engine; false where it is a tombstone or cannot be read. */
  private boolean copyRecord(ScannedRecord scanned, StoreEngine engine, long timeMs)
      throws StorageIoException, StoreException {
    StoredRecord record = scanned.storedRecord();
    StoreKey key = record.key();
    byte[] value;
    try {
      value = scanned.readValue();
    } catch (StoreException e) {
      err().println(key + ": " + e.getMessage());
      return false;
    }
    if (value == null) {
      return false;
    }
    WriteBatch batch =
        new WriteBatch().put(key.namespace(), key.bytes(), value, record.expiresAtMs());
    engine.append(List.of(batch), timeMs);
    engine.publish();
    return true;
  }
}
