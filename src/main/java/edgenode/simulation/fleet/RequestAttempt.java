package edgenode.simulation.fleet;

/** One attempt of a request at one app server. */
final class RequestAttempt {
  final PendingRequest request;

  /** Position among the attempts of the request, from 0. */
  final int number;

  final AppServerModel server;

  /** The server's incarnation when the attempt was sent. */
  final int incarnation;

  final double sentMs;
  boolean hasEnded;

  /** Creates the attempt that follows those that {@code request} has. */
  RequestAttempt(PendingRequest request, AppServerModel server, double sentMs) {
    this.request = request;
    this.server = server;
    this.sentMs = sentMs;
    number = request.attempts.size();
    incarnation = server.incarnation;
  }
}
