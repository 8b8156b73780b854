package edgenode.simulation.invariants;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;

/** All judges over one day, and the day's events for the stories of what was broken. */
public final class Court implements Consumer<Event> {
  /** Events of the world that are told with a story, from so long (ms) before its breach. */
  private static final double AROUND = 3000;

  private final List<Event> events = new ArrayList<>();
  private final Quotas quotas;
  private final List<Judge> judges;

  public Court(Terms terms, int nodes) {
    quotas = new Quotas(terms);
    judges =
        List.of(
            new AnswersOnce(terms),
            new EffectsOnce(terms),
            new Drains(terms),
            new ColdServers(terms),
            new Ceilings(terms),
            quotas,
            new Evidence(nodes));
  }

  @Override
  public void accept(Event event) {
    events.add(event);
    judges.forEach(j -> j.see(event));
  }

  public List<Event> events() {
    return events;
  }

  public List<String> rules() {
    return judges.stream().map(Judge::rule).toList();
  }

  public List<Quotas.Figures> quotas() {
    return quotas.figures();
  }

  /** What a customer sent on first, in order: time (ms) and units. */
  public double[][] sends(String customer) {
    return quotas.sends(customer);
  }

  /** By time. */
  public List<Breach> verdict(double at) {
    return judges.stream()
        .flatMap(j -> j.verdict(at).stream())
        .sorted(Comparator.comparingDouble(Breach::at))
        .toList();
  }

  /**
   * Every event of the request that a breach names, and what was done to the world shortly before
   * it.
   */
  public List<Event> story(Breach breach) {
    return events.stream()
        .filter(
            e ->
                breach.id() != null && breach.id().equals(e.id())
                    || e.id() == null && e.at() <= breach.at() && e.at() > breach.at() - AROUND)
        .toList();
  }
}
