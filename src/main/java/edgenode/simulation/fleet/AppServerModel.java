package edgenode.simulation.fleet;

import java.util.Arrays;

/** Model of an app server: cores that take requests in order, slower while it warms up. */
final class AppServerModel {
  /** State at discovery; the lower-case names are on the wire. */
  enum Health {
    ACTIVE,
    LEAVING,
    LEFT
  }

  static final int CORES = 2;

  /** Requests (of mean work) that queue at most; more are rejected. */
  private static final int MAX_QUEUED_REQUESTS = 32;

  final int index;
  final int listIndex;
  final String address;
  final String zone;

  Health health = Health.ACTIVE;

  /** When its entry at discovery last changed; 0 for never. */
  double changedAtMs;

  /** Changes of its entry at discovery. */
  int changeCount;

  boolean isUp = true;

  /** Whether its machine is lost: connects time out, where else they are refused. */
  boolean isUnresponsive;

  /** Counts its stops. */
  int incarnation;

  /** Last start; 0 where it ran before the simulation. */
  double startedAtMs;

  /** Sends in its present warm-up. */
  int warmUpSends;

  /** Sends to warm servers of its list when it last started. */
  long listSendsAtStart;

  private final double[] coreFreeAtMs = new double[CORES];

  AppServerModel(int index, int listIndex, String zone) {
    this.index = index;
    this.listIndex = listIndex;
    this.zone = zone;
    address =
        "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7000";
  }

  /**
   * Queues a request.
   *
   * @param workMs work of the request (ms of a core at full speed)
   * @param speed present share of the full speed
   * @return when it is done (ms), NaN where the queue is full
   */
  double enqueue(double nowMs, double workMs, double meanWorkMs, double speed) {
    int earliestCore = 0;
    for (int i = 1; i < CORES; i++) {
      earliestCore = coreFreeAtMs[i] < coreFreeAtMs[earliestCore] ? i : earliestCore;
    }
    double startMs = Math.max(nowMs, coreFreeAtMs[earliestCore]);
    if (startMs - nowMs > MAX_QUEUED_REQUESTS * meanWorkMs / CORES / speed) {
      return Double.NaN;
    }
    coreFreeAtMs[earliestCore] = startMs + workMs / speed;
    return coreFreeAtMs[earliestCore];
  }

  void crash(boolean isMachineLost) {
    isUp = false;
    isUnresponsive = isMachineLost;
    incarnation++;
  }

  void restart(double nowMs, long listSends) {
    isUp = true;
    isUnresponsive = false;
    startedAtMs = nowMs;
    warmUpSends = 0;
    listSendsAtStart = listSends;
    Arrays.fill(coreFreeAtMs, nowMs);
  }

  /** Present share of the full speed: grows from {@code initialShare} to 1 in the warm-up. */
  double speed(double nowMs, double initialShare, double warmUpMs) {
    double ageMs = nowMs - startedAtMs;
    return startedAtMs == 0 || ageMs >= warmUpMs
        ? 1
        : initialShare + (1 - initialShare) * ageMs / warmUpMs;
  }
}
