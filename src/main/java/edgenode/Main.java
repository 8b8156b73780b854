package edgenode;

import edgenode.config.Config;
import edgenode.config.ConfigFile;
import edgenode.config.EdgeSettings;
import edgenode.config.SettingsReader;
import edgenode.eventloop.LoopThread;
import edgenode.node.Node;
import edgenode.node.Prime;
import edgenode.node.StartLog;
import edgenode.node.Warmup;
import edgenode.policy.PolicyEngine;
import edgenode.simhost.Wire;
import edgenode.simulation.Kit;
import edgenode.store.StoreCommand;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;

/**
 * The command line: {@code try} is for a first look, {@code drill} speaks the simulator's wire,
 * {@code serve} is a real edge node, and {@code prime} starts one at build time for the archive of
 * classes.
 */
public final class Main {
  private static final AtomicReference<Node> RUNNING = new AtomicReference<>();
  private static final AtomicBoolean HUNG_UP = new AtomicBoolean();
  private static final AtomicReference<ConfigFile> FILE = new AtomicReference<>();

  private static final String USAGE =
      """
        usage: edge-node COMMAND
          try                       one edge node and its world on loopback, for a first look; try --help
          rehearse [SCENARIO]       a day of edge nodes and their world in virtual time, judged; rehearse --help
          scale                     a large fleet of hollow edge nodes in virtual time, judged; scale --help
          slopes                    what one edge node costs against the size of what it holds; slopes --help
          serve [--settings FILE]   one edge node, until SIGTERM; EDGE_CONFIG names the platform's configuration,
                                    FILE the operators' own settings (deploy/edge.toml shows them all)
          check-settings FILE       what serve would say of the settings in FILE; exit 2 where it would refuse them
          drill                     the decisions on the simulator's wire, standard input to standard output
          store check|stats|dump|compact|repair DIR   the folder of a store (store --help)
          prime                     one start and end at build time, for the archive of classes
          --help                    this page""";

  private static final List<String> COMMANDS =
      List.of("--help", "serve", "check-settings", "drill", "prime");

  /** Commands of the kit, which is loaded for these alone. */
  private static final List<String> KIT = List.of("try", "rehearse", "scale", "slopes");

  private Main() {}

  /** Runs the command and exits non-zero with one plain line where the input is malformed. */
  public static void main(String[] args) throws IOException {
    if (args.length > 0
        && args[0].equals("serve")
        && (args.length == 1 || args.length == 3 && args[1].equals("--settings"))) {
      boolean told =
          Hangup.caught(Main::reload); // before all else: until then SIGHUP ends the process
      serve(told, args.length == 3 ? args[2] : null);
      return;
    }
    if (args.length == 2 && args[0].equals("check-settings") && !args[1].startsWith("-")) {
      settings(args[1], 0);
      System.out.println(args[1] + ": good");
      return;
    }
    if (args.length > 0 && KIT.contains(args[0])) {
      System.exit(Kit.run(args));
    }
    if (args.length > 0 && args[0].equals("store")) {
      System.exit(StoreCommand.run(Arrays.copyOfRange(args, 1, args.length)));
    }
    if (args.length == 0
        || COMMANDS.contains(args[0]) && List.of(args).contains("--help")
        || args[0].equals("help")) {
      (args.length == 0 ? System.err : System.out).println(USAGE);
      System.exit(args.length == 0 ? 2 : 0);
    }
    if (args.length == 1 && args[0].equals("prime")) {
      prime();
      return;
    }
    if (args.length != 1 || !args[0].equals("drill")) {
      System.err.println(USAGE);
      System.exit(2);
    }
    BufferedReader in =
        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8), 1 << 16);
    PrintStream out =
        new PrintStream(new java.io.FileOutputStream(java.io.FileDescriptor.out), false);
    try {
      new Wire().run(in, out);
    } catch (Wire.Malformed bad) {
      System.err.println(bad.getMessage());
      System.exit(1);
    }
    out.flush();
  }

  private static void serve(boolean told, String settings) throws IOException {
    StartLog.ended("JVM");
    begin(System.getenv(), settings);
    if (!told) {
      System.err.println(
          "SIGHUP is ignored by what started this process and cannot be had: the"
              + " configuration's file is looked at instead");
      FILE.get().watch();
    }
  }

  /** The same start among stand-ins, and the same end. */
  private static void prime() throws IOException {
    try (Prime stage = new Prime()) {
      Hangup.caught(Main::reload);
      StartLog.ended("JVM");
      begin(stage.environment(), null);
      stage.ask(RUNNING.get());
      System.exit(0); // the archive is written at the exit, after the drain
    }
  }

  /** The settings, or the end: what is wrong with them is told, each fault on a line. */
  private static EdgeSettings settings(String file, double warm) {
    InternalLoggerFactory.setDefaultFactory(
        JdkLoggerFactory.INSTANCE); // Netty checks the addresses
    try {
      return EdgeSettings.read(Path.of(file), warm);
    } catch (EdgeSettings.Refused refused) {
      refused.faults().forEach(System.err::println);
    } catch (IOException | InvalidPathException e) {
      System.err.println(file + ": cannot be read: " + e.getMessage());
    }
    System.exit(2);
    return null;
  }

  private static void begin(Map<String, String> environment, String settings) throws IOException {
    // at once: else Netty looks through all jars for three other loggers that are not there
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    Config config;
    try {
      config = Config.fromEnvironment(environment);
    } catch (IllegalArgumentException | SettingsReader.Bad bad) {
      System.err.println("configuration: " + bad.getMessage());
      System.exit(2);
      return;
    }
    StartLog.ended("configuration");
    EdgeSettings own =
        settings == null ? null : settings(settings, config.settings().rules().warmUpMs());
    Node.Maker maker =
        own == null
            ? PolicyEngine::new
            : (told, seed, now, actions) ->
                new PolicyEngine(told, seed, now, actions, own.subset());
    Node node = new Node(config, maker, own, LoopThread.real());
    try {
      node.answerOperators();
    } catch (IOException bad) {
      System.err.println("start: " + bad.getMessage());
      Runtime.getRuntime().halt(1);
    }
    Warmup.run(config.settings(), PolicyEngine::new);
    StartLog.ended("warm-up");
    ConfigFile file = new ConfigFile(environment, node::reload, System.err::println);
    node.whenLost(file::suspect);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(node::drain, "drain")); // SIGTERM may cross the bind
    try {
      node.start();
    } catch (IOException bad) {
      System.err.println("start: " + bad.getMessage());
      Runtime.getRuntime().halt(1); // nothing was taken: there is nothing to drain
    }
    StartLog.tell("bind");
    RUNNING.set(node);
    FILE.set(file);
    if (HUNG_UP.get()) { // while it came up: the file may be newer than what was read of it
      file.read();
    }
  }

  /** Before the node is up there is nothing to move: it reads the file once more when it is. */
  private static void reload() {
    HUNG_UP.set(true);
    ConfigFile file = FILE.get();
    if (file != null) {
      file.read();
    }
  }
}
