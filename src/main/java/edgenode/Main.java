package edgenode;

import edgenode.cli.CheckSettingsCommand;
import edgenode.cli.CreateCdsArchiveCommand;
import edgenode.cli.ServeCommand;
import edgenode.cli.SimhostCommand;
import edgenode.simulation.SimulationCommands;
import edgenode.store.StoreCommand;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;

/**
 * The entry point of all commands. Each command has a class of its own, which is loaded only when
 * the command is called: {@code serve} must not pay for the others at its start.
 */
public final class Main {
  private static final int EXIT_USAGE = 2;

  private static final String USAGE =
      """
      usage: edge-node COMMAND
        demo                      one edge node with emulated services on loopback, for a first look; demo --help
        simulate [SCENARIO]       edge nodes and emulated services in virtual time, with invariant checks;
                                  simulate --help
        simulate-fleet            a large fleet of model nodes in virtual time, with checks; simulate-fleet --help
        benchmark-scaling         the cost of one edge node against the size of its state; benchmark-scaling --help
        serve [--settings FILE]   one edge node, until SIGTERM; EDGE_CONFIG names the platform's configuration,
                                  FILE the operators' own settings (deploy/edge.toml shows them all)
        check-settings FILE       reports what serve would report of the settings in FILE; exit code 2 if it
                                  would reject them
        simhost                   the policy on the simulator's text protocol, standard input to standard output
        store check|stats|dump|compact|repair DIR   inspects or repairs the folder of a store (store --help)
        create-cds-archive        one start and shutdown at build time, for the class data sharing archive
        --help                    this page""";

  /** Commands without a help page of their own. */
  private static final List<String> PLAIN_COMMANDS =
      List.of(
          "--help", "serve", "check-settings", "simhost", "create-cds-archive", "drill", "prime");

  private Main() {}

  /**
   * Runs the command that {@code args} name. Wrong usage prints the usage on standard error and
   * exits with code 2.
   */
  public static void main(String[] args) throws IOException {
    useNonBlockingDirectBuffers();
    String command = args.length == 0 ? "" : args[0];
    if (command.equals("serve") && isServeCall(args)) {
      new ServeCommand().run(args.length == 3 ? args[2] : null);
    } else if (command.equals("check-settings") && args.length == 2 && !args[1].startsWith("-")) {
      CheckSettingsCommand.run(args[1]);
    } else if (SimulationCommands.NAMES.contains(command)) {
      System.exit(SimulationCommands.run(args));
    } else if (command.equals("store")) {
      System.exit(StoreCommand.run(Arrays.copyOfRange(args, 1, args.length)));
    } else if (isHelpCall(args)) {
      System.out.println(USAGE);
    } else if (args.length == 1 && isName(command, "create-cds-archive", "prime")) {
      CreateCdsArchiveCommand.run();
    } else if (args.length == 1 && isName(command, "simhost", "drill")) {
      SimhostCommand.run();
    } else {
      System.err.println(USAGE);
      System.exit(EXIT_USAGE);
    }
  }

  /**
   * Has Netty allocate direct buffers by itself, before it is loaded: where the limit is reached,
   * an allocation fails at once. That of java.nio first sleeps for half a second, on the event
   * loop. Netty needs java.nio opened for it, as the jar's manifest does.
   */
  private static void useNonBlockingDirectBuffers() {
    System.setProperty("io.netty.tryReflectionSetAccessible", "true");
  }

  /** Whether a command is called by its name or by the name that it had before. */
  private static boolean isName(String command, String name, String formerName) {
    return command.equals(name) || command.equals(formerName);
  }

  private static boolean isServeCall(String[] args) {
    return args.length == 1 || args.length == 3 && args[1].equals("--settings");
  }

  private static boolean isHelpCall(String[] args) {
    if (args.length == 0) {
      return false;
    }
    return args[0].equals("help")
        || PLAIN_COMMANDS.contains(args[0]) && List.of(args).contains("--help");
  }
}
