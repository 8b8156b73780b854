package edgenode.net.counter;

/** One command to the counter, an add or a ping, from its creation to its end. */
final class CounterCommand {
  final CounterConnection connection;
  final long counterName;
  final double sentAtMs;
  final String[] command;

  /** A ping keeps a connection alive; nobody is notified of its end. */
  final boolean isPing;

  /** Whether its last byte has been written: its amount may have been added. */
  boolean isWritten;

  /** Whether its end has been reported; its response may still come. */
  boolean isEnded;

  private CounterCommand(
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

  static CounterCommand add(
      CounterConnection connection, long counterName, double sentAtMs, String[] command) {
    return new CounterCommand(connection, counterName, sentAtMs, command, false);
  }

  static CounterCommand ping(CounterConnection connection, double sentAtMs) {
    return new CounterCommand(connection, 0, sentAtMs, new String[] {"PING"}, true);
  }
}
