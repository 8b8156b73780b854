package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.MembershipLimits;
import edgenode.policy.EndpointState;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;

/**
 * A {@link MembershipService} on a real event loop, with its log and its view, for tests of
 * sources.
 */
abstract class EndpointSourceFixture {
  final EventLoopGroup group = Transport.newEventLoopGroup();
  final List<String> log = Collections.synchronizedList(new ArrayList<>());
  final Map<String, DiscoveredEndpoint> view = new ConcurrentSkipListMap<>();
  final AtomicInteger failures = new AtomicInteger();
  MembershipService membership;

  private final class RecordingLoop implements EdgeEventLoop, MembershipListener {
    @Override
    public double nowMs() {
      return System.nanoTime() / 1e6;
    }

    @Override
    public double queueingDelayMs() {
      return 0;
    }

    @Override
    public Future<?> schedule(double delayMs, Runnable task) {
      return group.schedule(task, Math.round(delayMs * 1e6), TimeUnit.NANOSECONDS);
    }

    @Override
    public EventLoopGroup group() {
      return group;
    }

    @Override
    public void execute(Runnable task) {
      group.execute(task);
    }

    @Override
    public Transport transport() {
      return Transport.SOCKETS;
    }

    @Override
    public void flushLater(Channel channel) {}

    @Override
    public void flushPending() {}

    @Override
    public void logFailure(String where, Throwable cause) {
      log.add(where + ": " + cause);
    }

    @Override
    public void logLine(String line) {
      log.add(line);
    }

    @Override
    public void endpointsChanged(List<DiscoveredEndpoint> endpoints, boolean isComplete) {
      for (DiscoveredEndpoint endpoint : endpoints) {
        if (endpoint.info().state() == EndpointState.REMOVED) {
          view.remove(endpoint.info().id());
        } else {
          view.put(endpoint.info().id(), endpoint);
        }
      }
    }

    @Override
    public void discoveryFailed() {
      failures.incrementAndGet();
    }

    @Override
    public void discoveryRefused() {}

    @Override
    public void checkReachable(String id) {}
  }

  final void start(double failOverMs, SourceDefinition... definitions) {
    RecordingLoop loop = new RecordingLoop();
    membership =
        new MembershipService(
            loop, loop, MembershipLimits.defaults(18_000), List.of(definitions), failOverMs);
    group.execute(() -> membership.start(null));
  }

  @AfterEach
  final void shutDown() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  final void awaitCondition(String what, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, () -> "never: " + what + "; " + view + log);
      Thread.sleep(2);
    }
  }

  final String upEndpoints() {
    StringBuilder ids = new StringBuilder();
    view.forEach(
        (id, endpoint) -> ids.append(endpoint.info().state() == EndpointState.UP ? id + " " : ""));
    return ids.toString().trim();
  }

  final void awaitUp(String expected) throws InterruptedException {
    awaitCondition("up: " + expected, () -> upEndpoints().equals(expected));
  }
}
