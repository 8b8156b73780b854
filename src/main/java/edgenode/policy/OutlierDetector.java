package edgenode.policy;

import java.util.List;

/**
 * Which endpoints are ejected: those with three faults' weight since their last success, for longer
 * each time. After an ejection an endpoint is on trial: it gets one attempt at a time until one is
 * answered, and one more fault ejects it once more. Never more than half of the subset is ejected.
 *
 * <p>Inputs: outcomes of attempts.
 */
final class OutlierDetector {
  static final double FULL_WEIGHT = 0.5;
  static final double TIMEOUT_WEIGHT = 1;

  /** One connection: a process that died resets all of them. */
  static final double RESET_WEIGHT = 1;

  /** One may be chance; a dead process fails the next and the trial too. */
  static final double NO_CONNECTION_WEIGHT = 2;

  private static final double EJECTION_SCORE = 3;

  /** Longer than a short stall, short against the time that a client waits. */
  private static final double FIRST_EJECTION_MS = 500;

  private static final int MAX_DOUBLINGS = 4;

  private final PolicyTimers timers;
  private final KnownEndpoints endpoints;

  OutlierDetector(PolicyTimers timers, KnownEndpoints endpoints) {
    this.timers = timers;
    this.endpoints = endpoints;
  }

  void recordSuccess(Endpoint endpoint) {
    endpoint.faultScore = 0;
    endpoint.isOnTrial = false;
    endpoint.wasUnreachable = false;
    endpoint.ejections = 0;
  }

  /** Adds a fault; ejects the endpoint where there have been enough. */
  void recordFault(Endpoint endpoint, double weight) {
    double nowMs = timers.nowMs();
    endpoint.faultScore += weight;
    boolean isOutlier = endpoint.faultScore >= EJECTION_SCORE || endpoint.isOnTrial;
    if (!isOutlier || endpoint.isEjected(nowMs) || !canEjectOneMore(nowMs)) {
      return;
    }
    endpoint.ejectedUntilMs = nowMs + FIRST_EJECTION_MS * Math.pow(2, endpoint.ejections);
    endpoint.ejections = Math.min(endpoint.ejections + 1, MAX_DOUBLINGS);
    endpoint.isOnTrial = true;
  }

  private boolean canEjectOneMore(double nowMs) {
    return 2 * ejectedCount(nowMs) + 2 <= listedCount();
  }

  /** Endpoints of the subset that are listed as up and yet get nothing for now. */
  int ejectedCount(double nowMs) {
    int count = 0;
    List<Endpoint> members = endpoints.inSubset();
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).isListed && members.get(i).isEjected(nowMs)) {
        count++;
      }
    }
    return count;
  }

  private int listedCount() {
    int count = 0;
    List<Endpoint> members = endpoints.inSubset();
    for (int i = 0; i < members.size(); i++) {
      if (members.get(i).isListed) {
        count++;
      }
    }
    return count;
  }
}
