package willowyoke.net;

import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import willowyoke.Gateway;
import willowyoke.config.Config;
import willowyoke.config.EdgeSettings;
import willowyoke.loop.Loop;
import willowyoke.loop.Transport;
import willowyoke.membership.Entry;
import willowyoke.membership.Limits;
import willowyoke.net.discovery.Members;
import willowyoke.net.discovery.MembersJson;
import willowyoke.net.discovery.Sources;

/**
 * One real edge node: clock, timers and the table of requests, between the sockets and the decision module.
 * All of it runs on one event loop thread, the module too. It decides nothing.
 */
public final class Node implements Gateway.Actions, Loop, Members.View {
    /** How a decision module is made. */
    public interface Maker {
        Gateway.Events start(Gateway.Settings settings, long seed, double now, Gateway.Actions actions);
    }

    /** Off a client's wait (ms), so that an answer at the end of it is back in time. */
    private static final double WAY_BACK = 10;
    /** The end of the client's wait has been told to the module; it answers by then (ms), or we do. */
    private static final double LAST_WORD = 8;
    /** The parts of lists, connections and code that are not ready by then (ms) are not waited for. */
    private static final long READY_WITHIN = 4000;
    /** New connections go on coming for up to 0.4 s after SIGTERM. */
    private static final long STAY_OPEN = 450;
    private static final long LISTEN_ON = 600;
    /** Of the sockets that may be held: files, counter, discovery and the loop's own take the rest. */
    private static final double CLIENTS = 0.55;
    private static final double SERVERS = 0.3;
    /** What all held requests' values may take (bytes) before clients are read no further. */
    private static final long HELD = 8L << 20;
    /** A timer on which the module failed comes once more after this (ms). */
    private static final double TIMER_AGAIN = 20;
    /** The log tells so many failures; a flood would only cost. */
    private static final int LOGGED = 200;
    /** Longest wait (ms) that a client may name: past that its request is malformed. */
    private static final double LONGEST = 3_600_000;

    /** A request of a client, from its last byte to the end of its last attempt. */
    static final class Request {
        final long id;
        final ClientListener.Slot slot;
        final ArrayRedisMessage command;
        final Call call;
        final double deadline;
        final int bytes;
        final List<ServerPool.Attempt> attempts = new ArrayList<>(1);
        boolean over;
        int out;
        Future<?> timer;

        Request(long id, ClientListener.Slot slot, ArrayRedisMessage command, Call call, double deadline) {
            this.id = id;
            this.slot = slot;
            this.command = command;
            this.call = call;
            this.deadline = deadline;
            int sum = 0;
            for (RedisMessage part : command.children()) {
                sum += ((FullBulkStringRedisMessage) part).content().readableBytes();
            }
            bytes = sum;
        }
    }

    private final Config config;
    private final Maker maker;
    private final EventLoopGroup group = Transport.loop();
    private final long startedNanos = System.nanoTime();
    private final double startedMs = System.currentTimeMillis();
    private final LongObjectHashMap<Request> requests = new LongObjectHashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final Set<Channel> dirty = new LinkedHashSet<>();
    private final ClientListener clients;
    private final ServerPool servers;
    private final CounterClient counter;
    private final Members discovery;
    private final CompletableFuture<Void> ended = new CompletableFuture<>();
    private Members.Place agent;
    private Gateway.Events module;
    private long lastId;
    private long held;
    private int logged;
    private Runnable lost = () -> { };
    private SocketAddress address;

    public Node(Config config, Maker maker) {
        this(config, maker, null);
    }

    /** @param membership the operators' own settings, or null where there are none */
    public Node(Config config, Maker maker, EdgeSettings membership) {
        this.config = config;
        this.maker = maker;
        clients = new ClientListener(this, (int) (config.sockets() * CLIENTS));
        servers = new ServerPool(this, group, config, (int) (config.sockets() * SERVERS));
        counter = new CounterClient(this, group, config.counter(), config.settings().allowed()
            .counterTimeout());
        agent = Members.agent(config.discovery());
        discovery = membership == null
            ? new Members(this, this, Limits.defaults(config.settings().rules().warmAfter()), List.of(agent), 0)
            : new Members(this, this, membership.limits(), Sources.of(membership, agent), membership.failOver());
    }

    // ---- life ----

    /** Comes up, and listens only once it is ready: a front takes in what answers. */
    public void start() throws IOException {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        group.execute(() -> {
            try {
                module = maker.start(config.settings(), config.seed(), now(), this);
            } catch (RuntimeException e) {
                ready.completeExceptionally(e);
                return;
            }
            discovery.start(config.known() == null ? null : MembersJson.of(config.known(), this::say));
            counter.start();
            servers.start();
            clients.start();
            StartLog.ended("loop and module");
            discovery.ready().thenRun(() -> StartLog.ended("discovery"));
            servers.ready().thenRun(() -> StartLog.ended("servers"));
            counter.ready().thenRun(() -> StartLog.ended("counter"));
            CompletableFuture.allOf(discovery.ready(), servers.ready(), counter.ready())
                .thenRun(() -> ready.complete(null));
        });
        try {
            ready.get(READY_WITHIN, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            System.err.println("ready with what there is: discovery " + discovery.ready().isDone()
                + ", servers " + servers.ready().isDone() + ", counter " + counter.ready().isDone());
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
        try {
            address = clients.bind(group, config.listen());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** What to do when discovery refuses everything; called on the loop, must not block. */
    public void whenLost(Runnable then) {
        lost = then;
    }

    /** A new configuration: discovery and counter may have moved. Any thread may bring it. */
    public void reload(Config told) {
        group.execute(() -> guarded(() -> {
            Members.Place to = Members.agent(told.discovery());
            discovery.move(agent, to);
            agent = to;
            counter.move(told.counter());
        }));
    }

    SocketAddress address() {
        return address;
    }

    /** SIGTERM: answers all that is taken and then ends; returns when that is done. */
    public void drain() {
        double longest = config.settings().classes().stream()
            .mapToDouble(Gateway.RequestClass::deadline).max().orElse(0);
        group.execute(() -> {
            after(STAY_OPEN, clients::close);
            after(LISTEN_ON, () -> {
                clients.unbind();
                whenIdle(now() + longest + STAY_OPEN);
            });
        });
        ended.join();
        group.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    }

    /** The longest wait of a client bounds it: one that never reads would keep the process for ever. */
    private void whenIdle(double until) {
        if (clients.idle() || now() >= until) {
            ended.complete(null);
        } else {
            after(5, () -> whenIdle(until));
        }
    }

    /**
     * The module's clock: milliseconds of one monotonic clock, set once to Unix time. So born_ms needs no
     * translation, and the names on the counter, which the module cuts by time, are alike at all edge nodes.
     */
    @Override public double now() {
        return startedMs + (System.nanoTime() - startedNanos) / 1e6;
    }

    @Override public Future<?> after(double delay, Runnable what) {
        long nanos = Math.max(0, Math.round(delay * 1e6));
        return group.schedule(() -> guarded(what), nanos, TimeUnit.NANOSECONDS);
    }

    /** An outcome is told after the action that led to it has returned, as on the simulator. */
    void later(Runnable what) {
        group.execute(() -> guarded(what));
    }

    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | Error e) {
            log("event", e);
        }
        flush();
    }

    /** Tells the module; an exception in it is logged and never gets to the loop. */
    private boolean tell(Consumer<Gateway.Events> event) {
        try {
            event.accept(module);
            return true;
        } catch (RuntimeException | Error e) {
            log("module", e);
            return false;
        }
    }

    @Override public void log(String where, Throwable what) {
        StackTraceElement[] at = what.getStackTrace();
        say(where + ": " + what + (at.length > 0 ? " at " + at[0] : ""));
    }

    @Override public void say(String line) {
        if (++logged <= LOGGED) {
            System.err.println(line);
        }
    }

    @Override public EventLoopGroup group() {
        return group;
    }

    void flushLater(Channel channel) {
        dirty.add(channel);
    }

    /** Writes out what the events of this round have left on the connections. */
    @Override public void flush() {
        if (!dirty.isEmpty()) {
            Channel[] all = dirty.toArray(new Channel[0]);
            dirty.clear();
            for (Channel channel : all) {
                channel.flush();
            }
        }
    }

    /** Whether so much is held that clients should be read no further. */
    boolean full() {
        return held > HELD;
    }

    // ---- from clients ----

    /** Takes a request; answers what is wrong with it, or null. */
    String take(ClientListener.Slot slot, ArrayRedisMessage command) {
        double now = now();
        Call call;
        try {
            call = Call.of(command, config.settings());
        } catch (IllegalArgumentException e) {
            return e.getMessage();
        }
        if (!(call.patience() > 0 && call.patience() <= LONGEST)) {
            return "d is out of range";
        }
        if (!ids.add(call.id())) {
            return "a request of this id is open"; // servers could not tell the two apart
        }
        double patience = Math.max(1, call.patience() - WAY_BACK);
        Request r = new Request(++lastId, slot, retained(command), call, now + patience);
        slot.request = r;
        held += r.bytes;
        requests.put(r.id, r);
        r.timer = after(patience + 1, () -> waited(r));
        if (!tell(m -> m.arrived(now, new Gateway.Request(r.id, call.type(), call.plan(), call.customer(),
            patience, call.units(), call.spread(), call.first(), call.again())))) {
            giveUp(r);
        }
        return null;
    }

    private static ArrayRedisMessage retained(ArrayRedisMessage command) {
        command.retain();
        return command;
    }

    /** The client's wait is over: attempts still out have timed out, and the module has the last word. */
    private void waited(Request r) {
        for (ServerPool.Attempt a : r.attempts.toArray(new ServerPool.Attempt[0])) {
            servers.giveUp(a, Gateway.Outcome.TIMEOUT);
        }
        if (!r.over) {
            r.timer = after(LAST_WORD, () -> giveUp(r));
        }
    }

    /** A request that the module has let lie or choked on fails; each request gets one answer. */
    void giveUp(Request r) {
        if (!r.over) {
            answer(r, new ErrorRedisMessage("ERR failed"));
            tell(m -> m.gone(now(), r.id));
        }
    }

    void gone(Request r) {
        if (!r.over) {
            over(r);
            tell(m -> m.gone(now(), r.id));
            settle(r);
        }
    }

    private void answer(Request r, RedisMessage message) {
        over(r);
        r.slot.answer(message);
        settle(r);
    }

    private void over(Request r) {
        r.over = true;
        r.slot.request = null;
        if (r.out == 0) {
            r.timer.cancel(false);
        }
    }

    /** Forgets a request once it is over and nothing is out for it. */
    private void settle(Request r) {
        if (r.over && r.out == 0 && requests.remove(r.id) != null) {
            r.timer.cancel(false);
            ids.remove(r.call.id());
            boolean wasFull = full();
            held -= r.bytes;
            ReferenceCountUtil.release(r.command);
            if (wasFull && !full()) {
                clients.resume();
            }
        }
    }

    // ---- from servers, counter and discovery ----

    void attemptEnded(ServerPool.Attempt a, Gateway.Outcome outcome, RedisMessage value, double[] load) {
        Request r = a.request;
        r.out--;
        double now = now();
        if (outcome == Gateway.Outcome.OK && !r.over) {
            over(r);
            r.slot.answer(ReferenceCountUtil.retain(value));
        }
        boolean told = tell(m -> m.ended(now, r.id, a.number, outcome, now - a.sent, r.over, 0, load));
        if (!told) {
            giveUp(r);
        }
        settle(r);
    }

    void probed(String server, Gateway.Outcome outcome, double took, double[] load) {
        tell(m -> m.probed(now(), server, outcome, took, load));
    }

    void counted(long name, Gateway.Outcome outcome, double took, double total) {
        tell(m -> m.counted(now(), name, outcome, took, total));
    }

    /** The pool hears first, so that nothing that still waits for a connection goes to one that drains. */
    @Override public void listed(List<Entry> entries, boolean whole) {
        servers.listed(entries);
        List<Gateway.Server> list = new ArrayList<>(entries.size());
        for (Entry e : entries) {
            list.add(e.server());
        }
        tell(m -> m.servers(now(), list, whole));
    }

    @Override public void discoveryRefuses() {
        lost.run();
    }

    @Override public void discoveryFailed() {
        tell(m -> m.discoveryFailed(now()));
    }

    @Override public void tryOut(String id) {
        servers.tryOut(id);
    }

    /** What connections to servers show of them. */
    Members health() {
        return discovery;
    }

    // ---- actions of the module ----

    @Override public void send(long id, String server, double until) {
        Request r = requests.get(id);
        if (r == null) {
            return;
        }
        ServerPool.Attempt a = new ServerPool.Attempt(r, r.attempts.size(), server, now());
        r.attempts.add(a);
        r.out++;
        if (r.over || a.sent >= r.deadline || a.number >= config.settings().allowed().attempts()) {
            a.done = true;
            later(() -> attemptEnded(a, Gateway.Outcome.NOT_SENT, null, ServerPool.NO_LOAD));
            return;
        }
        if (until > 0 && until < r.deadline) {
            after(until - a.sent, () -> servers.giveUp(a, Gateway.Outcome.TIMEOUT));
        }
        servers.send(a);
    }

    @Override public void cancel(long id, int attempt) {
        Request r = requests.get(id);
        if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
            ServerPool.Attempt a = r.attempts.get(attempt);
            later(() -> servers.giveUp(a, Gateway.Outcome.CANCELLED));
        }
    }

    @Override public void refuse(long id, double retryAfter) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            answer(r, new ErrorRedisMessage(retryAfter > 0 ? "BUSY " + Math.round(retryAfter) : "BUSY"));
        }
    }

    @Override public void fail(long id) {
        Request r = requests.get(id);
        if (r != null && !r.over) {
            answer(r, new ErrorRedisMessage("ERR failed"));
        }
    }

    @Override public void timer(double delay, long token) {
        double due = now() + delay;
        after(delay, () -> {
            // the module keeps one timer for all: lost with an exception, nothing would fall due again
            if (!tell(m -> m.timer(Math.max(now(), due), token))) {
                timer(TIMER_AGAIN, token);
            }
        });
    }

    @Override public void probe(String server) {
        servers.probe(server);
    }

    @Override public void count(long name, double amount, double keepFor) {
        counter.add(name, amount, keepFor);
    }

    /** The watch stands or is being renewed all the time. */
    @Override public void subscribe() { }
}
