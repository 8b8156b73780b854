package edgenode.node;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.net.discovery.EndpointListJson;
import edgenode.store.StoreException;
import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * The start of a node. It listens to clients only once endpoint list, connections and counter are
 * ready, because a load balancer sends clients to every node that accepts; it does not wait for
 * them longer than {@link #READY_TIMEOUT_MS}.
 */
final class NodeStartup {
  /** The node listens after this time (ms), ready or not. */
  private static final double READY_TIMEOUT_MS = 4000;

  /**
   * Where the configuration has an endpoint list, discovery itself is waited for no longer than
   * this (ms). It answers at once, or takes seconds when a whole fleet starts together.
   */
  private static final double DISCOVERY_TIMEOUT_WITH_KNOWN_LIST_MS = 250;

  private final NodeComponents components;
  private final PolicyFactory policyFactory;
  private final Runnable onListening;
  private final EdgeEventLoop loop;
  private final CompletableFuture<Void> started = new CompletableFuture<>();
  private boolean isListening;
  private boolean isReady;
  private volatile SocketAddress address;

  /**
   * @param onListening runs on the event loop when clients are accepted
   */
  NodeStartup(NodeComponents components, PolicyFactory policyFactory, Runnable onListening) {
    this.components = components;
    this.policyFactory = policyFactory;
    this.onListening = onListening;
    loop = components.loop;
  }

  /**
   * Starts all parts; on the event loop.
   *
   * @param onPartDone hears the name of each part of the start as it ends
   */
  void start(Consumer<String> onPartDone) {
    try {
      startParts(onPartDone);
    } catch (StoreException e) {
      started.completeExceptionally(new IOException("store: " + e.getMessage(), e));
    } catch (RuntimeException | Error e) { // the caller would wait for ever
      started.completeExceptionally(e);
    }
  }

  /** Completes when the node listens; fails where it cannot start. */
  CompletableFuture<Void> started() {
    return started;
  }

  /** Whether clients are accepted; on the event loop. */
  boolean isReady() {
    return isReady;
  }

  /** Where clients connect, or null before the node listens. From any thread. */
  SocketAddress address() {
    return address;
  }

  private void startParts(Consumer<String> onPartDone) throws StoreException {
    if (components.duplicates != null && components.keyStoreFolder != null) {
      components.duplicates.openStore(components.keyStoreFolder);
    }
    components.policy.start(
        policyFactory.create(
            components.config.settings(),
            components.config.seed(),
            loop.nowMs(),
            new NodeActions(components)));
    components.discovery.start(
        components.config.initialEndpoints() == null
            ? null
            : EndpointListJson.fromConfiguration(
                components.config.initialEndpoints(), loop::logLine));
    components.counter.start();
    components.upstream.start();
    components.downstream.start();
    onPartDone.accept("loop and module");
    components.discovery.ready().thenRun(() -> onPartDone.accept("discovery"));
    components.upstream.whenReady().thenRun(() -> onPartDone.accept("servers"));
    components.counter.whenReady().thenRun(() -> onPartDone.accept("counter"));
    listenWhenReady();
  }

  private void listenWhenReady() {
    Future<?> timeout = loop.schedule(READY_TIMEOUT_MS, this::readyTimeout);
    CompletableFuture<Void> discovered = components.discovery.ready();
    if (components.discovery.stats().upCount() > 0) {
      discovered =
          discovered.applyToEither(
              completeAfter(DISCOVERY_TIMEOUT_WITH_KNOWN_LIST_MS), done -> done);
    }
    CompletableFuture.allOf(
            discovered, components.upstream.whenReady(), components.counter.whenReady())
        .thenRun(
            () -> {
              timeout.cancel(false);
              listen();
            });
  }

  private CompletableFuture<Void> completeAfter(double delayMs) {
    CompletableFuture<Void> elapsed = new CompletableFuture<>();
    loop.schedule(delayMs, () -> elapsed.complete(null));
    return elapsed;
  }

  private void readyTimeout() {
    loop.logLine(
        "start: not all parts are ready after "
            + Math.round(READY_TIMEOUT_MS)
            + " ms, listening nevertheless: discovery "
            + components.discovery.ready().isDone()
            + ", servers "
            + components.upstream.whenReady().isDone()
            + ", counter "
            + components.counter.whenReady().isDone());
    listen();
  }

  private void listen() {
    if (isListening) {
      return; // the parts became ready just after the timeout
    }
    isListening = true;
    components.downstream.bind(components.config.listenAddress()).addListener(this::bindEnded);
  }

  private void bindEnded(Future<? super Void> bound) {
    if (bound.isSuccess()) {
      address = ((ChannelFuture) bound).channel().localAddress();
      isReady = true;
      onListening.run();
      started.complete(null);
    } else {
      started.completeExceptionally(bound.cause());
    }
  }
}
