package edgenode.simulation.fleet;

/** An app server, thinly: cores that take requests in their order, slower while it is cold. */
final class AppServerModel {
  enum Health {
    ACTIVE,
    LEAVING,
    LEFT
  }

  static final int CORES = 2;

  /** Requests (of mean work) that wait at most; more are turned away. */
  private static final int MAX_QUEUED_REQUESTS = 32;

  final int index;
  final int listIndex;
  final String address;
  final String zone;

  /** What discovery will tell of it: health, when that became so, and how often it has changed. */
  Health health = Health.ACTIVE;

  double changedAtMs;
  int changeCount;

  /** Whether it answers; where its machine is gone nothing refuses a connect either. */
  boolean isUp = true;

  boolean isUnresponsive;
  int incarnation;
  double startedAtMs;

  /** Sends since it was last born, and the same of its whole list when it was born. */
  int warmUpSends;

  long listSendsAtStart;
  private final double[] coreFreeAtMs = new double[CORES];

  AppServerModel(int index, int listIndex, String zone) {
    this.index = index;
    this.listIndex = listIndex;
    this.zone = zone;
    address =
        "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7000";
  }

  /** When this work (ms of a warm core) is done, NaN where it is full. */
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
    java.util.Arrays.fill(coreFreeAtMs, nowMs);
  }

  /**
   * The share of its speed that it has: a start takes it from {@code coldShare} to all within
   * {@code warmMs}.
   */
  double speed(double nowMs, double initialShare, double warmUpMs) {
    double ageMs = nowMs - startedAtMs;
    return startedAtMs == 0 || ageMs >= warmUpMs
        ? 1
        : initialShare + (1 - initialShare) * ageMs / warmUpMs;
  }
}
