package edgenode.store;

import edgenode.store.Disk.DiskException;
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

  private interface Work {
    int on(Disk disk) throws DiskException, StoreException;
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

  private int with(Path folder, Work work) {
    if (!folder.resolve(Manifest.NAME).toFile().exists()
        && !folder.resolve(Segment.name(1)).toFile().exists()) {
      err().println(folder + ": no store there");
      return 2;
    }
    try (Disk disk = new FileDisk(folder)) {
      return work.on(disk);
    } catch (StoreException | DiskException e) {
      err().println(e.getMessage());
      return 1;
    }
  }

  private Salvage read(Disk disk) throws DiskException, StoreException {
    Salvage s = Salvage.of(disk, name -> err().println("reading " + name));
    s.lost.forEach(
        l ->
            err()
                .println(
                    l.file()
                        + ", bytes "
                        + l.from()
                        + " to "
                        + l.to()
                        + ": "
                        + l.why()
                        + (l.torn() ? " (a torn end: the next start cuts it off)" : "")));
    return s;
  }

  @Command(
      name = "check",
      description = "Reads every byte and says what is damaged; changes nothing.")
  int check(@Parameters(paramLabel = "DIR") Path folder) {
    return with(
        folder,
        disk -> {
          Salvage s = read(disk);
          for (Salvage.Found f : s.latest.values()) {
            s.value(f);
          }
          out()
              .println(
                  (s.damaged() ? "damaged: " : "whole: ")
                      + s.records
                      + " records in "
                      + s.frames
                      + " batches");
          return s.damaged() ? 1 : 0;
        });
  }

  @Command(name = "stats", description = "Counts keys and bytes; changes nothing.")
  int stats(@Parameters(paramLabel = "DIR") Path folder) {
    return with(
        folder,
        disk -> {
          Salvage s = read(disk);
          long keys = 0;
          long live = 0;
          for (Salvage.Found f : s.latest.values()) {
            keys += f.stored().tombstone() ? 0 : 1;
            live += f.stored().tombstone() ? 0 : f.stored().length();
          }
          out()
              .printf(
                  "keys %d%ntombstones %d%nrecords %d%nbytes %d%nlive_bytes %d%n",
                  keys, s.latest.size() - keys, s.records, s.bytes, live);
          return s.damaged() ? 1 : 0;
        });
  }

  @Command(
      name = "dump",
      description =
          "Writes the entries in order, a line each: namespace, key and value (base64),"
              + " version, when it expires (ms since 1970, 0 never). Changes nothing.")
  int dump(@Parameters(paramLabel = "DIR") Path folder) {
    return with(
        folder,
        disk -> {
          Salvage s = read(disk);
          Base64.Encoder base64 = Base64.getEncoder();
          for (Map.Entry<Key, Salvage.Found> e : s.latest.entrySet()) {
            if (!e.getValue().stored().tombstone()) {
              out()
                  .println(
                      e.getKey().space()
                          + " "
                          + base64.encodeToString(e.getKey().bytes())
                          + " "
                          + base64.encodeToString(s.value(e.getValue()))
                          + " "
                          + e.getValue().stored().seq()
                          + " "
                          + e.getValue().stored().expires());
            }
          }
          return s.damaged() ? 1 : 0;
        });
  }

  @Command(name = "compact", description = "Does all the compaction that gains anything.")
  int compact(@Parameters(paramLabel = "DIR") Path folder) {
    return with(
        folder,
        disk -> {
          try (Engine e =
              new Engine(
                  disk,
                  Engine.Limits.DEFAULT,
                  System.currentTimeMillis(),
                  new SecureRandom()::nextLong)) {
            long before = e.figures().bytes();
            for (long told = 0; e.tidy(1 << 22, 0); ) {
              if (System.nanoTime() - told > 1_000_000_000L) {
                told = System.nanoTime();
                err().println(e.figures().bytes() + " bytes");
              }
            }
            out().println(before + " bytes before, " + e.figures().bytes() + " after");
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
    return with(
        folder,
        disk -> {
          Salvage s = read(disk);
          int kept = 0;
          try (Disk fresh = new FileDisk(into);
              Engine e =
                  new Engine(fresh, Engine.Limits.DEFAULT, s.time, new SecureRandom()::nextLong)) {
            for (Map.Entry<Key, Salvage.Found> f : s.latest.entrySet()) {
              byte[] value;
              try {
                value = s.value(f.getValue());
              } catch (StoreException damaged) {
                err().println(f.getKey() + ": " + damaged.getMessage());
                continue;
              }
              if (value != null) {
                e.append(
                    List.of(
                        new Batch()
                            .put(
                                f.getKey().space(),
                                f.getKey().bytes(),
                                value,
                                f.getValue().stored().expires())),
                    s.time);
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
                      + s.lost.size()
                      + " places lost"
                      + (s.damaged()
                          ? "; a key may have had a later value there, or have been deleted"
                          : ""));
          return 0;
        });
  }
}
