package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * The first rule: each request that was taken gets exactly one final answer in time, a value only
 * where an app server made it for this request, and nothing is sent on for one that has had its
 * answer. What an edge node had open when it was killed outright is not held against it; what it
 * had when it was asked to leave is.
 */
public final class SingleResponseInvariant implements InvariantChecker {
  /** A send that crossed the answer: both were under way (ms). */
  private static final double CROSSING = 50;

  private static final class Open {
    private final Event.Asked asked;
    private double answeredAt = Double.NaN;
    private boolean excused;
    private boolean closed;

    Open(Event.Asked asked) {
      this.asked = asked;
    }
  }

  private final InvariantTerms terms;
  private final Map<String, Open> requests = new LinkedHashMap<>();
  private final Map<String, Set<String>> made = new HashMap<>();
  private final List<Violation> breaches = new ArrayList<>();

  public SingleResponseInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "one-answer-in-time";
  }

  private void breach(double at, String id, String what) {
    breaches.add(new Violation(rule(), at, id, what));
  }

  private double due(Open r) {
    return r.asked.at() + r.asked.patience() + terms.answerGrace();
  }

  @Override
  public void see(Event event) {
    if (event instanceof Event.Asked asked) {
      if (requests.putIfAbsent(asked.id(), new Open(asked)) != null) {
        throw new IllegalArgumentException(
            "two requests of one id, " + asked.id() + ": the world is at fault");
      }
    } else if (event instanceof Event.Replied replied && replied.kind().equals("value")) {
      made.computeIfAbsent(replied.id(), id -> new HashSet<>(2)).add(replied.server());
    } else if (event instanceof Event.Heard heard) {
      heard(heard);
    } else if (event instanceof Event.Cut cut) {
      Open r = requests.get(cut.id());
      if (r != null && Double.isNaN(r.answeredAt) && !r.excused && !r.closed) {
        r.closed = true;
        breach(cut.at(), cut.id(), "its connection was ended with no whole answer");
      }
    } else if (event instanceof Event.GaveUp gone) {
      Open r = requests.get(gone.id());
      if (r != null) {
        if (gone.at() > due(r)) {
          never(r, gone.at());
        }
        r.closed = true;
      }
    } else if (event instanceof Event.NodeEnded end && end.how() == Event.End.KILLED) {
      requests.values().stream()
          .filter(r -> r.asked.node() == end.node() && Double.isNaN(r.answeredAt))
          .forEach(r -> r.excused = true);
    } else if (event instanceof Event.Came came) {
      Open r = requests.get(came.id());
      if (r != null && came.at() > r.answeredAt + CROSSING) {
        breach(
            came.at(),
            came.id(),
            String.format(
                Locale.ROOT,
                "sent on to %s %.0f ms after its final answer",
                came.server(),
                came.at() - r.answeredAt));
      }
    }
  }

  private void heard(Event.Heard heard) {
    Open r = requests.get(heard.id());
    if (r == null) {
      breach(heard.at(), heard.id(), "an answer to nothing");
      return;
    }
    if (!Double.isNaN(r.answeredAt)) {
      breach(heard.at(), heard.id(), "answered twice");
      return;
    }
    r.answeredAt = heard.at();
    if (heard.at() > due(r) && !r.closed) {
      breach(
          heard.at(),
          heard.id(),
          String.format(
              Locale.ROOT, "answered %.0f ms after its time and the grace", heard.at() - due(r)));
    }
    if (heard.answer() == Event.Answer.VALUE
        && made.getOrDefault(heard.id(), Set.of()).stream()
            .noneMatch(server -> heard.text().equals("ok " + heard.id() + " by " + server))) {
      breach(heard.at(), heard.id(), "served with what no app server made for it: " + heard.text());
    }
  }

  private void never(Open r, double at) {
    if (Double.isNaN(r.answeredAt) && !r.excused && !r.closed) {
      r.closed = true;
      breach(
          at,
          r.asked.id(),
          String.format(
              Locale.ROOT,
              "no answer %.0f ms after it was asked, its time was %.0f ms",
              at - r.asked.at(),
              r.asked.patience()));
    }
  }

  @Override
  public List<Violation> verdict(double at) {
    requests.values().stream().filter(r -> due(r) < at).forEach(r -> never(r, at));
    return List.copyOf(breaches);
  }
}
