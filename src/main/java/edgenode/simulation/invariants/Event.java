package edgenode.simulation.invariants;

import edgenode.emulator.CapacityModel;

/**
 * What passed on the sockets of the emulators, and what was done to the emulated services: all that
 * the judges go by. Nothing here is what an edge node says of itself. Times are ms on the clock of
 * the run and never go back from one event to the next.
 */
public sealed interface Event {
  /** When it happened (ms on the clock of the run). */
  double at();

  /** The request that it belongs to, or null. */
  default String id() {
    return null;
  }

  /** What kind of message came to a client. */
  enum Answer {
    VALUE,
    BUSY,
    ERROR
  }

  /** Why an edge node went away. */
  enum End {
    KILLED,
    LEFT
  }

  /**
   * A client wrote a request whole.
   *
   * @param key the idempotency key, or null
   * @param patience how long it waits from now (ms)
   */
  record Asked(
      double at,
      String id,
      int node,
      String customer,
      String plan,
      String type,
      String key,
      double patience,
      int units)
      implements Event {}

  /** A message came to a client, for the request that it asked last on that connection. */
  record Heard(double at, String id, Answer answer, String text) implements Event {}

  /** An edge node ended a connection on which an answer was owed. */
  record Cut(double at, String id) implements Event {}

  /** A client went away without its answer. */
  record GaveUp(double at, String id) implements Event {}

  /**
   * A request came whole to an app server.
   *
   * @param ran whether its work began; else it was rejected, or dropped as a repeat
   */
  record Came(double at, String id, String server, String customer, boolean ran) implements Event {}

  /** An app server's answer: value, BUSY or ERR. */
  record Replied(double at, String id, String server, String kind) implements Event {}

  /** Discovery has written an entry to the edge nodes. Health: active, leaving or left. */
  record Told(double at, String server, String health) implements Event {}

  /**
   * An app server's process has started.
   *
   * @param cold whether it has just started; else it has run for long
   */
  record Born(double at, String server, int rack, CapacityModel.Size size, boolean cold)
      implements Event {}

  /** The process of an app server has ended. */
  record Died(double at, String server) implements Event {}

  /** A node serves its clients. */
  record NodeUp(double at, int node) implements Event {}

  /** A node has ended. */
  record NodeEnded(double at, int node, End how) implements Event {}

  /** Any other thing that was done to the world, in a few words: for the trace of a violation. */
  record Done(double at, String what) implements Event {}
}
