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
   * Sends to one warming-up endpoint within its warm-up, and what all nodes together should send it
   * then.
   */
  record WarmUpSample(int server, int sends, double expectedSends) {}

  long arrived;
  long served;
  long rejected;
  long failed;

  /** Requests that were open when their node was killed. */
  long lostWithNode;

  /** Answers to requests that were answered before. */
  long answeredAgain;

  /** Requests that never got an answer. */
  long unanswered;

  long sends;

  /** Sends to a server that the node had as draining, removed or unknown. */
  long sendsToDown;

  /** Sends for a request that was over. */
  long sendsAfterEnd;

  long connectFailures;
  long rejectedByServer;
  long resets;
  long timeouts;

  /** Sends to a server that had none within the keep-alive time. */
  long connects;

  /** Connection probes of ejected or quarantined servers. */
  long reachabilityChecks;

  long counterCalls;
  long counterBytes;
  long counterRejected;
  long counterLate;
  long completeLists;
  long completeListBytes;
  long changeMessages;
  long changeBytes;

  /** Entries in messages of changes, over all nodes. */
  long changesSent;

  /** Entries that these messages had to contain. */
  long changesDue;

  long heartbeatBytes;

  /** Changes of entries at discovery, each counted once. */
  long changesMade;

  long listBytes;
  long units;
  long unitsOverQuota;
  long nodeRestarts;
  long nodeSeconds;

  /** Entries, over all nodes, whose state at the end is another than discovery's. */
  long differingEntries;

  long policyEvents;
  long policyCpuNs;
  long membershipCpuNs;
  double usedServers;
  double listEntries;

  /** Heap of the cores of a node; -1 where it was not measured. */
  long stateBytes = -1;

  long events;
  long warmUpsNotJudged;
  final List<WarmUpSample> warmUps = new ArrayList<>();

  /** From a change at discovery until a node's policy has it (us of virtual time). */
  final Histogram changeLatencyUs = new Histogram(3_600_000_000L, 3);

  private long digest = 0x9e3779b97f4a7c15L;

  /** Adds an event to the digest: the same events in the same order give the same digest. */
  void addToDigest(long event) {
    long mixed = (digest ^ event) * 0xbf58476d1ce4e5b9L;
    digest = mixed ^ (mixed >>> 29);
  }

  /** CPU time of this thread (ns). */
  static long threadCpuNs() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** 16 hex digits. */
  String digest() {
    return String.format("%016x", digest);
  }
}
