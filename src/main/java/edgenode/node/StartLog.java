package edgenode.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The log line on the parts of a start: the name of each part with wall time and CPU time (ms)
 * since the process began, as the kernel counts them in hundredths of a second. On part of a core
 * the two differ by the time in which the process was throttled. From any thread.
 */
public final class StartLog {
  /** Positions in /proc/self/stat after the name in brackets, see proc(5). */
  private static final int USER_TIME_FIELD = 11;

  private static final int SYSTEM_TIME_FIELD = 12;
  private static final int START_TIME_FIELD = 19;
  private static final int MS_PER_CLOCK_TICK = 10;
  private static final StringBuilder LINE = new StringBuilder("start, wall/CPU ms:");

  private StartLog() {}

  /** Notes that a part has ended. */
  public static synchronized void partDone(String part) {
    LINE.append(' ').append(part).append(' ').append(times()).append(',');
  }

  /** Notes the last part, and writes the line to the standard error. */
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
      return "unknown"; // no such /proc
    }
  }
}
