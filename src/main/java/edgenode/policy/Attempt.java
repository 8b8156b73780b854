package edgenode.policy;

/** One attempt of a request at one endpoint. */
final class Attempt {
  final PendingRequest request;
  final Endpoint endpoint;

  /** The endpoint as it was listed when this was sent: it may be listed elsewhere since. */
  final EndpointInfo sentTo;

  final double sentAtMs;

  /** How it ended, null while it is in flight. */
  CallOutcome outcome;

  Attempt(PendingRequest request, Endpoint endpoint, double sentAtMs) {
    this.request = request;
    this.endpoint = endpoint;
    sentTo = endpoint.info;
    this.sentAtMs = sentAtMs;
  }

  /** False only where the outcome proves that the endpoint did no work. */
  boolean mayHaveRun() {
    return outcome == null || !outcome.provesNothingRan();
  }
}
