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
  private static final double IN_TRANSIT_MS = 50;

  private static final class OpenRequest {
    private final Event.Asked asked;
    private double answeredAtMs = Double.NaN;
    private boolean isExcused;
    private boolean isClosed;

    OpenRequest(Event.Asked asked) {
      this.asked = asked;
    }
  }

  private final InvariantTerms terms;
  private final Map<String, OpenRequest> requests = new LinkedHashMap<>();
  private final Map<String, Set<String>> valuesByRequest = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  /** A checker that has seen nothing yet. */
  public SingleResponseInvariant(InvariantTerms terms) {
    this.terms = terms;
  }

  @Override
  public String rule() {
    return "one-answer-in-time";
  }

  private void report(double atMs, String id, String what) {
    violations.add(new Violation(rule(), atMs, id, what));
  }

  private double answerDueAtMs(OpenRequest request) {
    return request.asked.at() + request.asked.patience() + terms.answerGraceMs();
  }

  @Override
  public void onEvent(Event event) {
    if (event instanceof Event.Asked asked) {
      if (requests.putIfAbsent(asked.id(), new OpenRequest(asked)) != null) {
        throw new IllegalArgumentException(
            "two requests of one id, " + asked.id() + ": the world is at fault");
      }
    } else if (event instanceof Event.Replied replied && replied.kind().equals("value")) {
      valuesByRequest.computeIfAbsent(replied.id(), id -> new HashSet<>(2)).add(replied.server());
    } else if (event instanceof Event.Heard response) {
      responseReceived(response);
    } else if (event instanceof Event.Cut cut) {
      OpenRequest request = requests.get(cut.id());
      if (request != null
          && Double.isNaN(request.answeredAtMs)
          && !request.isExcused
          && !request.isClosed) {
        request.isClosed = true;
        report(cut.at(), cut.id(), "its connection was ended with no whole answer");
      }
    } else if (event instanceof Event.GaveUp disconnect) {
      OpenRequest request = requests.get(disconnect.id());
      if (request != null) {
        if (disconnect.at() > answerDueAtMs(request)) {
          reportUnanswered(request, disconnect.at());
        }
        request.isClosed = true;
      }
    } else if (event instanceof Event.NodeEnded end && end.how() == Event.End.KILLED) {
      requests.values().stream()
          .filter(
              request -> request.asked.node() == end.node() && Double.isNaN(request.answeredAtMs))
          .forEach(request -> request.isExcused = true);
    } else if (event instanceof Event.Came arrival) {
      OpenRequest request = requests.get(arrival.id());
      if (request != null && arrival.at() > request.answeredAtMs + IN_TRANSIT_MS) {
        report(
            arrival.at(),
            arrival.id(),
            String.format(
                Locale.ROOT,
                "sent on to %s %.0f ms after its final answer",
                arrival.server(),
                arrival.at() - request.answeredAtMs));
      }
    }
  }

  private void responseReceived(Event.Heard response) {
    OpenRequest request = requests.get(response.id());
    if (request == null) {
      report(response.at(), response.id(), "an answer to nothing");
      return;
    }
    if (!Double.isNaN(request.answeredAtMs)) {
      report(response.at(), response.id(), "answered twice");
      return;
    }
    request.answeredAtMs = response.at();
    if (response.at() > answerDueAtMs(request) && !request.isClosed) {
      report(
          response.at(),
          response.id(),
          String.format(
              Locale.ROOT,
              "answered %.0f ms after its time and the grace",
              response.at() - answerDueAtMs(request)));
    }
    if (response.answer() == Event.Answer.VALUE
        && valuesByRequest.getOrDefault(response.id(), Set.of()).stream()
            .noneMatch(server -> response.text().equals("ok " + response.id() + " by " + server))) {
      report(
          response.at(),
          response.id(),
          "served with what no app server made for it: " + response.text());
    }
  }

  private void reportUnanswered(OpenRequest request, double atMs) {
    if (Double.isNaN(request.answeredAtMs) && !request.isExcused && !request.isClosed) {
      request.isClosed = true;
      report(
          atMs,
          request.asked.id(),
          String.format(
              Locale.ROOT,
              "no answer %.0f ms after it was asked, its time was %.0f ms",
              atMs - request.asked.at(),
              request.asked.patience()));
    }
  }

  @Override
  public List<Violation> violations(double at) {
    requests.values().stream()
        .filter(r -> answerDueAtMs(r) < at)
        .forEach(r -> reportUnanswered(r, at));
    return List.copyOf(violations);
  }
}
