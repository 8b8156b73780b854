package edgenode.simulation;

import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.MembershipLimits;
import edgenode.net.discovery.EndpointListJson;
import edgenode.net.discovery.MembershipListener;
import edgenode.net.discovery.MembershipService;
import edgenode.net.discovery.SourceDefinition;
import edgenode.policy.EndpointState;
import edgenode.simulation.FaultyAgent.Fault;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Stream;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * After calls to discovery that failed, were refused or were given up, a change is known within the
 * operators' term, 6 s after discovery had it and could be reached. In virtual time, each path at
 * many phases of the timers: the end of the outage falls at every {@link #STEP} ms of two rounds of
 * the longest back-off, and so all over the looks' rounds.
 */
@Timeout(120)
class DiscoveryTermTest {
  private static final double TERM = 6000;
  private static final double TERM_AFTER_SIGHUP = 4000;
  private static final AtomicLong WORLDS = new AtomicLong();
  private static final int PHASES = 16;
  private static final double STEP = 263;
  private static final double BEGINS = 3000;
  private static final double LASTS = 6000;

  /** How it comes to the outage. */
  enum From {
    /** It served, with a short list. */
    RUNNING(4),
    /** It served, with a list too long to be looked at each time. */
    RUNNING_LONG(600),
    /** It starts in the outage, with a list known that is old. */
    START(4),
    /** A new configuration moves it to one that fails. */
    MOVED(4),
    /** The same with a long list. */
    MOVED_LONG(600);

    private final int servers;

    From(int servers) {
      this.servers = servers;
    }
  }

  /**
   * One node's view of the servers, and the time (ms after the change) at which it has the change.
   */
  private static final class World implements MembershipListener {
    final VirtualLoop loop = new VirtualLoop();
    final LocalTransport network = new LocalTransport("term" + WORLDS.incrementAndGet());
    final NettyEdgeEventLoop inside = new NettyEdgeEventLoop(loop, network, loop, line -> {});
    final FaultyAgent agent;
    final FaultyAgent old;
    final MembershipService members;
    double knownAt = Double.POSITIVE_INFINITY;

    World(From from, Fault list, Fault watch) throws IOException {
      boolean moved = from == From.MOVED || from == From.MOVED_LONG;
      List<DiscoveryAgentEmulator.Host> all = new ArrayList<>();
      for (int i = 0; i < from.servers; i++) {
        all.add(host("s" + i, "active"));
      }
      agent = new FaultyAgent(network, inside, at(1), 40, all);
      old = new FaultyAgent(network, inside, at(2), 70, all);
      NettyEdgeEventLoop outside = new NettyEdgeEventLoop(loop, agent, loop, line -> {});
      SourceDefinition place = MembershipService.agentSource(at(1));
      SourceDefinition before = MembershipService.agentSource(at(2));
      members =
          new MembershipService(
              outside, this, MembershipLimits.defaults(18_000), List.of(moved ? before : place), 0);
      if (from == From.START) {
        agent.fail(list, watch);
      }
      loop.execute(() -> members.start(from == From.START ? known(all) : null));
      loop.runUntil(BEGINS);
      if (moved) {
        loop.execute(() -> members.replaceSource(before, place));
      }
      agent.fail(list, watch);
      if (from == From.RUNNING || from == From.RUNNING_LONG) {
        agent.mute();
      }
    }

    private static EndpointListJson known(List<DiscoveryAgentEmulator.Host> all) {
      StringBuilder text = new StringBuilder("{\"seq\":40,\"whole\":true,\"hosts\":[");
      all.forEach(h -> text.append(h == all.get(0) ? "" : ",").append(h.json()));
      byte[] bytes = text.append("]}").toString().getBytes(StandardCharsets.US_ASCII);
      try {
        return EndpointListJson.parse(bytes, bytes.length, what -> {});
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    static InetSocketAddress at(int number) {
      return new InetSocketAddress("10.1.0." + number, 7000);
    }

    static DiscoveryAgentEmulator.Host host(String id, String health) {
      return new DiscoveryAgentEmulator.Host(id, "10.2.0.1:7000", health, 0);
    }

    /** The change comes now; ms until it is known. */
    double change(double at) {
      agent.set(host("s0", "leaving"));
      double from = loop.nowMs();
      for (double ms = 100; ms <= 3 * TERM && knownAt == Double.POSITIVE_INFINITY; ms += 100) {
        loop.runUntil(at + ms);
      }
      return knownAt - from;
    }

    @Override
    public void endpointsChanged(List<DiscoveredEndpoint> entries, boolean whole) {
      for (DiscoveredEndpoint e : entries) {
        if (e.info().id().equals("s0") && e.info().state() != EndpointState.UP) {
          knownAt = Math.min(knownAt, loop.nowMs());
        }
      }
    }

    @Override
    public void discoveryFailed() {}

    @Override
    public void discoveryRefused() {}

    @Override
    public void checkReachable(String id) {}
  }

  static Stream<Arguments> outages() {
    return Stream.of(From.values())
        .flatMap(
            from ->
                Stream.of(Fault.values())
                    .filter(f -> f != Fault.NONE && f != Fault.TRICKLE)
                    .map(f -> Arguments.of(from, f)));
  }

  private static void within(double term, String path, double worst, int calls, double lasted) {
    System.out.printf(
        Locale.ROOT,
        "discovery, %s: known after %.0f ms at worst; at most %.1f calls a second%n",
        path,
        worst,
        calls / lasted * 1000);
    assertTrue(worst <= term, path + ": " + worst + " ms");
  }

  /**
   * Every call fails in one way for seconds; from the change on those that are begun are answered.
   */
  @ParameterizedTest
  @MethodSource("outages")
  void whatAnOutageHasKeptBackIsKnownInTime(From from, Fault fault) throws Exception {
    double worst = 0;
    int calls = 0;
    for (int i = 0; i < PHASES; i++) {
      World world = new World(from, fault, fault);
      double at = BEGINS + LASTS + i * STEP;
      int before = world.agent.calls();
      world.loop.runUntil(at);
      calls = Math.max(calls, (int) ((world.agent.calls() - before) * LASTS / (at - BEGINS)));
      world.agent.fail(Fault.NONE, Fault.NONE);
      worst = Math.max(worst, world.change(at));
    }
    within(TERM, from + " " + fault, worst, calls, LASTS);
    assertTrue(calls <= 10 * LASTS / 1000, calls + " calls in " + LASTS + " ms");
  }

  /**
   * All that stands falls silent, once; new calls are answered. With whole lists that fail, the
   * watch is alone.
   */
  @ParameterizedTest
  @EnumSource(names = {"NONE", "STATUS", "STATUS_OPEN", "HALF", "SILENT"})
  void whatAStalledWatchMissesIsKnownInTime(Fault lists) throws Exception {
    for (From from : new From[] {From.RUNNING, From.RUNNING_LONG}) {
      double worst = 0;
      for (int i = 0; i < PHASES; i++) {
        World world = new World(from, Fault.NONE, Fault.NONE);
        double at = BEGINS + LASTS + i * STEP;
        world.loop.runUntil(at - 2000);
        world.agent.fail(lists, Fault.NONE);
        world.loop.runUntil(at);
        world.agent.mute();
        worst = Math.max(worst, world.change(at));
      }
      within(TERM, from + " stalled, lists " + lists, worst, 0, 1);
    }
  }

  /**
   * The watch falls silent a moment before discovery is back, opened late in a row of failures: its
   * wait is over.
   */
  @ParameterizedTest
  @EnumSource(names = {"REFUSED", "RESET", "STATUS"})
  void whatAWatchMissesThatStallsAfterFailuresIsKnownInTime(Fault first) throws Exception {
    double worst = 0;
    for (int i = 0; i < PHASES; i++) {
      World world = new World(From.RUNNING, first, first);
      double at = BEGINS + LASTS + i * STEP;
      world.loop.runUntil(at);
      world.agent.fail(Fault.STATUS, Fault.SILENT);
      for (int ms = 1;
          ms < 2500;
          ms++) { // until the next watch has been asked, and is not answered
        world.loop.runUntil(at + ms);
        if (world.agent.silenced()) {
          at += ms;
          break;
        }
      }
      world.agent.fail(Fault.STATUS, Fault.NONE);
      worst = Math.max(worst, world.change(at));
    }
    within(TERM, "watch silent after " + first + ", lists STATUS", worst, 0, 1);
  }

  /** Watches never tell; whole lists do, also such as are long. */
  @ParameterizedTest
  @EnumSource(names = {"STATUS", "STATUS_OPEN", "RESET", "ENDS", "HALF"})
  void withoutAnyWatchThatTellsAChangeIsKnownInTime(Fault watches) throws Exception {
    for (From from : From.values()) {
      double worst = 0;
      int calls = 0;
      for (int i = 0; i < PHASES; i++) {
        World world = new World(from, Fault.NONE, watches);
        double at = BEGINS + LASTS + i * STEP;
        int before = world.agent.calls();
        world.loop.runUntil(at);
        calls = Math.max(calls, (int) ((world.agent.calls() - before) * LASTS / (at - BEGINS)));
        worst = Math.max(worst, world.change(at));
      }
      within(TERM, from + ", every watch " + watches, worst, calls, LASTS);
    }
  }

  /** A whole list that takes its time, in pieces: nobody may lose patience each time. */
  @ParameterizedTest
  @EnumSource(names = {"NONE", "STATUS"})
  void aListThatTricklesIsTaken(Fault watches) throws Exception {
    for (From from : From.values()) {
      double worst = 0;
      for (int i = 0; i < PHASES; i++) {
        World world = new World(from, Fault.SILENT, Fault.SILENT);
        double at = BEGINS + LASTS + i * STEP;
        world.loop.runUntil(at);
        world.agent.fail(Fault.TRICKLE, watches);
        worst = Math.max(worst, world.change(at));
      }
      within(TERM, from + ", lists TRICKLE, watches " + watches, worst, 0, 1);
    }
  }

  /** SIGHUP names one that can be reached and has had the change: whatever the old one says. */
  @ParameterizedTest
  @EnumSource(names = {"NONE", "TRICKLE"})
  void afterSighupTheNewOnesListIsKnownInTime(Fault lists) throws Exception {
    for (From from : new From[] {From.MOVED, From.MOVED_LONG}) {
      World world = new World(from, lists, Fault.NONE);
      double worst = world.change(BEGINS);
      within(TERM_AFTER_SIGHUP, from + " to one that answers, lists " + lists, worst, 0, 1);
    }
  }
}
