package edgenode.node;

import edgenode.admin.AdminListener;
import edgenode.admin.Operations;
import edgenode.config.Config;
import edgenode.config.EdgeSettings;
import edgenode.drain.Drain;
import edgenode.eventloop.Loop;
import edgenode.eventloop.LoopThread;
import edgenode.ledger.Ledger;
import edgenode.membership.Entry;
import edgenode.membership.Limits;
import edgenode.membership.Membership;
import edgenode.net.counter.CounterClient;
import edgenode.net.discovery.Members;
import edgenode.net.discovery.MembersJson;
import edgenode.net.discovery.Sources;
import edgenode.net.downstream.ClientListener;
import edgenode.net.resp.Call;
import edgenode.net.upstream.ServerPool;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.RequestClass;
import edgenode.store.StoreException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.redis.ArrayRedisMessage;
import io.netty.handler.codec.redis.ErrorRedisMessage;
import io.netty.handler.codec.redis.FullBulkStringRedisMessage;
import io.netty.handler.codec.redis.RedisMessage;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.collection.LongObjectHashMap;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * One real edge node: the table of requests, between the sockets and the decision module. All of it
 * runs on one event loop thread, the module too; clock and event loop are given from outside. It
 * decides nothing.
 */
public final class Node
    implements PolicyActions,
        Members.View,
        ClientListener.Requests,
        ServerPool.Probed,
        CounterClient.Counted,
        Operations {
  /** How a decision module is made. */
  public interface Maker {
    PolicyEvents start(PolicySettings settings, long seed, double now, PolicyActions actions);
  }

  /** Off a client's wait (ms), so that an answer at the end of it is back in time. */
  private static final double WAY_BACK = 10;

  /**
   * Of a client's wait, what the loop's delays may take at most: they are estimates, and high ones
   * after a pause.
   */
  private static final double MOST_DELAYS = 0.5;

  /**
   * With less of a client's wait left (ms) nothing can be done for it: it is refused while it still
   * waits.
   */
  private static final double LEAST_WAIT = 1;

  /**
   * The end of the client's wait has been told to the module; it answers by then (ms), or we do.
   */
  private static final double LAST_WORD = 8;

  /**
   * The parts of lists, connections and code that are not ready by then (ms) are not waited for.
   */
  private static final double READY_WITHIN = 4000;

  /**
   * Discovery itself is waited for no longer than this (ms) where a list was known at the start:
   * its agent answers at once or, as when a whole fleet starts together and asks more than
   * discovery can serve, not for seconds.
   */
  private static final double TOLD_WITHIN = 250;

  /** New connections go on coming for up to 0.4 s after SIGTERM. */
  private static final long LISTEN_ON = 600;

  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline, of which so much counts at
   * most (ms), and a while more. What comes in that time on connections that stay open is owed an
   * answer before it.
   */
  private static final double GRANTED_MOST = 3000;

  private static final double GRANTED = 700;

  /** Off that (ms): so that a busy machine's last answers are out before the kill. */
  private static final double LAST_MOMENT = 50;

  /** Operators' calls that are held at once, where descriptors allow it. */
  private static final int CALLERS = 32;

  private static final int CALLERS_PART = 16;

  /**
   * Of the descriptors that may be held: the shares of clients' and of app servers' connections.
   */
  private static final double CLIENTS = 0.55;

  private static final double SERVERS = 0.3;

  /**
   * All that is shared out: those two, what the listener takes beyond its share for a moment,
   * operators' calls.
   */
  private static final double SHARED_OUT =
      CLIENTS * (1 + ClientListener.BEYOND) + SERVERS + 1.0 / CALLERS_PART;

  /**
   * Descriptors that must stay free of them, whatever the limit: the machine's own files, its
   * libraries' and what is opened for a moment to load a class (32), the loop's (4), counter (4,
   * twice while it moves), discovery (4, 2 of a place that was left, 8 connects that never come up)
   * and some to spare. Without one to load a class the loop ends.
   */
  private static final int OWN = 64;

  /** Under so few descriptors no edge node runs; shares are not cut to less than this part. */
  private static final double LEAST_SHARES = 0.5;

  /**
   * What all held requests' values may take (bytes); further ones are refused at once. They are
   * read all the same, as unread ones would age and hide the ends of their clients' connections.
   */
  private static final long HELD = 8L << 20;

  /** A timer on which the module failed comes once more after this (ms). */
  private static final double TIMER_AGAIN = 20;

  /** Between two audits of the figures (ms), where operators can read them. */
  private static final double AUDIT = 1000;

  /** Every so many of them read the campuses' accounts too: 10,000 take 3 ms. */
  private static final int CAMPUSES_EVERY = 10;

  /** Kinds of breaches that are told. */
  private static final int KINDS = 50;

  /** Longest wait (ms) that a client may name: past that its request is malformed. */
  private static final double LONGEST = 3_600_000;

  /** A request of a client, from its last byte to the end of its last attempt. */
  private final class Request implements ClientListener.Taken, ServerPool.Work {
    private final long id;
    private final ClientListener.Slot slot;
    private final ArrayRedisMessage command;
    private final Call call;

    /** Its client waits no longer (ms), or the process may be killed. */
    private double deadline;

    private final int bytes;
    private final List<ServerPool.Attempt> attempts = new ArrayList<>(1);
    private final Ledger.Row row;
    private boolean over;

    /** It is the first of its idempotency key. */
    private boolean leads;

    /** Its client has gone, and it goes on for those that repeat it. */
    private boolean orphan;

    private int out;

    /** Attempts that were written and may have run. */
    private int ran;

    /** When the first attempt was asked for that has been written (ms). */
    private double ranAt = Double.POSITIVE_INFINITY;

    private Future<?> timer;

    Request(
        long id, ClientListener.Slot slot, ArrayRedisMessage command, Call call, double deadline) {
      this.id = id;
      this.slot = slot;
      this.command = command;
      this.call = call;
      this.deadline = deadline;
      row = ledger.row(call.type(), call.customer());
      int sum = 0;
      for (RedisMessage part : command.children()) {
        sum += ((FullBulkStringRedisMessage) part).content().readableBytes();
      }
      bytes = sum;
    }

    @Override
    public void giveUp() {
      Node.this.giveUp(this);
    }

    @Override
    public void gone() {
      if (over) {
        return;
      }
      if (leads && (mayHaveRun() || recognition.followed(id))) {
        count(this, Ledger.End.ABANDONED);
        orphan = true; // its answer is for those that repeat it
      } else {
        over(this, Ledger.End.ABANDONED);
        led(this, null, false);
        tell(m -> m.clientDisconnected(loop.now(), id));
        settle(this);
      }
    }

    @Override
    public ArrayRedisMessage command(double now, ByteBufAllocator alloc) {
      return call.forward(command, deadline - now, alloc);
    }

    @Override
    public void written(ServerPool.Attempt a) {
      row.attempt();
      ran++;
      ranAt = Math.min(ranAt, a.sent);
    }

    /**
     * Whether anybody waits for its answer: its client by what the system tells at this moment, as
     * on a busy loop the end of a connection is read late, or those that repeat it. One that leads
     * is not asked for: not sent, it would count as one that may have run, and those that follow
     * would hear that it failed.
     */
    @Override
    public boolean wanted() {
      return !over && (orphan ? recognition.followed(id) : leads || !slot.left());
    }

    /** Whether it had an effect, or may have one yet. */
    private boolean mayHaveRun() {
      return ran > 0 || out > 0;
    }

    @Override
    public ServerPool.Sink began(ServerPool.Attempt a, int length, ServerPool.Source source) {
      out--;
      double now = loop.now();
      boolean wanted = !over && !orphan;
      led(this, null, true);
      Passing passing = new Passing(slot, row, source);
      if (!over) {
        over = true; // the server has done its work; how long the client reads says nothing of it
        slot.take(wanted ? passing : null);
      }
      tell(
          m ->
              m.attemptEnded(
                  now, id, a.number, CallOutcome.OK, now - a.sent, true, 0, ServerPool.NO_LOAD));
      settle(this);
      if (wanted) {
        slot.begin(length, source::flow);
      }
      return wanted ? passing : null;
    }

    @Override
    public void ended(
        ServerPool.Attempt a, CallOutcome outcome, RedisMessage value, double[] load) {
      out--;
      ran -= a.wrote() && outcome.provesNothingRan() ? 1 : 0;
      double now = loop.now();
      if (outcome == CallOutcome.OK && !over) {
        Node.this.answer(this, Ledger.End.SERVED, ReferenceCountUtil.retain(value));
      }
      boolean told =
          tell(m -> m.attemptEnded(now, id, a.number, outcome, now - a.sent, over, 0, load));
      if (!told) {
        Node.this.giveUp(this);
      }
      settle(this);
    }
  }

  /**
   * A long value on its way from a server to its client: its request is over for the module, and
   * open to its end.
   */
  private final class Passing implements ServerPool.Sink, ClientListener.Taken {
    private final ClientListener.Slot slot;
    private final Ledger.Row row;
    private final ServerPool.Source source;

    Passing(ClientListener.Slot slot, Ledger.Row row, ServerPool.Source source) {
      this.slot = slot;
      this.row = row;
      this.source = source;
    }

    private void ended(Ledger.End how) {
      slot.take(null);
      row.ended(how);
      live--;
    }

    @Override
    public void part(ByteBuf bytes) {
      slot.part(bytes);
    }

    @Override
    public void whole() {
      ended(Ledger.End.SERVED);
      slot.end();
    }

    @Override
    public void broken() {
      ended(Ledger.End.FAILED);
      slot.broken();
    }

    @Override
    public void giveUp() {
      source.stop();
      broken();
    }

    @Override
    public void gone() {
      source.stop();
      ended(Ledger.End.ABANDONED);
    }
  }

  private final Config config;
  private final Maker maker;
  private final Loop loop;
  private final LongObjectHashMap<Request> requests = new LongObjectHashMap<>();
  private final Ledger ledger;

  /** Recognises repeats, or null where that is off. */
  private final Recognition recognition;

  /** The folder in which idempotency keys outlive the process, or null. */
  private final Path keys;

  private final Drain drain = new Drain();
  private final Set<String> unbalanced = new HashSet<>();
  private final Set<String> ids = new HashSet<>();
  private final ClientListener clients;
  private final ServerPool servers;
  private final CounterClient counter;
  private final Members discovery;
  private final CompletableFuture<Void> ended = new CompletableFuture<>();
  private Members.Place agent;
  private PolicyEvents module;
  private long lastId;
  private long held;
  private Runnable lost = () -> {};
  private boolean listening;
  private boolean ready;

  /** Requests in the table that have not ended. */
  private long live;

  /** What was found not to add up, each time that it was. */
  private long breaches;

  private long audits;
  private double phaseAt = Double.POSITIVE_INFINITY;

  /** What is taken is answered by then, as the process may be killed (ms). */
  private double endsAt = Double.POSITIVE_INFINITY;

  private Drain.Phase phase = Drain.Phase.OPEN;
  private AdminListener admin;
  private volatile SocketAddress address;
  private volatile SocketAddress adminAddress;

  public Node(Config config, Maker maker) {
    this(config, maker, null, LoopThread.real());
  }

  /** How many connections a share is, of so many descriptors, when {@link #OWN} stay free. */
  private static int places(int descriptors, double share) {
    double part = Math.min(1, (descriptors - OWN) / (SHARED_OUT * descriptors));
    return (int) (descriptors * share * Math.max(LEAST_SHARES, part));
  }

  /**
   * @param own the operators' own settings, or null where there are none
   * @param loop which it is to live on, and which ends with it
   */
  public Node(Config config, Maker maker, EdgeSettings own, Loop loop) {
    this.config = config;
    this.maker = maker;
    this.loop = loop;
    agent = Members.agent(config.discovery());
    discovery =
        own == null
            ? new Members(
                loop,
                this,
                Limits.platform(config.settings().rules().warmUpMs()),
                List.of(agent),
                0)
            : new Members(loop, this, own.limits(), Sources.of(own, agent), own.failOver());
    clients =
        new ClientListener(loop, this, places(config.sockets(), CLIENTS), config.admin() != null);
    recognition =
        own == null || own.repeats() == null ? null : new Recognition(loop, own.repeats());
    keys = own == null ? null : own.store();
    ledger =
        new Ledger(
            config.settings().requestClasses().stream().map(RequestClass::name).toList(),
            own == null ? 0 : own.campuses());
    servers = new ServerPool(loop, discovery, this, config, places(config.sockets(), SERVERS));
    counter =
        new CounterClient(
            loop, this, config.counter(), config.settings().capabilities().counterTimeoutMs());
  }

  // ---- life ----

  /**
   * Comes up, and listens only once it is ready: a front takes in what answers. Waits for it on
   * another thread.
   */
  public void start() throws IOException {
    try {
      begin(StartLog::ended).get();
    } catch (ExecutionException e) {
      throw e.getCause() instanceof IOException bad ? bad : new IOException(e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /**
   * As {@link #start}, without waiting: may be called from any thread, and goes on on the loop.
   *
   * @param part hears each part of the start as it ends, on the loop
   * @return done when it listens; fails where the address cannot be had, or the module fails at its
   *     start
   */
  public CompletableFuture<Void> begin(Consumer<String> part) {
    CompletableFuture<Void> up = new CompletableFuture<>();
    loop.group()
        .execute(
            () -> {
              try {
                come(up, part);
              } catch (RuntimeException | Error e) { // nobody would wait for it to the end
                up.completeExceptionally(e);
              }
            });
    return up;
  }

  /**
   * Answers operators' calls from now on, also before the node is up; without an address for them
   * does nothing. Waits for it on another thread than the loop's.
   */
  public void answerOperators() throws IOException {
    if (config.admin() == null) {
      return;
    }
    int most = Math.max(2, Math.min(CALLERS, config.sockets() / CALLERS_PART));
    AdminListener listener = new AdminListener(loop, this, most);
    ChannelFuture bound = listener.bind(config.admin()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("operators' address: " + bound.cause().getMessage(), bound.cause());
    }
    adminAddress = bound.channel().localAddress();
    loop.group().execute(() -> admin = listener);
  }

  private void come(CompletableFuture<Void> up, Consumer<String> part) {
    if (recognition != null && keys != null) {
      try {
        recognition.lasting(keys);
      } catch (StoreException e) {
        up.completeExceptionally(new IOException("store: " + e.getMessage(), e));
        return;
      }
    }
    module = maker.start(config.settings(), config.seed(), loop.now(), this);
    discovery.start(config.known() == null ? null : MembersJson.of(config.known(), loop::say));
    counter.start();
    servers.start();
    clients.start();
    part.accept("loop and module");
    discovery.ready().thenRun(() -> part.accept("discovery"));
    servers.ready().thenRun(() -> part.accept("servers"));
    counter.ready().thenRun(() -> part.accept("counter"));
    Future<?> late =
        loop.after(
            READY_WITHIN,
            () -> {
              loop.say(
                  "ready with what there is: discovery "
                      + discovery.ready().isDone()
                      + ", servers "
                      + servers.ready().isDone()
                      + ", counter "
                      + counter.ready().isDone());
              listen(up);
            });
    CompletableFuture<Void> told = discovery.ready();
    if (discovery.figures().up() > 0) {
      told = told.applyToEither(elapsed(TOLD_WITHIN), done -> done);
    }
    CompletableFuture.allOf(told, servers.ready(), counter.ready())
        .thenRun(
            () -> {
              late.cancel(false);
              listen(up);
            });
  }

  private CompletableFuture<Void> elapsed(double ms) {
    CompletableFuture<Void> then = new CompletableFuture<>();
    loop.after(ms, () -> then.complete(null));
    return then;
  }

  private void listen(CompletableFuture<Void> up) {
    if (listening) {
      return; // it was ready after all, a moment too late
    }
    listening = true;
    clients
        .bind(config.listen())
        .addListener(
            (ChannelFuture f) -> {
              if (f.isSuccess()) {
                address = f.channel().localAddress();
                ready = true;
                if (admin != null) { // before, there is nothing to count
                  loop.after(AUDIT, this::audits);
                }
                up.complete(null);
              } else {
                up.completeExceptionally(f.cause());
              }
            });
  }

  /** What to do when discovery refuses everything; called on the loop, must not block. */
  public void whenLost(Runnable then) {
    lost = then;
  }

  /** A new configuration: discovery and counter may have moved. Any thread may bring it. */
  public void reload(Config told) {
    loop.later(
        () -> {
          Members.Place to = Members.agent(told.discovery());
          discovery.move(agent, to);
          agent = to;
          counter.move(told.counter());
        });
  }

  /** Where clients come, once it has started. */
  public SocketAddress address() {
    return address;
  }

  /** Where operators call, once {@link #answerOperators} has returned; else null. */
  public SocketAddress adminAddress() {
    return adminAddress;
  }

  /** SIGTERM: answers all that is taken and then ends; returns when that is done. */
  public void drain() {
    leave().join();
    loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    if (recognition != null) {
      recognition.close();
    }
  }

  /**
   * As {@link #drain}, without waiting and without an end of the loop: done when all that was taken
   * is answered.
   */
  public CompletableFuture<Void> leave() {
    double longest =
        config.settings().requestClasses().stream()
            .mapToDouble(RequestClass::deadlineMs)
            .max()
            .orElse(0);
    double granted = Math.min(longest, GRANTED_MOST) + GRANTED - LAST_MOMENT;
    loop.group()
        .execute(
            () -> {
              endsAt = loop.now() + granted;
              requests.values().forEach(this::cutShort);
              drain.end(loop.now());
              clients.giveWay();
              phase();
              loop.after(
                  LISTEN_ON,
                  () -> {
                    clients.unbind();
                    whenIdle();
                  });
              loop.after(
                  granted,
                  clients::cut); // a connection that always has a request open would never end
            });
    return ended;
  }

  /** Carries out what the drain has come to. */
  private void phase() {
    double now = loop.now();
    clients.welcome(drain.welcomes());
    Drain.Phase next = drain.phase(now);
    if (next != phase) {
      phase = next;
      switch (next) {
        case ENDING -> clients.close();
        case CUT -> clients.cut();
        case OPEN -> clients.reopen();
        default -> {}
      }
    }
    double at = drain.next(now);
    if (at < Double.POSITIVE_INFINITY && at != phaseAt) {
      phaseAt = at;
      loop.after(
          Math.max(1, at - now + 1),
          () -> {
            phaseAt = Double.POSITIVE_INFINITY;
            phase();
          });
    }
  }

  /**
   * Ends once no connection is left, or once the time is over in which clients may bring more and
   * nothing is owed: no time alone ends it. What each client waits for bounds that, and how long
   * one is waited for that does not read.
   */
  private void whenIdle() {
    boolean over = loop.now() >= endsAt && open() == 0 && clients.owed() == 0 && !clients.writing();
    if (clients.idle() || over) {
      if (admin != null) {
        admin.close();
      }
      ended.complete(null);
    } else {
      loop.after(5, this::whenIdle);
    }
  }

  /** Tells the module; an exception in it is logged and never gets to the loop. */
  private boolean tell(Consumer<PolicyEvents> event) {
    try {
      event.accept(module);
      return true;
    } catch (RuntimeException | Error e) {
      loop.log("module", e);
      return false;
    }
  }

  // ---- from clients ----

  @Override
  public String take(ClientListener.Slot slot, ArrayRedisMessage command, boolean crowded) {
    double now = loop.now();
    Call call;
    try {
      call = Call.of(command, config.settings());
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    if (!(call.patience() > 0 && call.patience() <= LONGEST)) {
      return "d is out of range";
    }
    if (ids.contains(call.id())) {
      return "a request of this id is open"; // servers could not tell the two apart
    }
    double patience = Math.min(patience(slot, call), endsAt - now);
    if (crowded || held > HELD || patience < LEAST_WAIT) {
      Ledger.Row row = ledger.row(call.type(), call.customer());
      row.taken();
      row.ended(Ledger.End.REFUSED);
      slot.answer(new ErrorRedisMessage("BUSY"));
      return null;
    }
    boolean leads = false;
    if (recognition != null
        && call.key() != null
        && config.settings().hasIdempotencyKey(call.type())) {
      switch (recognition.arrived(
          ++lastId, slot, call, command, ledger.row(call.type(), call.customer()), patience)) {
        case DONE:
          return null;
        case CLASHES:
          return "k belongs to another request";
        case LEADS:
          leads = true;
          break;
        default:
      }
    }
    Request r =
        new Request(leads ? lastId : ++lastId, slot, retained(command), call, now + patience);
    r.leads = leads;
    ids.add(call.id());
    slot.take(r);
    held += r.bytes;
    requests.put(r.id, r);
    r.row.taken();
    live++;
    r.timer = loop.after(patience + 1, () -> waited(r));
    if (r.leads) {
      recognition.whenLasting(r.id, () -> arrived(r));
    } else {
      arrived(r);
    }
    return null;
  }

  /**
   * For how long from now (ms) a request can be worked on: its client's wait counts from its last
   * byte, which may have lain unread on a busy loop, and its answer may find the loop as busy.
   */
  private double patience(ClientListener.Slot slot, Call call) {
    double delays = Math.min(slot.unread() + loop.delay(), MOST_DELAYS * call.patience());
    return call.patience() - delays - WAY_BACK;
  }

  /** It may be sent on from now on, if its client still waits. */
  private void arrived(Request r) {
    if (r.over) {
      return;
    }
    double now = loop.now();
    if (!tell(
        m ->
            m.requestArrived(
                now,
                new IncomingRequest(
                    r.id,
                    r.call.type(),
                    r.call.plan(),
                    r.call.customer(),
                    Math.max(1, r.deadline - now),
                    r.call.units(),
                    r.call.spread(),
                    r.call.first(),
                    r.call.again())))) {
      giveUp(r);
    }
  }

  private static ArrayRedisMessage retained(ArrayRedisMessage command) {
    command.retain();
    return command;
  }

  /**
   * A client may wait for longer than the process lives: it is answered before the kill all the
   * same.
   */
  private void cutShort(Request r) {
    if (!r.over && r.deadline > endsAt) {
      r.timer.cancel(false);
      r.deadline = endsAt;
      r.timer = loop.after(endsAt - loop.now() + 1, () -> waited(r));
    }
  }

  /**
   * The client's wait is over: attempts still out have timed out, and the module has the last word.
   */
  private void waited(Request r) {
    for (ServerPool.Attempt a : r.attempts.toArray(new ServerPool.Attempt[0])) {
      servers.giveUp(a, CallOutcome.TIMEOUT);
    }
    if (!r.over) {
      r.timer = loop.after(LAST_WORD, () -> giveUp(r));
    }
  }

  /** A request that the module has let lie or choked on fails; each request gets one answer. */
  private void giveUp(Request r) {
    if (!r.over) {
      answer(r, Ledger.End.FAILED, new ErrorRedisMessage("ERR failed"));
      tell(m -> m.clientDisconnected(loop.now(), r.id));
    }
  }

  private void answer(Request r, Ledger.End how, RedisMessage message) {
    Recognition.Answer again = r.leads ? Recognition.Answer.of(message) : null;
    over(r, how);
    if (r.orphan) {
      ReferenceCountUtil.release(message);
    } else {
      r.slot.answer(message);
    }
    led(r, again, how == Ledger.End.SERVED || how == Ledger.End.FAILED && r.mayHaveRun());
    settle(r);
  }

  /** Those that repeat it get its answer. */
  private void led(Request r, Recognition.Answer answer, boolean mayHaveRun) {
    if (r.leads) {
      r.leads = false;
      recognition.ended(r.id, answer, mayHaveRun);
    }
  }

  private void count(Request r, Ledger.End how) {
    if (!r.orphan) {
      r.row.ended(how);
      live--;
    }
  }

  private void over(Request r, Ledger.End how) {
    r.over = true;
    count(r, how);
    r.slot.take(null);
    r.attempts.forEach(servers::withdraw); // a connection that comes up later must not carry them
    if (r.out == 0) {
      r.timer.cancel(false);
    }
  }

  /** Forgets a request once it is over and nothing is out for it. */
  private void settle(Request r) {
    if (r.over && r.out == 0 && requests.remove(r.id) != null) {
      r.timer.cancel(false);
      ids.remove(r.call.id());
      held -= r.bytes;
      ReferenceCountUtil.release(r.command);
    }
  }

  // ---- from servers, counter and discovery ----

  @Override
  public void probed(String server, CallOutcome outcome, double took, double[] load) {
    tell(m -> m.healthCheckEnded(loop.now(), server, outcome, took, load));
  }

  @Override
  public void counted(long name, CallOutcome outcome, double took, double total) {
    tell(m -> m.counterCallEnded(loop.now(), name, outcome, took, total));
  }

  /**
   * The pool hears first, so that nothing that still waits for a connection goes to one that
   * drains.
   */
  @Override
  public void listed(List<Entry> entries, boolean whole) {
    servers.listed(entries);
    List<EndpointInfo> list = new ArrayList<>(entries.size());
    for (Entry e : entries) {
      list.add(e.server());
    }
    tell(m -> m.endpointsChanged(loop.now(), list, whole));
  }

  @Override
  public void discoveryRefuses() {
    lost.run();
  }

  @Override
  public void discoveryFailed() {
    tell(m -> m.discoveryFailed(loop.now()));
  }

  @Override
  public void tryOut(String id) {
    servers.tryOut(id);
  }

  /** The view of the servers, and how sure it is. */
  Members members() {
    return discovery;
  }

  Loop loop() {
    return loop;
  }

  // ---- from operators ----

  @Override
  public String notReady() {
    return drain.forGood() ? "ending" : !ready ? "starting" : drain.welcomes() ? null : "draining";
  }

  @Override
  public String evacuate() {
    drain.evacuate(loop.now());
    phase();
    return null;
  }

  @Override
  public String rejoin() {
    if (!drain.rejoin()) {
      return "the process is ending";
    }
    phase();
    return null;
  }

  @Override
  public String figures() {
    Membership.Figures members = discovery.figures();
    int avoided = module == null ? 0 : module.ejectedCount(loop.now());
    String state = notReady();
    boolean addsUp = audit(false);
    return Figures.json(
        ledger,
        open(),
        recognition == null ? null : recognition.figures(),
        recognition == null ? null : recognition.store(),
        members,
        members.servers() - members.up() + avoided,
        state == null ? "serving" : state,
        addsUp,
        breaches);
  }

  @Override
  public String campuses(String after, int limit) {
    return ledger.byCampus() ? Figures.campuses(ledger, after, limit) : null;
  }

  /** Requests that have not ended, by the tables. */
  private long open() {
    return live + (recognition == null ? 0 : recognition.waiting());
  }

  /** Holds the figures against each other; what does not add up is told, each kind once. */
  private boolean audit(boolean campuses) {
    List<String> wrong = ledger.check(open(), clients.owed());
    if (campuses && ledger.byCampus()) {
      wrong.addAll(ledger.checkCampuses());
    }
    breaches += wrong.size();
    for (String line : wrong) {
      if (unbalanced.size() < KINDS && unbalanced.add(line.substring(0, line.indexOf(':')))) {
        loop.say("figures do not add up: " + line);
      }
    }
    return wrong.isEmpty();
  }

  /** The node finds a breach itself, and before whoever reads the figures. */
  private void audits() {
    loop.after(AUDIT, this::audits);
    audit(++audits % CAMPUSES_EVERY == 0);
  }

  Ledger ledger() {
    return ledger;
  }

  // ---- actions of the module ----

  @Override
  public void send(long id, String server, double until) {
    Request r = requests.get(id);
    if (r == null) {
      return;
    }
    // written late, as its connection comes up late, a repeat would find servers that have
    // forgotten the first
    ServerPool.Attempt a =
        new ServerPool.Attempt(
            r,
            r.attempts.size(),
            server,
            loop.now(),
            r.ranAt
                + config.settings().idempotencyWindowMs(r.call.type())
                - config.settings().tickMs());
    r.attempts.add(a);
    r.out++;
    if (a.sent >= r.deadline
        || a.number >= config.settings().capabilities().maxAttempts()
        || !r.wanted()) {
      a.drop();
      loop.later(() -> r.ended(a, CallOutcome.NOT_SENT, null, ServerPool.NO_LOAD));
      return;
    }
    if (until > 0 && until < r.deadline) {
      loop.after(until - a.sent, () -> servers.giveUp(a, CallOutcome.TIMEOUT));
    }
    servers.send(a);
  }

  @Override
  public void cancel(long id, int attempt) {
    Request r = requests.get(id);
    if (r != null && attempt >= 0 && attempt < r.attempts.size()) {
      ServerPool.Attempt a = r.attempts.get(attempt);
      loop.later(() -> servers.giveUp(a, CallOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(long id, double retryAfter) {
    Request r = requests.get(id);
    if (r != null && !r.over) {
      answer(
          r,
          Ledger.End.REFUSED,
          new ErrorRedisMessage(retryAfter > 0 ? "BUSY " + Math.round(retryAfter) : "BUSY"));
    }
  }

  @Override
  public void fail(long id) {
    Request r = requests.get(id);
    if (r != null && !r.over) {
      answer(r, Ledger.End.FAILED, new ErrorRedisMessage("ERR failed"));
    }
  }

  @Override
  public void setTimer(double delay, long token) {
    double due = loop.now() + delay;
    loop.after(
        delay,
        () -> {
          // the module keeps one timer for all: lost with an exception, nothing would fall due
          // again
          if (!tell(m -> m.timerFired(Math.max(loop.now(), due), token))) {
            setTimer(TIMER_AGAIN, token);
          }
        });
  }

  @Override
  public void checkHealth(String server) {
    servers.probe(server);
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    counter.add(name, amount, keepFor);
  }

  /** The watch stands or is being renewed all the time. */
  @Override
  public void subscribe() {}
}
