package edgenode.cli;

import edgenode.simhost.MalformedInputException;
import edgenode.simhost.SimulatorWire;
import java.io.BufferedReader;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * {@code simhost}: runs policy instances on the simulator's text protocol, until the input ends.
 */
public final class SimhostCommand {
  private static final int INPUT_BUFFER_CHARS = 1 << 16;

  private SimhostCommand() {}

  /** Reads standard input; a malformed line is reported on standard error with exit code 1. */
  public static void run() throws IOException {
    BufferedReader input =
        new BufferedReader(
            new InputStreamReader(System.in, StandardCharsets.UTF_8), INPUT_BUFFER_CHARS);
    PrintStream output = new PrintStream(new FileOutputStream(FileDescriptor.out), false);
    try {
      new SimulatorWire().run(input, output);
    } catch (MalformedInputException malformed) {
      System.err.println(malformed.getMessage());
      System.exit(1);
    }
    output.flush();
  }
}
