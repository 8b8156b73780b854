package edgenode.simulation;

import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.CustomerClients;
import edgenode.simulation.invariants.Event;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Each event on the emulators' sockets as a line, and the SHA-256 of all lines: two runs are one if
 * these are.
 */
final class Trace implements CounterEmulator.AddListener {
  private final MessageDigest digest;
  private long events;

  Trace() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every Java platform has it
    }
  }

  private void line(String text) {
    events++;
    digest.update((text + "\n").getBytes(StandardCharsets.UTF_8));
  }

  long events() {
    return events;
  }

  /** Of all events so far, in hexadecimal; more may follow. */
  String sha256() {
    try {
      return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(e);
    }
  }

  void event(Event event) {
    line(event.toString());
  }

  @Override
  public void added(double now, String name, double amount, double total) {
    line(now + " counter " + name + " " + amount + " " + total);
  }

  void ended(double now, ArrivalProcess.Arrival of, int retry, CustomerClients.Fate fate) {
    line(now + " client " + of.number() + " " + retry + " " + fate);
  }
}
