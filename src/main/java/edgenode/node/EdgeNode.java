package edgenode.node;

import edgenode.admin.AdminHttpServer;
import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.ledger.RequestLedger;
import edgenode.net.discovery.MembershipService;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One edge node: it admits clients' requests and forwards them to application servers as the policy
 * decides. Everything runs on one event loop thread, which with its clock is given from outside.
 */
public final class EdgeNode {
  /** Time (ms) for the event loop to run what is queued, and to end. */
  private static final long LOOP_SHUTDOWN_TIMEOUT_MS = 100;

  private static final long LOOP_SHUTDOWN_WAIT_MS = 500;

  private final NodeComponents components;
  private final EdgeEventLoop loop;
  private final NodeStartup startup;
  private final GracefulShutdown shutdown;
  private final ConfigReload reload;

  /** Both null where operators have no address; on the event loop only. */
  private AdminHttpServer adminServer;

  private NodeOperations operations;
  private volatile SocketAddress adminAddress;

  /** Creates a node without operators' settings, on an event loop of its own. */
  public EdgeNode(NodeConfig config, PolicyFactory policyFactory) {
    this(config, policyFactory, null, NettyEdgeEventLoop.create());
  }

  /**
   * Creates a node; nothing starts.
   *
   * @param operatorSettings the operators' own settings, or null where there are none
   * @param loop which the node owns from now on: {@link #shutdown} ends it
   */
  public EdgeNode(
      NodeConfig config,
      PolicyFactory policyFactory,
      OperatorSettings operatorSettings,
      EdgeEventLoop loop) {
    this.loop = loop;
    components = new NodeComponents(config, operatorSettings, loop);
    startup = new NodeStartup(components, policyFactory, this::listening);
    shutdown = new GracefulShutdown(components, this::closeAdmin);
    reload = new ConfigReload(components);
  }

  /**
   * Starts the node and waits until it listens to clients; not on the event loop.
   *
   * @throws IOException where it cannot start: an address in use, a store that cannot be opened, a
   *     failure of the policy
   */
  public void start() throws IOException {
    try {
      startAsync(StartLog::partDone).get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException failure ? failure : new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /**
   * Starts the node without waiting; from any thread.
   *
   * @param onPartDone hears the name of each part of the start as it ends, on the event loop
   * @return completes when the node listens; fails as {@link #start} does
   */
  public CompletableFuture<Void> startAsync(Consumer<String> onPartDone) {
    loop.group().execute(() -> startup.start(onPartDone));
    return startup.started();
  }

  private void listening() {
    if (operations != null) {
      operations.startFiguresCheck();
    }
  }

  /**
   * Answers operators' calls from now on, also before the node is up. Does nothing where the
   * configuration has no address for them. Waits; not on the event loop.
   *
   * @throws IOException where the address cannot be bound
   */
  public void startAdmin() throws IOException {
    if (components.config.adminAddress() == null) {
      return;
    }
    NodeOperations newOperations = new NodeOperations(components, startup, shutdown);
    AdminHttpServer server =
        new AdminHttpServer(loop, newOperations, components.connectionBudget.adminConnections());
    ChannelFuture bound = server.bind(components.config.adminAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("operators' address: " + bound.cause().getMessage(), bound.cause());
    }
    adminAddress = bound.channel().localAddress();
    loop.group()
        .execute(
            () -> {
              adminServer = server;
              operations = newOperations;
            });
  }

  private void closeAdmin() {
    if (adminServer != null) {
      adminServer.close();
    }
  }

  /**
   * Sets what to do when discovery refuses all connections, before the start.
   *
   * @param handler called on the event loop; must not block
   */
  public void onDiscoveryRejected(Runnable handler) {
    components.membershipUpdates.onDiscoveryRejected(handler);
  }

  /** Applies the addresses of discovery and counter of a new configuration; from any thread. */
  public void reload(NodeConfig newConfig) {
    loop.execute(() -> reload.apply(newConfig));
  }

  /** Where clients connect, or null before the start has completed; from any thread. */
  public SocketAddress address() {
    return startup.address();
  }

  /** Where operators call, or null before {@link #startAdmin} has returned; from any thread. */
  public SocketAddress adminAddress() {
    return adminAddress;
  }

  /**
   * Ends the node gracefully: all requests are answered, then the event loop ends. Waits; not on
   * the event loop.
   */
  public void shutdown() {
    shutdownAsync().join();
    loop.group()
        .shutdownGracefully(0, LOOP_SHUTDOWN_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly(LOOP_SHUTDOWN_WAIT_MS);
    if (components.duplicates != null) {
      components.duplicates.close();
    }
  }

  /**
   * As {@link #shutdown}, without waiting and without an end of the event loop; from any thread.
   *
   * @return completes when all requests are answered
   */
  public CompletableFuture<Void> shutdownAsync() {
    loop.group().execute(shutdown::startShutdown);
    return shutdown.completed();
  }

  MembershipService discovery() {
    return components.discovery;
  }

  EdgeEventLoop loop() {
    return loop;
  }

  RequestLedger ledger() {
    return components.ledger;
  }
}
