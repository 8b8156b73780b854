package edgenode.simulation;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.emulator.AppServerEmulator;
import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.ClientLoadBalancer;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.CustomerClients;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.DiscoveryEmulator;
import edgenode.emulator.IdempotencyGroupModel;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.node.EdgeNode;
import edgenode.node.PolicyFactory;
import edgenode.simulation.invariants.Event;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.DoubleConsumer;

/**
 * A scenario's day: edge nodes, their own network code unmodified, and their world on one thread in
 * virtual time. The same seed and the same build give the same events, to the byte. Code takes no
 * time here: what a request costs the node in CPU is not part of it, and neither is the network's
 * way. Belongs to the thread that made it.
 */
final class Simulation {
  private static final AtomicLong WORLDS = new AtomicLong();
  private static final double WINDOW = 7500;
  private static final double READY_WITHIN = 10_000;
  private static final int PORT = 7000;

  /** From a process's start until it begins to come up (ms): here code takes no time. */
  private static final double START = 800;

  /** From a server's return until it is listed (ms). */
  private static final double LISTED = 300;

  /** After the day each open request comes to its end within this (ms). */
  private static final double SETTLE_MS = 6000;

  /** What the platform grants after SIGTERM (ms), beyond the longest deadline. */
  private static final double KILLED_AFTER = 700;

  private static final CustomerClients.RetryOptions HABITS =
      new CustomerClients.RetryOptions(2, 200, true, 100);

  /** One edge node's place: its address stays, its processes come and go. */
  private final class Place {
    private final int number;
    private ProcessLoop process;
    private EdgeNode node;
    private NodeConfig told;
    private long starts;

    Place(int number) {
      this.number = number;
    }

    void start() {
      try {
        told = configuration();
      } catch (IOException e) {
        throw new IllegalStateException(e); // it was read at the first start
      }
      process = new ProcessLoop(loop, transport, log);
      node = new EdgeNode(told, maker, null, process);
      EdgeNode mine = node;
      node.startAsync(part -> {})
          .whenComplete(
              (up, failed) -> {
                if (failed != null) {
                  log.accept("edge node " + number + ": " + failed);
                } else if (mine == node) {
                  events.accept(new Event.NodeUp(day(loop.nowMs()), number));
                  front.nodeUp(number);
                }
              });
    }

    private NodeConfig configuration() throws IOException {
      return NodeConfig.parse(
          JsonValue.parse(
              EmulatedWorld.CONFIG.formatted(
                  "n" + number,
                  text(address(3, number)),
                  text(address(1, moved ? 3 : 1)),
                  text(address(1, moved ? 4 : 2)),
                  seed + number + 1000 * starts++,
                  number,
                  scenario.nodes())),
          Map.of());
    }

    /** The process ends and another one starts after a while (ms). */
    private void end(Event.End how, double startAfter) {
      ProcessLoop gone = process;
      node = null;
      process = null;
      events.accept(new Event.NodeEnded(day(loop.nowMs()), number, how));
      front.nodeDown(number, loop.nowMs());
      gone.kill();
      shared.schedule(startAfter + START, this::start);
    }

    void kill(double startAfter) {
      if (process != null) {
        end(Event.End.KILLED, startAfter);
      }
    }

    /** SIGTERM, and what the platform grants after it. */
    void restart() {
      EdgeNode leaving = node;
      if (leaving == null) {
        return;
      }
      double most =
          told.settings().requestClasses().stream()
              .mapToDouble(c -> c.deadlineMs())
              .max()
              .orElse(0);
      front.nodeDown(
          number,
          loop.nowMs()
              - scenario.loadBalancerNoticeMs()
              + Math.min(scenario.loadBalancerNoticeMs(), 400));
      leaving
          .shutdownAsync()
          .thenRun(
              () -> {
                if (node == leaving) {
                  end(Event.End.LEFT, 0);
                }
              });
      shared.schedule(
          most + KILLED_AFTER,
          () -> {
            if (node == leaving) {
              end(Event.End.LEFT, 0);
            }
          });
    }

    void reload() {
      if (node != null) {
        try {
          told = configuration();
          node.reload(told);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      }
    }
  }

  private final Scenario scenario;
  private final long seed;
  private final PolicyFactory maker;
  private final Consumer<Event> events;
  private final Consumer<String> log;
  private final VirtualLoop loop;
  private final LocalTransport transport = new LocalTransport("world" + WORLDS.incrementAndGet());
  private final NettyEdgeEventLoop shared;
  private final Trace trace = new Trace();
  private final Recorder recorder;
  private final Random chance;
  private final List<AppServerEmulator> servers = new ArrayList<>();
  private final List<Place> places = new ArrayList<>();
  private final DiscoveryEmulator discovery;
  private final CounterEmulator counter;
  private final ClientLoadBalancer front;
  private final CustomerClients clients;
  private final Map<CustomerClients.Fate, Integer> fates =
      new EnumMap<>(CustomerClients.Fate.class);
  private final IdempotencyGroupModel[] racks = {
    new IdempotencyGroupModel("a", 0, WINDOW), new IdempotencyGroupModel("b", 1, WINDOW)
  };

  /**
   * Discovery and counter answer at their second addresses too; new configurations name those from
   * here on.
   */
  private boolean moved;

  private int extras;

  /** How far the day has gone on the loop (ms), and where the campuses began. */
  private double elapsed;

  private double began;

  /**
   * Comes up; {@link #play} then plays the day.
   *
   * @param maker the decision module of each edge node
   * @param events hears what passes on the emulators' sockets, in ms since the campuses began
   * @param log hears the nodes' lines
   * @param reached hears how far the day has gone (ms, 0 until the campuses begin), whenever that
   *     moves
   * @throws IOException where a configuration cannot be read
   */
  Simulation(
      Scenario scenario,
      long seed,
      PolicyFactory maker,
      Consumer<Event> events,
      Consumer<String> log,
      DoubleConsumer reached)
      throws IOException, InterruptedException {
    this.scenario = scenario;
    this.seed = seed;
    this.maker = maker;
    this.events =
        event -> {
          trace.event(event);
          events.accept(event);
        };
    this.log = log;
    loop = new VirtualLoop(ms -> reached.accept(began > 0 ? ms - began : 0));
    shared = new NettyEdgeEventLoop(loop, transport, loop, log);
    recorder = new Recorder(this.events, this::day);
    chance = new Random(seed ^ 0x5eed);
    discovery = new DiscoveryEmulator(shared, 0, recorder).start(address(1, 1));
    discovery.start(address(1, 3));
    counter =
        new CounterEmulator(shared, CounterEmulator.Limits.forNodes(scenario.nodes()), trace)
            .start(address(1, 2));
    counter.start(address(1, 4));
    for (int i = 0; i < scenario.servers(); i++) {
      begin("s" + i, i, address(2, i), false);
      discovery.set(servers.get(i).entry("active"));
    }
    for (int i = 0; i < scenario.nodes(); i++) {
      places.add(new Place(i));
    }
    front =
        new ClientLoadBalancer(scenario.nodes(), scenario.loadBalancerNoticeMs(), seed * 17 + 3);
    places.forEach(Place::start);
    double until = 0;
    while (places.stream().anyMatch(p -> p.node.address() == null)) {
      until += 10;
      loop.runUntil(until);
      if (until > READY_WITHIN) {
        throw new IllegalStateException("no edge node came up");
      }
    }
    elapsed = until;
    began = until;
    ArrivalProcess arrivals =
        new ArrivalProcess(
            seed, campuses(), EmulatedWorld.KINDS, scenario::rate, scenario.maxPerSecond());
    clients =
        new CustomerClients(
            shared,
            arrivals,
            HABITS,
            this::way,
            new CustomerClients.ClientListener() {
              @Override
              public void attemptEnded(
                  ArrivalProcess.Arrival of, int retry, CustomerClients.Fate fate, double ms) {
                fates.merge(fate, 1, Integer::sum);
                trace.ended(shared.nowMs(), of, retry, fate);
              }

              @Override
              public void requestSent(
                  double now,
                  String id,
                  ArrivalProcess.Arrival of,
                  CustomerClients.Target way,
                  double wait) {
                recorder.requestSent(now, id, of, way, wait);
              }

              @Override
              public void responseReceived(
                  double now, String id, CustomerClients.Fate kind, String text) {
                recorder.responseReceived(now, id, kind, text);
              }

              @Override
              public void connectionLost(double now, String id) {
                recorder.connectionLost(now, id);
              }

              @Override
              public void gaveUp(double now, String id) {
                recorder.gaveUp(now, id);
              }
            },
            seed);
  }

  private CustomerClients.Target way(ArrivalProcess.Arrival of, double now) {
    int node = front.selectNode(of.customer().id(), now);
    return new CustomerClients.Target(address(3, node), node, scenario.nodes(), 0);
  }

  private double day(double now) {
    return now - VirtualLoop.START - began;
  }

  private void begin(String id, int number, InetSocketAddress at, boolean cold)
      throws InterruptedException {
    AppServerEmulator server =
        new AppServerEmulator(
            shared,
            id,
            racks[number % racks.length],
            scenario.size(),
            AppServerEmulator.ConnectionOptions.DEFAULT,
            recorder,
            seed * 31 + number);
    server.start(at);
    servers.add(server);
    events.accept(
        new Event.Born(
            day(loop.nowMs()), id, server.idempotencyGroup().block(), scenario.size(), cold));
  }

  private static InetSocketAddress address(int net, int number) {
    return new InetSocketAddress("10." + net + "." + number / 250 + "." + (1 + number % 250), PORT);
  }

  private static String text(InetSocketAddress at) {
    return at.getAddress().getHostAddress() + ":" + at.getPort();
  }

  /** Most campuses use a part of their quota; some ask far more than it holds. */
  private List<ArrivalProcess.Customer> campuses() {
    Random draw = new Random(seed * 7 + 1);
    List<ArrivalProcess.Customer> all = new ArrayList<>();
    for (int i = 0; i < scenario.customers(); i++) {
      EmulatedWorld.Plan plan = EmulatedWorld.PLANS.get(i % EmulatedWorld.PLANS.size());
      double use = draw.nextInt(6) == 0 ? 3 : 0.2 + 0.6 * draw.nextDouble();
      all.add(
          new ArrivalProcess.Customer(
              String.format("%016x", 0x100000000L + (draw.nextLong() & 0xffffffffL)),
              plan.name(),
              plan.perSecond() * use));
    }
    return all;
  }

  /** Plays the day to the end of its last request. */
  void play() {
    scenario.faults().forEach(fault -> shared.schedule(fault.atMs(), () -> applyFault(fault)));
    clients.start();
    elapsed += scenario.lengthMs();
    loop.runUntil(elapsed);
    clients.stop();
    double end = elapsed + SETTLE_MS;
    while (elapsed < end && clients.openAttempts() > 0) {
      elapsed += 100;
      loop.runUntil(elapsed);
    }
    elapsed += 200; // what clients wait on for a little longer than their patience
    loop.runUntil(elapsed);
  }

  /** How long the day was, with what came after it (ms). */
  double length() {
    return elapsed - began;
  }

  Trace trace() {
    return trace;
  }

  Map<CustomerClients.Fate, Integer> fates() {
    return fates;
  }

  // ---- faults ----

  private void done(String what) {
    events.accept(new Event.Done(day(loop.nowMs()), what));
  }

  private void applyFault(Scenario.Fault fault) {
    switch (fault.kind().target()) {
      case SERVER -> {
        int number = fault.index() >= 0 ? fault.index() : chance.nextInt(scenario.servers());
        done(fault.kind().word() + " s" + number);
        server(fault, servers.get(number), number);
      }
      case NODE -> {
        int number = fault.index() >= 0 ? fault.index() : chance.nextInt(scenario.nodes());
        done(fault.kind().word() + " node " + number);
        node(fault, number);
      }
      default -> {
        done(fault.text());
        service(fault);
      }
    }
  }

  private void server(Scenario.Fault fault, AppServerEmulator server, int number) {
    switch (fault.kind()) {
      case DIE -> die(fault, server, number);
      case DRAIN -> {
        shared.schedule(fault.lagMs(), () -> discovery.set(server.entry("leaving")));
        scheduleEnd(fault, () -> discovery.set(server.entry("active")));
      }
      case NEIGHBOUR -> {
        server.setNeighbourShare(fault.share());
        scheduleEnd(fault, () -> server.setNeighbourShare(0));
      }
      default -> {
        server.setFaultMode(AppServerEmulator.FaultMode.valueOf(fault.kind().name()));
        scheduleEnd(fault, () -> server.setFaultMode(AppServerEmulator.FaultMode.NORMAL));
      }
    }
  }

  private void scheduleEnd(Scenario.Fault fault, Runnable what) {
    if (fault.durationMs() > 0) {
      shared.schedule(
          fault.durationMs(),
          () -> {
            done(fault.kind().word() + " is over");
            what.run();
          });
    }
  }

  private void die(Scenario.Fault fault, AppServerEmulator server, int number) {
    server.crash();
    events.accept(new Event.Died(day(loop.nowMs()), server.id()));
    DiscoveryAgentEmulator.Host gone = server.entry("left");
    boolean[] back = new boolean[1];
    shared.schedule(
        fault.lagMs(),
        () -> {
          if (!back[0]) {
            discovery.set(gone);
          }
        });
    scheduleEnd(
        fault,
        () -> {
          InetSocketAddress old = server.address();
          back[0] = !fault.movesAddress();
          server.restart(fault.movesAddress() ? address(4, number) : old);
          events.accept(
              new Event.Born(
                  day(loop.nowMs()),
                  server.id(),
                  server.idempotencyGroup().block(),
                  scenario.size(),
                  true));
          shared.schedule(
              fault.movesAddress() ? fault.lagMs() : LISTED,
              () -> discovery.set(server.entry("active")));
          if (fault.movesAddress()) {
            follow(old, number);
          }
        });
  }

  /** Another server starts where one has died, and the list still names that one there. */
  private void follow(InetSocketAddress at, int number) {
    try {
      begin("x" + ++extras, number, at, true);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return;
    }
    AppServerEmulator another = servers.get(servers.size() - 1);
    shared.schedule(LISTED, () -> discovery.set(another.entry("active")));
  }

  private void node(Scenario.Fault fault, int number) {
    Place place = places.get(number);
    switch (fault.kind()) {
      case KILL -> place.kill(fault.durationMs());
      case RESTART -> place.restart();
      case RELOAD -> {
        moved = !moved;
        place.reload();
      }
      default -> {
        front.crowd(number, fault.share());
        scheduleEnd(fault, () -> front.crowd(number, 0));
      }
    }
  }

  private void service(Scenario.Fault fault) {
    switch (fault.kind()) {
      case DISCOVERY_SILENT -> {
        discovery.setSilent(true);
        scheduleEnd(fault, () -> discovery.setSilent(false));
      }
      case DISCOVERY_LAG -> {
        discovery.setLag(fault.lagMs());
        scheduleEnd(fault, () -> discovery.setLag(0));
      }
      case DISCOVERY_STALL -> discovery.stallWatches(chance.nextInt(300));
      case DISCOVERY_EMPTY -> discovery.serveEmptyLists(1 + chance.nextInt(scenario.nodes()));
      case COUNTER_EMPTY -> counter.restart();
      case COUNTER_RESET -> counter.reset();
      case RESHUFFLE -> front.reshuffle();
      default -> {
        counter.setFaultMode(
            CounterEmulator.FaultMode.valueOf(fault.kind().name().substring("COUNTER_".length())));
        scheduleEnd(fault, () -> counter.setFaultMode(CounterEmulator.FaultMode.NORMAL));
      }
    }
  }
}
