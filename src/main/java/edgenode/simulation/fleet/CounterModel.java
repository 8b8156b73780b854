package edgenode.simulation.fleet;

import edgenode.policy.CallOutcome;
import java.util.HashMap;
import java.util.Map;

/**
 * The counter, thinly: totals by name, so many adds a second in their order, a line before it; may
 * be away.
 */
final class CounterModel {
  private final Agenda agenda;
  private final Tally tally;
  private final WireForms forms;
  private final double each;
  private final Map<Long, Double> totals = new HashMap<>();
  private double freeAt;
  private boolean away;

  CounterModel(Agenda agenda, Tally tally, WireForms forms, double perSecond) {
    this.agenda = agenda;
    this.tally = tally;
    this.forms = forms;
    each = 1000 / perSecond;
  }

  void away(boolean on) {
    away = on;
  }

  /** An add by a node; its outcome is told as the counter's client tells it. */
  void add(ModelNode node, long name, double amount, double keepFor, boolean cut) {
    tally.counterCalls++;
    tally.counterBytes += forms.add(name, amount, keepFor);
    double sent = agenda.now();
    double came = sent + Assumed.WAY;
    if (away || cut) {
      agenda.after(Assumed.COUNTER_TIMEOUT, () -> node.counted(name, CallOutcome.OVERDUE, sent, 0));
      agenda.after(Assumed.COUNTER_DEAD, () -> node.counted(name, CallOutcome.RESET, sent, 0));
      return;
    }
    if (freeAt - came > Assumed.COUNTER_LINE) {
      tally.counterTurnedAway++;
      agenda.at(came + Assumed.WAY, () -> node.counted(name, CallOutcome.FULL, sent, 0));
      return;
    }
    freeAt = Math.max(freeAt, came) + each;
    double turn = freeAt;
    double heard = turn + Assumed.WAY;
    if (heard - sent > Assumed.COUNTER_TIMEOUT) {
      tally.counterLate++;
      agenda.at(
          sent + Assumed.COUNTER_TIMEOUT, () -> node.counted(name, CallOutcome.OVERDUE, sent, 0));
    }
    agenda.at(
        turn,
        () -> {
          double total = totals.merge(name, amount, Double::sum);
          tally.counterBytes += forms.total(total);
          agenda.at(heard, () -> node.counted(name, CallOutcome.OK, sent, total));
        });
  }
}
