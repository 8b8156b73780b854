package edgenode.cli;

import edgenode.config.ConfigFileWatcher;
import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.config.PolicySettingsReader;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.node.EdgeNode;
import edgenode.node.JitWarmUp;
import edgenode.node.PolicyFactory;
import edgenode.node.StartLog;
import edgenode.policy.PolicyEngine;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.util.Map;

/**
 * {@code serve}: one edge node, until SIGTERM. SIGHUP has it read the configuration file again. The
 * fields are shared between the main thread, which starts the node, and the JVM's signal thread.
 */
public final class ServeCommand {
  private volatile EdgeNode node;
  private volatile ConfigFileWatcher configFile;
  private volatile boolean hasReceivedHangup;

  /**
   * Starts the node and returns; the node's event loop keeps the process running.
   *
   * @param settingsFile the operators' settings, or null for none
   */
  public void run(String settingsFile) throws IOException {
    boolean isHangupHandled = installHangupHandler();
    StartLog.partDone("JVM");
    start(System.getenv(), settingsFile);
    if (!isHangupHandled) {
      System.err.println(
          "SIGHUP is ignored by the parent process and cannot be handled: the configuration file is"
              + " polled for changes instead");
      configFile.watch();
    }
  }

  /** Comes first at a start: until then SIGHUP ends the process. */
  boolean installHangupHandler() {
    return HangupSignal.handle(this::reload);
  }

  /** The started node; null before. */
  EdgeNode node() {
    return node;
  }

  /** Configures, warms up and starts a node; ends the process where that fails. */
  void start(Map<String, String> environment, String settingsFile) throws IOException {
    // without this Netty searches all jars for three other logging libraries
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    NodeConfig config = readConfigOrExit(environment);
    StartLog.partDone("configuration");
    OperatorSettings settings =
        settingsFile == null
            ? null
            : CheckSettingsCommand.readOrExit(settingsFile, config.settings().rules().warmUpMs());
    EdgeNode starting =
        new EdgeNode(config, policyFactory(settings), settings, NettyEdgeEventLoop.create());
    try {
      starting.startAdmin();
    } catch (IOException e) {
      abort(e);
    }
    JitWarmUp.run(config.settings(), PolicyEngine::new);
    StartLog.partDone("warm-up");
    ConfigFileWatcher watcher =
        new ConfigFileWatcher(environment, starting::reload, System.err::println);
    starting.onDiscoveryRejected(watcher::reloadAfterFault);
    // before the node listens: SIGTERM may arrive at any moment
    Runtime.getRuntime().addShutdownHook(new Thread(starting::shutdown, "graceful-shutdown"));
    try {
      starting.start();
    } catch (IOException e) {
      abort(e);
    }
    StartLog.finish("bind");
    node = starting;
    configFile = watcher;
    if (hasReceivedHangup) { // during the start: the file may be newer than what was read of it
      watcher.reload();
    }
  }

  private static NodeConfig readConfigOrExit(Map<String, String> environment) throws IOException {
    try {
      return NodeConfig.fromEnvironment(environment);
    } catch (IllegalArgumentException | PolicySettingsReader.InvalidPolicySettingException e) {
      System.err.println("configuration: " + e.getMessage());
      System.exit(CheckSettingsCommand.EXIT_REJECTED);
      return null;
    }
  }

  private static PolicyFactory policyFactory(OperatorSettings settings) {
    if (settings == null) {
      return PolicyEngine::new;
    }
    return (policySettings, seed, nowMs, actions) ->
        new PolicyEngine(policySettings, seed, nowMs, actions, settings.subsetMinEndpoints());
  }

  /** Ends the process at once: no request has been accepted, so there is nothing to drain. */
  private static void abort(IOException cause) {
    System.err.println("start: " + cause.getMessage());
    Runtime.getRuntime().halt(1);
  }

  /** On the signal thread. Before the node is up the hangup is only noted. */
  private void reload() {
    hasReceivedHangup = true;
    ConfigFileWatcher watcher = configFile;
    if (watcher != null) {
      watcher.reload();
    }
  }
}
