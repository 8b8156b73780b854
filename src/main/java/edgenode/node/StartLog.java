package edgenode.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What the parts of a start take, told in the log of every start: an edge node that starts again is
 * down for so long, and the others carry its load. Wall time and CPU (ms) since the process began,
 * by the system's own count in hundredths of a second; on part of a core the two differ by what the
 * node was held back.
 */
public final class StartLog {
  /** Of the fields behind the name in brackets: user and system time, and the time of the start. */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;
  private static final int START_TIME_FIELD = 19;
  private static final int MS_PER_CLOCK_TICK = 10;
  private static final StringBuilder LINE = new StringBuilder("start, wall/CPU ms:");

  private StartLog() {}

  /** A part has ended. */
  public static synchronized void partDone(String part) {
    LINE.append(' ').append(part).append(' ').append(times()).append(',');
  }

  /** The whole start has. */
  public static synchronized void finish(String part) {
    System.err.println(LINE.append(' ').append(part).append(' ').append(times()));
    LINE.setLength(0);
  }

  private static String times() {
    try {
      String stat = Files.readString(Path.of("/proc/self/stat"));
      String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
      String uptime = Files.readString(Path.of("/proc/uptime"));
      double up = 1000 * Double.parseDouble(uptime.substring(0, uptime.indexOf(' ')));
      long cpu =
          MS_PER_CLOCK_TICK
              * (Long.parseLong(fields[USER_TIME_FIELD])
                  + Long.parseLong(fields[SYSTEM_TIME_FIELD]));
      return Math.round(up - MS_PER_CLOCK_TICK * Long.parseLong(fields[START_TIME_FIELD]))
          + "/"
          + cpu;
    } catch (IOException | RuntimeException e) {
      return "not told"; // not this system's /proc
    }
  }
}
