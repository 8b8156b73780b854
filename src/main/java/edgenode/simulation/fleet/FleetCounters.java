package edgenode.simulation.fleet;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What a run counts. Only {@link #policyCpuNs} and {@link #membershipCpuNs} depend on the machine.
 */
public final class FleetCounters {
  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

  /**
   * Sends to one cold server within its warm-up, and what all nodes together should send it then.
   */
  record WarmUpSample(int server, int sends, double expectedSends) {}

  long arrived;
  long served;
  long rejected;
  long failed;

  /** Open when their node was killed. */
  long lostWithNode;

  /** Answered more than once, or never. */
  long answeredAgain;

  long unanswered;
  long sends;

  /**
   * To a server that this node had been told as draining or gone, or not told at all; for a request
   * that is over.
   */
  long sendsToDown;

  long sendsAfterEnd;
  long connectFailures;
  long rejectedByServer;
  long resets;
  long timeouts;

  /** First sends to a server for a keep-alive time, and tries of dead and held ones. */
  long connects;

  long probes;
  long counterCalls;
  long counterBytes;
  long counterRejected;
  long counterLate;
  long completeLists;
  long completeListBytes;
  long changeMessages;
  long changeBytes;

  /** Entries told in change messages, over all nodes, and those that had to be. */
  long changesSent;

  long changesDue;
  long heartbeatBytes;

  /** Changes of entries at discovery, once each however many nodes are told. */
  long changesMade;

  long listBytes;
  long units;
  long unitsOverQuota;
  long nodeRestarts;
  long nodeSeconds;

  /** Nodes that show another state of a server at the end than discovery's, by server. */
  long differingEntries;

  long policyEvents;
  long policyCpuNs;
  long membershipCpuNs;
  double usedServers;
  double listEntries;
  long stateBytes = -1;
  long events;
  long warmUpsNotJudged;
  final List<WarmUpSample> warmUps = new ArrayList<>();

  /** From a change at discovery to the node's decisions (us of virtual time). */
  final Histogram changeLatencyUs = new Histogram(3_600_000_000L, 3);

  private long digest = 0x9e3779b97f4a7c15L;

  /** Takes in what passed: the same run gives the same sum. */
  void addToDigest(long event) {
    long mixed = (digest ^ event) * 0xbf58476d1ce4e5b9L;
    digest = mixed ^ (mixed >>> 29);
  }

  /** CPU time of this thread (ns). */
  static long threadCpuNs() {
    return THREADS.getCurrentThreadCpuTime();
  }

  String digest() {
    return String.format("%016x", digest);
  }
}
