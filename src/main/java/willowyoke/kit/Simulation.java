package willowyoke.kit;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import willowyoke.Decide;
import willowyoke.config.Config;
import willowyoke.config.Json;
import willowyoke.loop.LoopThread;
import willowyoke.node.Node;
import willowyoke.standin.Arrivals;
import willowyoke.standin.Capacity;
import willowyoke.standin.CampusClients;
import willowyoke.standin.Counter;
import willowyoke.standin.Discovery;
import willowyoke.standin.EnrolmentServer;
import willowyoke.standin.Rack;

/**
 * Edge nodes, their own network code unmodified, and their world on one thread in virtual time. The same seed and the
 * same build give the same events, to the byte. Code takes no time here: what a request costs the node in CPU is not
 * part of it, and neither is the network's way.
 */
final class Simulation {
    private static final AtomicLong WORLDS = new AtomicLong();
    private static final double WINDOW = 7500;
    private static final double READY_WITHIN = 10_000;
    private static final int PORT = 7000;

    private final VirtualLoop loop = new VirtualLoop();
    private final LocalTransport transport = new LocalTransport("world" + WORLDS.incrementAndGet());
    private final LoopThread shared;
    private final Trace trace = new Trace();
    private final List<EnrolmentServer> servers = new ArrayList<>();
    private final List<Node> nodes = new ArrayList<>();
    private final Discovery discovery;
    private final Map<CampusClients.Fate, Integer> fates = new EnumMap<>(CampusClients.Fate.class);
    private final List<CampusClients> clients = new ArrayList<>();
    /** How far the day has gone (ms). */
    private double elapsed;

    /**
     * @param log hears the nodes' lines
     * @throws IOException where a configuration cannot be read
     */
    Simulation(long seed, int nodeCount, int serverCount, Capacity.Size size, Consumer<String> log)
        throws IOException, InterruptedException {
        shared = new LoopThread(loop, transport, loop, log);
        discovery = new Discovery(shared, 0, trace).start(address(1, 1));
        new Counter(shared, Counter.Size.USUAL, trace).start(address(1, 2));
        Rack[] racks = {new Rack("a", 0, WINDOW), new Rack("b", 1, WINDOW)};
        for (int i = 0; i < serverCount; i++) {
            EnrolmentServer server = new EnrolmentServer(shared, "s" + i, racks[i % racks.length], size,
                EnrolmentServer.Habits.USUAL, trace, seed * 31 + i).start(address(2, i));
            servers.add(server);
            discovery.set(server.entry("active"));
        }
        for (int i = 0; i < nodeCount; i++) {
            Config told = Config.of(Json.read(World.CONFIG.formatted("n" + i, text(address(3, i)), text(address(1, 1)),
                text(address(1, 2)), seed + i, i, nodeCount)), Map.of());
            Node node = new Node(told, Decide::new, null, new LoopThread(loop, transport, loop, log));
            nodes.add(node);
            node.begin(part -> { });
        }
        double until = 0;
        while (nodes.stream().anyMatch(n -> n.address() == null)) {
            until += 10;
            loop.runUntil(until);
            if (until > READY_WITHIN) {
                throw new IllegalStateException("no edge node came up");
            }
        }
        elapsed = until;
    }

    private static InetSocketAddress address(int net, int number) {
        return new InetSocketAddress("10." + net + "." + number / 250 + "." + (1 + number % 250), PORT);
    }

    private static String text(InetSocketAddress at) {
        return at.getAddress().getHostAddress() + ":" + at.getPort();
    }

    /** Clients of one node that ask what was drawn; may be called for several. */
    void ask(int node, Arrivals arrivals, CampusClients.Habits habits, long seed) {
        CampusClients asking = new CampusClients(shared, arrivals, habits, address(3, node),
            (of, retry, fate, ms) -> {
                fates.merge(fate, 1, Integer::sum);
                trace.ended(shared.now(), of, retry, fate);
            }, seed);
        clients.add(asking);
        asking.start();
    }

    /** So many ms from now. */
    void at(double ms, Runnable what) {
        shared.after(ms, what);
    }

    /** Lets the day go on for so long (ms). */
    void run(double ms) {
        elapsed += ms;
        loop.runUntil(elapsed);
    }

    /** Clients ask nothing more, and each open try comes to its end. */
    void settle() {
        clients.forEach(CampusClients::stop);
        for (int i = 0; i < 100 && clients.stream().anyMatch(c -> c.open() > 0); i++) {
            run(100);
        }
    }

    List<EnrolmentServer> servers() {
        return servers;
    }

    Discovery discovery() {
        return discovery;
    }

    Trace trace() {
        return trace;
    }

    Map<CampusClients.Fate, Integer> fates() {
        return fates;
    }
}
