package edgenode.simhost;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * The simulator's text wire: reads batches of events, hands each to its instance and prints the
 * instances' actions after each batch, in the order of the instances' numbers. For one thread.
 */
public final class SimulatorWire {
  private final Map<Integer, SimulatedInstance> instances = new TreeMap<>();

  /**
   * Reads batches until the input ends.
   *
   * @throws MalformedInputException at the first line that cannot be understood
   * @throws IOException where the input cannot be read
   */
  public void run(BufferedReader input, PrintStream out) throws IOException {
    LineReader in = new LineReader(input);
    while (in.nextNonEmpty()) {
      if (!in.message().equals("TURN")) {
        throw in.malformed("message", "TURN expected, found " + LineReader.quoted(in.message()));
      }
      handleBatch(in, in.number(1, "clock"));
      StringBuilder reply = new StringBuilder();
      for (SimulatedInstance instance : instances.values()) {
        instance.moveActionsTo(reply);
      }
      out.write(reply.append("END\n").toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  private void handleBatch(LineReader in, double nowMs) throws IOException {
    SimulatedInstance current = null;
    while (in.next()) {
      switch (in.message()) {
        case "GO" -> {
          return;
        }
        case "INSTANCE" -> current = instance((int) in.integer(1, "instance"));
        default -> {
          if (current == null) {
            throw in.malformed(
                "message", "INSTANCE expected before " + LineReader.quoted(in.message()));
          }
          current.handleEvent(in, nowMs);
        }
      }
    }
    throw in.malformed("message", "the input ends inside a batch");
  }

  private SimulatedInstance instance(int number) {
    return instances.computeIfAbsent(number, SimulatedInstance::new);
  }
}
