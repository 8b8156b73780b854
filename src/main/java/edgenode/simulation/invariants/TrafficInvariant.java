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
  private final int nodeCount;
  private final Set<Integer> nodesWithRequests = new TreeSet<>();
  private long served;
  private long sent;

  /** A checker for a run of so many nodes. */
  public TrafficInvariant(int nodes) {
    this.nodeCount = nodes;
  }

  @Override
  public String rule() {
    return "evidence";
  }

  @Override
  public void onEvent(Event event) {
    if (event instanceof Event.Asked request) {
      nodesWithRequests.add(request.node());
    } else if (event instanceof Event.Came) {
      sent++;
    } else if (event instanceof Event.Heard response && response.answer() == Event.Answer.VALUE) {
      served++;
    }
  }

  @Override
  public List<Violation> violations(double at) {
    List<Violation> all = new ArrayList<>();
    if (nodesWithRequests.size() < nodeCount) {
      all.add(
          new Violation(
              rule(),
              at,
              null,
              "of "
                  + nodeCount
                  + " edge nodes "
                  + nodesWithRequests.size()
                  + " were asked anything"));
    }
    if (sent == 0 || served == 0) {
      all.add(new Violation(rule(), at, null, "nobody was served: a report on no evidence"));
    }
    return all;
  }
}
