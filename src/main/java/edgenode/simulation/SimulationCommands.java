package edgenode.simulation;

import edgenode.benchmark.BenchmarkScalingCommand;
import edgenode.simulation.fleet.SimulateFleetCommand;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.Arrays;
import java.util.List;
import picocli.CommandLine;

/**
 * The commands that run emulated services, simulations and benchmarks. Loaded only when one of them
 * is called: {@code serve} must not pay for them.
 */
public final class SimulationCommands {
  /** The commands, with the names that they had before behind them. */
  public static final List<String> NAMES =
      List.of(
          "demo",
          "simulate",
          "simulate-fleet",
          "benchmark-scaling",
          "try",
          "rehearse",
          "scale",
          "slopes");

  private SimulationCommands() {}

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
          case "demo", "try" -> new DemoCommand();
          case "simulate-fleet", "scale" -> new SimulateFleetCommand();
          case "benchmark-scaling", "slopes" -> new BenchmarkScalingCommand();
          default -> new SimulateCommand();
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
