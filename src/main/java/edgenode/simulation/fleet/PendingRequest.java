package edgenode.simulation.fleet;

import java.util.ArrayList;
import java.util.List;

/** A request at a model node, from its arrival to the end of its last attempt. */
final class PendingRequest {
  final long id;
  final Tenant tenant;
  final double deadlineMs;
  final List<RequestAttempt> attempts = new ArrayList<>(1);

  /** Attempts that have not ended. */
  int inFlight;

  /** Whether the client has its final answer. */
  boolean isOver;

  PendingRequest(long id, Tenant tenant, double deadlineMs) {
    this.id = id;
    this.tenant = tenant;
    this.deadlineMs = deadlineMs;
  }
}
