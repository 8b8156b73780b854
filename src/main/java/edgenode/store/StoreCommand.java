package edgenode.store;

import edgenode.store.StoreDirectory.StorageIoException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code store check|stats|dump|compact|repair}: what operators do to a folder that no node has
 * open.
 */
@Command(
    name = "store",
    mixinStandardHelpOptions = true,
    version = "1",
    description = "Looks after the folder of a store. No node may have it open meanwhile.",
    footer = "Exit code: 0 all well, 1 damaged or failed, 2 wrong input.")
public final class StoreCommand {
  @Spec private CommandSpec spec;

  private interface DirectoryTask {
    int runOn(StoreDirectory disk) throws StorageIoException, StoreException;
  }

  /** Runs a command line without its first word; returns the exit code. */
  public static int run(String[] args) {
    return new CommandLine(new StoreCommand()).execute(args);
  }

  private PrintWriter out() {
    return spec.commandLine().getOut();
  }

  private PrintWriter err() {
    return spec.commandLine().getErr();
  }

  private int withDirectory(Path folder, DirectoryTask work) {
    if (!folder.resolve(Manifest.FILE_NAME).toFile().exists()
        && !folder.resolve(Segment.fileName(1)).toFile().exists()) {
      err().println(folder + ": no store there");
      return 2;
    }
    try (StoreDirectory disk = new FileSystemDirectory(folder)) {
      return work.runOn(disk);
    } catch (StoreException | StorageIoException e) {
      err().println(e.getMessage());
      return 1;
    }
  }

  private StoreScan scan(StoreDirectory disk) throws StorageIoException, StoreException {
    StoreScan s = StoreScan.scan(disk, name -> err().println("reading " + name));
    s.unreadableRanges.forEach(
        l ->
            err()
                .println(
                    l.fileName()
                        + ", bytes "
                        + l.startOffset()
                        + " to "
                        + l.endOffset()
                        + ": "
                        + l.reason()
                        + (l.isTornTail() ? " (a torn end: the next start cuts it off)" : "")));
    return s;
  }

  @Command(
      name = "check",
      description = "Reads every byte and says what is damaged; changes nothing.")
  int check(@Parameters(paramLabel = "DIR") Path folder) {
    return withDirectory(
        folder,
        disk -> {
          StoreScan s = scan(disk);
          for (StoreScan.ScannedRecord f : s.latestByKey.values()) {
            s.readValue(f);
          }
          out()
              .println(
                  (s.isDamaged() ? "damaged: " : "whole: ")
                      + s.recordCount
                      + " records in "
                      + s.frameCount
                      + " batches");
          return s.isDamaged() ? 1 : 0;
        });
  }

  @Command(name = "stats", description = "Counts keys and bytes; changes nothing.")
  int stats(@Parameters(paramLabel = "DIR") Path folder) {
    return withDirectory(
        folder,
        disk -> {
          StoreScan s = scan(disk);
          long keys = 0;
          long live = 0;
          for (StoreScan.ScannedRecord f : s.latestByKey.values()) {
            keys += f.storedRecord().isTombstone() ? 0 : 1;
            live += f.storedRecord().isTombstone() ? 0 : f.storedRecord().lengthBytes();
          }
          out()
              .printf(
                  "keys %d%ntombstones %d%nrecords %d%nbytes %d%nlive_bytes %d%n",
                  keys, s.latestByKey.size() - keys, s.recordCount, s.totalBytes, live);
          return s.isDamaged() ? 1 : 0;
        });
  }

  @Command(
      name = "dump",
      description =
          "Writes the entries in order, a line each: namespace, key and value (base64),"
              + " version, when it expires (ms since 1970, 0 never). Changes nothing.")
  int dump(@Parameters(paramLabel = "DIR") Path folder) {
    return withDirectory(
        folder,
        disk -> {
          StoreScan s = scan(disk);
          Base64.Encoder base64 = Base64.getEncoder();
          for (Map.Entry<StoreKey, StoreScan.ScannedRecord> e : s.latestByKey.entrySet()) {
            if (!e.getValue().storedRecord().isTombstone()) {
              out()
                  .println(
                      e.getKey().namespace()
                          + " "
                          + base64.encodeToString(e.getKey().bytes())
                          + " "
                          + base64.encodeToString(s.readValue(e.getValue()))
                          + " "
                          + e.getValue().storedRecord().sequence()
                          + " "
                          + e.getValue().storedRecord().expiresAtMs());
            }
          }
          return s.isDamaged() ? 1 : 0;
        });
  }

  @Command(name = "compact", description = "Does all the compaction that gains anything.")
  int compact(@Parameters(paramLabel = "DIR") Path folder) {
    return withDirectory(
        folder,
        disk -> {
          try (StoreEngine e =
              new StoreEngine(
                  disk,
                  StoreEngine.EngineOptions.DEFAULT,
                  System.currentTimeMillis(),
                  new SecureRandom()::nextLong)) {
            long before = e.metrics().totalBytes();
            for (long told = 0; e.runMaintenance(1 << 22, 0); ) {
              if (System.nanoTime() - told > 1_000_000_000L) {
                told = System.nanoTime();
                err().println(e.metrics().totalBytes() + " bytes");
              }
            }
            out().println(before + " bytes before, " + e.metrics().totalBytes() + " after");
            return 0;
          }
        });
  }

  @Command(
      name = "repair",
      description = "Writes all that can be read into a new folder, and lists what is lost.")
  int repair(
      @Parameters(paramLabel = "DIR") Path folder, @Parameters(paramLabel = "NEW") Path into) {
    if (into.toFile().exists()) {
      err().println(into + " is there already");
      return 2;
    }
    return withDirectory(
        folder,
        disk -> {
          StoreScan s = scan(disk);
          int kept = 0;
          try (StoreDirectory fresh = new FileSystemDirectory(into);
              StoreEngine e =
                  new StoreEngine(
                      fresh,
                      StoreEngine.EngineOptions.DEFAULT,
                      s.latestTimeMs,
                      new SecureRandom()::nextLong)) {
            for (Map.Entry<StoreKey, StoreScan.ScannedRecord> f : s.latestByKey.entrySet()) {
              byte[] value;
              try {
                value = s.readValue(f.getValue());
              } catch (StoreException damaged) {
                err().println(f.getKey() + ": " + damaged.getMessage());
                continue;
              }
              if (value != null) {
                e.append(
                    List.of(
                        new WriteBatch()
                            .put(
                                f.getKey().namespace(),
                                f.getKey().bytes(),
                                value,
                                f.getValue().storedRecord().expiresAtMs())),
                    s.latestTimeMs);
                e.publish();
                kept++;
              }
            }
            e.sync();
          }
          out()
              .println(
                  kept
                      + " keys in "
                      + into
                      + ", "
                      + s.unreadableRanges.size()
                      + " places lost"
                      + (s.isDamaged()
                          ? "; a key may have had a later value there, or have been deleted"
                          : ""));
          return 0;
        });
  }
}
