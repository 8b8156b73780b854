package edgenode.simulation.invariants;

import java.util.List;

/** Sees each event once, in order, and tells what breaks its one rule. */
public interface InvariantChecker {
  /** Short, with hyphens: it stands in reports. */
  String rule();

  /** Takes the next event; times never go back. */
  void onEvent(Event event);

  /** All that it has found, once the last event has been seen; at is when the day ended (ms). */
  List<Violation> violations(double endMs);
}
