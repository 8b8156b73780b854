package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A day on which nothing was to be seen proves nothing: each edge node was asked, and somebody was
 * served.
 */
public final class TrafficInvariant implements InvariantChecker {
  private final int nodes;
  private final Set<Integer> asked = new TreeSet<>();
  private long served;
  private long sent;

  public TrafficInvariant(int nodes) {
    this.nodes = nodes;
  }

  @Override
  public String rule() {
    return "evidence";
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Asked a) {
      asked.add(a.node());
    } else if (event instanceof Event.Came) {
      sent++;
    } else if (event instanceof Event.Heard heard && heard.answer() == Event.Answer.VALUE) {
      served++;
    }
  }

  @Override
  public List<Violation> verdict(double at) {
    List<Violation> all = new ArrayList<>();
    if (asked.size() < nodes) {
      all.add(
          new Violation(
              rule(),
              at,
              null,
              "of " + nodes + " edge nodes " + asked.size() + " were asked anything"));
    }
    if (sent == 0 || served == 0) {
      all.add(new Violation(rule(), at, null, "nobody was served: a report on no evidence"));
    }
    return all;
  }
}
