package edgenode.net.counter;

/** One call, from the request to its end. */
final class CounterCall {
  final CounterConnection connection;
  final long counterName;
  final double sentAtMs;
  final String[] command;

  /** A ping keeps a connection alive; nobody hears its end. */
  final boolean isPing;

  /** Whether its last byte has been written: its amount may have been added. */
  boolean isWritten;

  /** Whether its end has been reported; its response may still come. */
  boolean isEnded;

  private CounterCall(
      CounterConnection connection,
      long counterName,
      double sentAtMs,
      String[] command,
      boolean isPing) {
    this.connection = connection;
    this.counterName = counterName;
    this.sentAtMs = sentAtMs;
    this.command = command;
    this.isPing = isPing;
    isEnded = isPing;
  }

  static CounterCall add(
      CounterConnection connection, long counterName, double sentAtMs, String[] command) {
    return new CounterCall(connection, counterName, sentAtMs, command, false);
  }

  static CounterCall ping(CounterConnection connection, double sentAtMs) {
    return new CounterCall(connection, 0, sentAtMs, new String[] {"PING"}, true);
  }
}
