package edgenode.simulation;

import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CustomerClients;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.emulator.Effects;
import edgenode.simulation.invariants.Event;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;

/** Turns what passes on the stand-ins' sockets into the judges' events, on the day's clock. */
final class Recorder implements Effects, DiscoveryEmulator.Told, CustomerClients.Heard {
  private final Consumer<Event> to;
  private final DoubleUnaryOperator day;

  /**
   * @param day from the loop's clock to ms since the day began
   */
  Recorder(Consumer<Event> to, DoubleUnaryOperator day) {
    this.to = to;
    this.day = day;
  }

  private double at(double now) {
    return day.applyAsDouble(now);
  }

  @Override
  public void came(
      double now,
      String server,
      String verb,
      String customer,
      String id,
      String list,
      String key,
      boolean ran) {
    to.accept(new Event.Came(at(now), id, server, customer, ran));
  }

  @Override
  public void answered(double now, String server, String id, String text) {
    to.accept(new Event.Replied(at(now), id, server, text));
  }

  @Override
  public void malformed(double now, String server, String what) {
    to.accept(new Event.Done(at(now), server + " got what is no command: " + what));
  }

  @Override
  public void told(double now, DiscoveryAgentEmulator.Host host) {
    to.accept(new Event.Told(at(now), host.id(), host.health()));
  }

  @Override
  public void asked(
      double now, String id, ArrivalProcess.Arrival of, CustomerClients.Way way, double patience) {
    to.accept(
        new Event.Asked(
            at(now),
            id,
            way.node(),
            of.campus().customer(),
            of.campus().plan(),
            of.kind().name(),
            of.key(),
            patience,
            1));
  }

  @Override
  public void message(double now, String id, CustomerClients.Fate kind, String text) {
    to.accept(
        new Event.Heard(
            at(now),
            id,
            kind == CustomerClients.Fate.SERVED
                ? Event.Answer.VALUE
                : kind == CustomerClients.Fate.REFUSED ? Event.Answer.BUSY : Event.Answer.ERROR,
            text));
  }

  @Override
  public void cut(double now, String id) {
    to.accept(new Event.Cut(at(now), id));
  }

  @Override
  public void gaveUp(double now, String id) {
    to.accept(new Event.GaveUp(at(now), id));
  }

  @Override
  public void ended(ArrivalProcess.Arrival of, int retry, CustomerClients.Fate fate, double ms) {}
}
