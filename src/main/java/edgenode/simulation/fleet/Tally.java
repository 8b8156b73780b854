package edgenode.simulation.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** What a run counts. Only {@link #cpuNs} and {@link #memberNs} depend on the machine. */
public final class Tally {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /**
   * Sends to one cold server within its warm-up, and what all nodes together should send it then.
   */
  record Cold(int server, int sends, double part) {}

  long arrived;
  long served;
  long refused;
  long failed;

  /** Open when their node was killed. */
  long lost;

  /** Answered more than once, or never. */
  long second;

  long unanswered;
  long sends;

  /**
   * To a server that this node had been told as draining or gone, or not told at all; for a request
   * that is over.
   */
  long sendsToDown;

  long sendsAfterEnd;
  long noConnection;
  long full;
  long resets;
  long timeouts;

  /** First sends to a server for a keep-alive time, and tries of dead and held ones. */
  long connects;

  long tries;
  long counterCalls;
  long counterBytes;
  long counterTurnedAway;
  long counterLate;
  long wholeLists;
  long wholeBytes;
  long changeMessages;
  long changeBytes;

  /** Entries told in change messages, over all nodes, and those that had to be. */
  long changes;

  long changesDue;
  long beatBytes;

  /** Changes of entries at discovery, once each however many nodes are told. */
  long changesMade;

  long listBytes;
  long units;
  long beyond;
  long nodeRestarts;
  long nodeSeconds;

  /** Nodes that show another state of a server at the end than discovery's, by server. */
  long differing;

  long decided;
  long cpuNs;
  long memberNs;
  double usedServers;
  double listEntries;
  long stateBytes = -1;
  long events;
  long coldUnjudged;
  final List<Cold> cold = new ArrayList<>();

  /** From a change at discovery to the node's decisions (us of virtual time). */
  final Histogram applied = new Histogram(3_600_000_000L, 3);

  private long digest = 0x9e3779b97f4a7c15L;

  /** Takes in what passed: the same run gives the same sum. */
  void passed(long what) {
    long z = (digest ^ what) * 0xbf58476d1ce4e5b9L;
    digest = z ^ (z >>> 29);
  }

  /** CPU time of this thread (ns). */
  static long cpu() {
    return THREADS.getCurrentThreadCpuTime();
  }

  String digest() {
    return String.format("%016x", digest);
  }
}
