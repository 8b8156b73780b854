package edgenode.simulation;

import edgenode.emulator.AppServerListener;
import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CustomerClients;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.simulation.invariants.Event;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;

/** Turns what passes on the emulators' sockets into the judges' events, on the clock of the run. */
final class Recorder
    implements AppServerListener, DiscoveryEmulator.ChangeListener, CustomerClients.ClientListener {
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
  public void commandReceived(double now, String server, ReceivedCommand command) {
    to.accept(
        new Event.Came(
            at(now), command.requestId(), server, command.customer(), command.isExecuted()));
  }

  @Override
  public void responseSent(double now, String server, String id, String text) {
    to.accept(new Event.Replied(at(now), id, server, text));
  }

  @Override
  public void malformedCommand(double now, String server, String what) {
    to.accept(new Event.Done(at(now), server + " got what is no command: " + what));
  }

  @Override
  public void changeSent(double now, DiscoveryAgentEmulator.Host host) {
    to.accept(new Event.Told(at(now), host.id(), host.health()));
  }

  @Override
  public void requestSent(
      double now,
      String id,
      ArrivalProcess.Arrival of,
      CustomerClients.Target way,
      double patience) {
    to.accept(
        new Event.Asked(
            at(now),
            id,
            way.node(),
            of.customer().id(),
            of.customer().planName(),
            of.kind().name(),
            of.idempotencyKey(),
            patience,
            1));
  }

  @Override
  public void responseReceived(double now, String id, CustomerClients.Fate kind, String text) {
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
  public void connectionLost(double now, String id) {
    to.accept(new Event.Cut(at(now), id));
  }

  @Override
  public void gaveUp(double now, String id) {
    to.accept(new Event.GaveUp(at(now), id));
  }

  @Override
  public void attemptEnded(
      ArrivalProcess.Arrival of, int retry, CustomerClients.Fate fate, double ms) {}
}
