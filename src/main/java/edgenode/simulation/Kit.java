package edgenode.simulation;

import edgenode.benchmark.SlopesCommand;
import edgenode.simulation.fleet.ScaleCommand;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Arrays;
import picocli.CommandLine;

/**
 * The kit's commands. Loaded only where one of them is called: {@code serve} must not pay for them.
 */
public final class Kit {
  private Kit() {}

  /**
   * Runs a command.
   *
   * @param args its name and its options
   * @return the exit code: 0, or 2 after one line on what is wrong with the input
   */
  public static int run(String... args) {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    Object command =
        switch (args[0]) {
          case "try" -> new TryCommand();
          case "scale" -> new ScaleCommand();
          case "slopes" -> new SlopesCommand();
          default -> new RehearseCommand();
        };
    return new CommandLine(command)
        .setParameterExceptionHandler(
            (bad, given) -> {
              System.err.println(
                  args[0]
                      + ": "
                      + bad.getMessage()
                      + "; "
                      + args[0]
                      + " --help tells what there is");
              return 2;
            })
        .execute(Arrays.copyOfRange(args, 1, args.length));
  }
}
