package edgenode.simulation.fleet;

/** An app server, thinly: cores that take requests in their order, slower while it is cold. */
final class AppServer {
  enum Health {
    ACTIVE,
    LEAVING,
    LEFT
  }

  static final int CORES = 2;

  /** Requests (of mean work) that wait at most; more are turned away. */
  private static final int ROOM = 32;

  final int index;
  final int list;
  final String dial;
  final String zone;

  /** What discovery will tell of it: health, when that became so, and how often it has changed. */
  Health health = Health.ACTIVE;

  double changedAt;
  int changes;

  /** Whether it answers; where its machine is gone nothing refuses a connect either. */
  boolean up = true;

  boolean silent;
  int life;
  double bornAt;

  /** Sends since it was last born, and the same of its whole list when it was born. */
  int coldSends;

  long listSendsAtBirth;
  private final double[] freeAt = new double[CORES];

  AppServer(int index, int list, String zone) {
    this.index = index;
    this.list = list;
    this.zone = zone;
    dial = "10." + (index >> 16 & 255) + "." + (index >> 8 & 255) + "." + (index & 255) + ":7000";
  }

  /** When this work (ms of a warm core) is done, NaN where it is full. */
  double offer(double now, double work, double meanWork, double speed) {
    int first = 0;
    for (int i = 1; i < CORES; i++) {
      first = freeAt[i] < freeAt[first] ? i : first;
    }
    double from = Math.max(now, freeAt[first]);
    if (from - now > ROOM * meanWork / CORES / speed) {
      return Double.NaN;
    }
    freeAt[first] = from + work / speed;
    return freeAt[first];
  }

  void die(boolean machine) {
    up = false;
    silent = machine;
    life++;
  }

  void back(double now, long listSends) {
    up = true;
    silent = false;
    bornAt = now;
    coldSends = 0;
    listSendsAtBirth = listSends;
    java.util.Arrays.fill(freeAt, now);
  }

  /**
   * The share of its speed that it has: a start takes it from {@code coldShare} to all within
   * {@code warmMs}.
   */
  double speed(double now, double coldShare, double warmMs) {
    double age = now - bornAt;
    return bornAt == 0 || age >= warmMs ? 1 : coldShare + (1 - coldShare) * age / warmMs;
  }
}
