package edgenode.node;

import edgenode.admin.AdminHttpServer;
import edgenode.admin.AdminOperations;
import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.drain.DrainController;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.ledger.RequestLedger;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.MembershipLimits;
import edgenode.membership.MembershipStats;
import edgenode.net.counter.CounterClient;
import edgenode.net.counter.CounterListener;
import edgenode.net.discovery.EndpointListJson;
import edgenode.net.discovery.EndpointSources;
import edgenode.net.discovery.MembershipListener;
import edgenode.net.discovery.MembershipService;
import edgenode.net.discovery.SourceDefinition;
import edgenode.net.downstream.ClientListener;
import edgenode.net.resp.RequestCommand;
import edgenode.net.upstream.HealthCheckListener;
import edgenode.net.upstream.UpstreamAttempt;
import edgenode.net.upstream.UpstreamConnectionPool;
import edgenode.net.upstream.UpstreamRequest;
import edgenode.net.upstream.ValueSink;
import edgenode.net.upstream.ValueSource;
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
public final class EdgeNode
    implements PolicyActions,
        MembershipListener,
        ClientListener.RequestHandler,
        HealthCheckListener,
        CounterListener,
        AdminOperations {
  /** How a decision module is made. */
  public interface PolicyFactory {
    PolicyEvents create(PolicySettings settings, long seed, double nowMs, PolicyActions actions);
  }

  /** Off a client's wait (ms), so that an answer at the end of it is back in time. */
  private static final double RESPONSE_MARGIN_MS = 10;

  /**
   * Of a client's wait, what the loop's delays may take at most: they are estimates, and high ones
   * after a pause.
   */
  private static final double MAX_LOOP_DELAY_SHARE = 0.5;

  /**
   * With less of a client's wait left (ms) nothing can be done for it: it is refused while it still
   * waits.
   */
  private static final double MIN_TIME_BUDGET_MS = 1;

  /**
   * The end of the client's wait has been told to the module; it answers by then (ms), or we do.
   */
  private static final double POLICY_GRACE_MS = 8;

  /**
   * The parts of lists, connections and code that are not ready by then (ms) are not waited for.
   */
  private static final double READY_TIMEOUT_MS = 4000;

  /**
   * Discovery itself is waited for no longer than this (ms) where a list was known at the start:
   * its agent answers at once or, as when a whole fleet starts together and asks more than
   * discovery can serve, not for seconds.
   */
  private static final double DISCOVERY_TIMEOUT_WITH_KNOWN_LIST_MS = 250;

  /** New connections go on coming for up to 0.4 s after SIGTERM. */
  private static final long LISTEN_AFTER_SIGTERM_MS = 600;

  /**
   * SIGKILL comes no sooner after SIGTERM than the longest deadline, of which so much counts at
   * most (ms), and a while more. What comes in that time on connections that stay open is owed an
   * answer before it.
   */
  private static final double MAX_GRANTED_DEADLINE_MS = 3000;

  private static final double KILL_GRACE_MS = 700;

  /** Off that (ms): so that a busy machine's last answers are out before the kill. */
  private static final double KILL_MARGIN_MS = 50;

  /** Operators' calls that are held at once, where descriptors allow it. */
  private static final int MAX_ADMIN_CONNECTIONS = 32;

  private static final int DESCRIPTORS_PER_ADMIN_CONNECTION = 16;

  /**
   * Of the descriptors that may be held: the shares of clients' and of app servers' connections.
   */
  private static final double DOWNSTREAM_SHARE = 0.55;

  private static final double UPSTREAM_SHARE = 0.3;

  /**
   * All that is shared out: those two, what the listener takes beyond its share for a moment,
   * operators' calls.
   */
  private static final double TOTAL_SHARE =
      DOWNSTREAM_SHARE * (1 + ClientListener.OVER_LIMIT_SHARE)
          + UPSTREAM_SHARE
          + 1.0 / DESCRIPTORS_PER_ADMIN_CONNECTION;

  /**
   * Descriptors that must stay free of them, whatever the limit: the machine's own files, its
   * libraries' and what is opened for a moment to load a class (32), the loop's (4), counter (4,
   * twice while it moves), discovery (4, 2 of a place that was left, 8 connects that never come up)
   * and some to spare. Without one to load a class the loop ends.
   */
  private static final int RESERVED_DESCRIPTORS = 64;

  /** Under so few descriptors no edge node runs; shares are not cut to less than this part. */
  private static final double MIN_SHARE_SCALE = 0.5;

  /**
   * What all held requests' values may take (bytes); further ones are refused at once. They are
   * read all the same, as unread ones would age and hide the ends of their clients' connections.
   */
  private static final long MAX_BUFFERED_BYTES = 8L << 20;

  /** A timer on which the module failed comes once more after this (ms). */
  private static final double TIMER_RETRY_MS = 20;

  /** Between two audits of the figures (ms), where operators can read them. */
  private static final double CHECK_INTERVAL_MS = 1000;

  /** Every so many of them read the campuses' accounts too: 10,000 take 3 ms. */
  private static final int CUSTOMER_CHECK_EVERY = 10;

  /** Kinds of breaches that are told. */
  private static final int MAX_REPORTED_VIOLATIONS = 50;

  /** Longest wait (ms) that a client may name: past that its request is malformed. */
  private static final double MAX_CLIENT_WAIT_MS = 3_600_000;

  /** A request of a client, from its last byte to the end of its last attempt. */
  private final class PendingRequest implements ClientListener.OpenRequest, UpstreamRequest {
    private final long id;
    private final ClientListener.ResponseSlot slot;
    private final ArrayRedisMessage command;
    private final RequestCommand call;

    /** Its client waits no longer (ms), or the process may be killed. */
    private double deadlineMs;

    private final int sizeBytes;
    private final List<UpstreamAttempt> attempts = new ArrayList<>(1);
    private final RequestLedger.ClassCounters row;
    private boolean isFinished;

    /** It is the first of its idempotency key. */
    private boolean isKeyLeader;

    /** Its client has gone, and it goes on for those that repeat it. */
    private boolean hasNoClient;

    private int attemptsInFlight;

    /** Attempts that were written and may have run. */
    private int attemptsWritten;

    /** When the first attempt was asked for that has been written (ms). */
    private double firstWrittenAtMs = Double.POSITIVE_INFINITY;

    private Future<?> timer;

    PendingRequest(
        long id,
        ClientListener.ResponseSlot slot,
        ArrayRedisMessage command,
        RequestCommand call,
        double deadlineMs) {
      this.id = id;
      this.slot = slot;
      this.command = command;
      this.call = call;
      this.deadlineMs = deadlineMs;
      row = ledger.countersFor(call.className(), call.customer());
      int totalBytes = 0;
      for (RedisMessage part : command.children()) {
        totalBytes += ((FullBulkStringRedisMessage) part).content().readableBytes();
      }
      sizeBytes = totalBytes;
    }

    @Override
    public void failNow() {
      EdgeNode.this.failRequest(this);
    }

    @Override
    public void clientDisconnected() {
      if (isFinished) {
        return;
      }
      if (isKeyLeader && (mayHaveRun() || idempotencyKeys.hasFollowers(id))) {
        count(this, RequestLedger.RequestOutcome.ABANDONED);
        hasNoClient = true; // its answer is for those that repeat it
      } else {
        finish(this, RequestLedger.RequestOutcome.ABANDONED);
        completeFollowers(this, null, false);
        notifyPolicy(m -> m.clientDisconnected(loop.nowMs(), id));
        removeWhenSettled(this);
      }
    }

    @Override
    public ArrayRedisMessage command(double now, ByteBufAllocator alloc) {
      return call.forwardedCommand(command, deadlineMs - now, alloc);
    }

    @Override
    public void attemptWritten(UpstreamAttempt attempt) {
      row.attemptSent();
      attemptsWritten++;
      firstWrittenAtMs = Math.min(firstWrittenAtMs, attempt.requestedAtMs);
    }

    /**
     * Whether anybody waits for its answer: its client by what the system tells at this moment, as
     * on a busy loop the end of a connection is read late, or those that repeat it. One that leads
     * is not asked for: not sent, it would count as one that may have run, and those that follow
     * would hear that it failed.
     */
    @Override
    public boolean isClientWaiting() {
      return !isFinished
          && (hasNoClient
              ? idempotencyKeys.hasFollowers(id)
              : isKeyLeader || !slot.hasClientDisconnected());
    }

    /** Whether it had an effect, or may have one yet. */
    private boolean mayHaveRun() {
      return attemptsWritten > 0 || attemptsInFlight > 0;
    }

    @Override
    public ValueSink valueStarted(UpstreamAttempt attempt, int length, ValueSource source) {
      attemptsInFlight--;
      double now = loop.nowMs();
      boolean wanted = !isFinished && !hasNoClient;
      completeFollowers(this, null, true);
      StreamedResponse passing = new StreamedResponse(slot, row, source);
      if (!isFinished) {
        isFinished =
            true; // the server has done its work; how long the client reads says nothing of it
        slot.setOpenRequest(wanted ? passing : null);
      }
      notifyPolicy(
          m ->
              m.attemptEnded(
                  now,
                  id,
                  attempt.number,
                  CallOutcome.OK,
                  now - attempt.requestedAtMs,
                  true,
                  0,
                  UpstreamConnectionPool.NO_LOAD_REPORT));
      removeWhenSettled(this);
      if (wanted) {
        slot.startStreaming(length, source::setReading);
      }
      return wanted ? passing : null;
    }

    @Override
    public void attemptEnded(
        UpstreamAttempt attempt, CallOutcome outcome, RedisMessage value, double[] load) {
      attemptsInFlight--;
      attemptsWritten -= attempt.isWritten() && outcome.provesNothingRan() ? 1 : 0;
      double now = loop.nowMs();
      if (outcome == CallOutcome.OK && !isFinished) {
        EdgeNode.this.respond(
            this, RequestLedger.RequestOutcome.SERVED, ReferenceCountUtil.retain(value));
      }
      boolean isNotified =
          notifyPolicy(
              m ->
                  m.attemptEnded(
                      now,
                      id,
                      attempt.number,
                      outcome,
                      now - attempt.requestedAtMs,
                      isFinished,
                      0,
                      load));
      if (!isNotified) {
        EdgeNode.this.failRequest(this);
      }
      removeWhenSettled(this);
    }
  }

  /**
   * A long value on its way from a server to its client: its request is over for the module, and
   * open to its end.
   */
  private final class StreamedResponse implements ValueSink, ClientListener.OpenRequest {
    private final ClientListener.ResponseSlot slot;
    private final RequestLedger.ClassCounters row;
    private final ValueSource source;

    StreamedResponse(
        ClientListener.ResponseSlot slot, RequestLedger.ClassCounters row, ValueSource source) {
      this.slot = slot;
      this.row = row;
      this.source = source;
    }

    private void ended(RequestLedger.RequestOutcome outcome) {
      slot.setOpenRequest(null);
      row.requestEnded(outcome);
      openRequests--;
    }

    @Override
    public void onData(ByteBuf bytes) {
      slot.writeChunk(bytes);
    }

    @Override
    public void onComplete() {
      ended(RequestLedger.RequestOutcome.SERVED);
      slot.finishStreaming();
    }

    @Override
    public void onAborted() {
      ended(RequestLedger.RequestOutcome.FAILED);
      slot.abortStreaming();
    }

    @Override
    public void failNow() {
      source.cancel();
      onAborted();
    }

    @Override
    public void clientDisconnected() {
      source.cancel();
      ended(RequestLedger.RequestOutcome.ABANDONED);
    }
  }

  private final NodeConfig config;
  private final PolicyFactory policyFactory;
  private final EdgeEventLoop loop;
  private final LongObjectHashMap<PendingRequest> requests = new LongObjectHashMap<>();
  private final RequestLedger ledger;

  /** Recognises repeats, or null where that is off. */
  private final DuplicateRequestHandler idempotencyKeys;

  /** The folder in which idempotency keys outlive the process, or null. */
  private final Path keyStoreFolder;

  private final DrainController shutdown = new DrainController();
  private final Set<String> reportedViolations = new HashSet<>();
  private final Set<String> openRequestIds = new HashSet<>();
  private final ClientListener downstream;
  private final UpstreamConnectionPool upstream;
  private final CounterClient counter;
  private final MembershipService discovery;
  private final CompletableFuture<Void> shutdownComplete = new CompletableFuture<>();
  private SourceDefinition discoveryAddress;
  private PolicyEvents policy;
  private long lastRequestId;
  private long bufferedBytes;
  private Runnable discoveryRejectedHandler = () -> {};
  private boolean isListening;
  private boolean isReady;

  /** Requests in the table that have not ended. */
  private long openRequests;

  /** What was found not to add up, each time that it was. */
  private long violationCount;

  private long runPeriodicCheck;
  private double nextPhaseAtMs = Double.POSITIVE_INFINITY;

  /** What is taken is answered by then, as the process may be killed (ms). */
  private double killDeadlineMs = Double.POSITIVE_INFINITY;

  private DrainController.Phase drainPhase = DrainController.Phase.ACCEPTING;
  private AdminHttpServer admin;
  private volatile SocketAddress address;
  private volatile SocketAddress adminAddress;

  public EdgeNode(NodeConfig config, PolicyFactory policyFactory) {
    this(config, policyFactory, null, NettyEdgeEventLoop.create());
  }

  /**
   * How many connections a share is, of so many descriptors, when {@link #RESERVED_DESCRIPTORS}
   * stay free.
   */
  private static int connectionShare(int descriptors, double share) {
    double part = Math.min(1, (descriptors - RESERVED_DESCRIPTORS) / (TOTAL_SHARE * descriptors));
    return (int) (descriptors * share * Math.max(MIN_SHARE_SCALE, part));
  }

  /**
   * @param edgeSettings the operators' own settings, or null where there are none
   * @param loop which it is to live on, and which ends with it
   */
  public EdgeNode(
      NodeConfig config,
      PolicyFactory policyFactory,
      OperatorSettings edgeSettings,
      EdgeEventLoop loop) {
    this.config = config;
    this.policyFactory = policyFactory;
    this.loop = loop;
    discoveryAddress = MembershipService.agentSource(config.discoveryAddress());
    discovery =
        edgeSettings == null
            ? new MembershipService(
                loop,
                this,
                MembershipLimits.platform(config.settings().rules().warmUpMs()),
                List.of(discoveryAddress),
                0)
            : new MembershipService(
                loop,
                this,
                edgeSettings.membershipLimits(),
                EndpointSources.fromSettings(edgeSettings, discoveryAddress),
                edgeSettings.failOverMs());
    downstream =
        new ClientListener(
            loop,
            this,
            connectionShare(config.maxSockets(), DOWNSTREAM_SHARE),
            config.adminAddress() != null);
    idempotencyKeys =
        edgeSettings == null || edgeSettings.idempotencyBounds() == null
            ? null
            : new DuplicateRequestHandler(loop, edgeSettings.idempotencyBounds());
    keyStoreFolder = edgeSettings == null ? null : edgeSettings.storeFolder();
    ledger =
        new RequestLedger(
            config.settings().requestClasses().stream().map(RequestClass::name).toList(),
            edgeSettings == null ? 0 : edgeSettings.trackedCustomers());
    upstream =
        new UpstreamConnectionPool(
            loop, discovery, this, config, connectionShare(config.maxSockets(), UPSTREAM_SHARE));
    counter =
        new CounterClient(
            loop,
            this,
            config.counterAddress(),
            config.settings().capabilities().counterTimeoutMs());
  }

  // ---- life ----

  /**
   * Comes up, and listens only once it is ready: a front takes in what answers. Waits for it on
   * another thread.
   */
  public void start() throws IOException {
    try {
      startAsync(StartLog::partDone).get();
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
   * @param onPartDone hears each part of the start as it ends, on the loop
   * @return done when it listens; fails where the address cannot be had, or the module fails at its
   *     start
   */
  public CompletableFuture<Void> startAsync(Consumer<String> onPartDone) {
    CompletableFuture<Void> started = new CompletableFuture<>();
    loop.group()
        .execute(
            () -> {
              try {
                startOnLoop(started, onPartDone);
              } catch (RuntimeException | Error e) { // nobody would wait for it to the end
                started.completeExceptionally(e);
              }
            });
    return started;
  }

  /**
   * Answers operators' calls from now on, also before the node is up; without an address for them
   * does nothing. Waits for it on another thread than the loop's.
   */
  public void startAdmin() throws IOException {
    if (config.adminAddress() == null) {
      return;
    }
    int maxConnections =
        Math.max(
            2,
            Math.min(
                MAX_ADMIN_CONNECTIONS, config.maxSockets() / DESCRIPTORS_PER_ADMIN_CONNECTION));
    AdminHttpServer listener = new AdminHttpServer(loop, this, maxConnections);
    ChannelFuture bound = listener.bind(config.adminAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IOException("operators' address: " + bound.cause().getMessage(), bound.cause());
    }
    adminAddress = bound.channel().localAddress();
    loop.group().execute(() -> admin = listener);
  }

  private void startOnLoop(CompletableFuture<Void> started, Consumer<String> onPartDone) {
    if (idempotencyKeys != null && keyStoreFolder != null) {
      try {
        idempotencyKeys.persistentKeys(keyStoreFolder);
      } catch (StoreException e) {
        started.completeExceptionally(new IOException("store: " + e.getMessage(), e));
        return;
      }
    }
    policy = policyFactory.create(config.settings(), config.seed(), loop.nowMs(), this);
    discovery.start(
        config.initialEndpoints() == null
            ? null
            : EndpointListJson.fromConfiguration(config.initialEndpoints(), loop::logLine));
    counter.start();
    upstream.start();
    downstream.start();
    onPartDone.accept("loop and module");
    discovery.ready().thenRun(() -> onPartDone.accept("discovery"));
    upstream.whenReady().thenRun(() -> onPartDone.accept("servers"));
    counter.whenReady().thenRun(() -> onPartDone.accept("counter"));
    Future<?> timeout =
        loop.schedule(
            READY_TIMEOUT_MS,
            () -> {
              loop.logLine(
                  "ready with what there is: discovery "
                      + discovery.ready().isDone()
                      + ", servers "
                      + upstream.whenReady().isDone()
                      + ", counter "
                      + counter.whenReady().isDone());
              listen(started);
            });
    CompletableFuture<Void> discovered = discovery.ready();
    if (discovery.stats().upCount() > 0) {
      discovered =
          discovered.applyToEither(
              completeAfter(DISCOVERY_TIMEOUT_WITH_KNOWN_LIST_MS), done -> done);
    }
    CompletableFuture.allOf(discovered, upstream.whenReady(), counter.whenReady())
        .thenRun(
            () -> {
              timeout.cancel(false);
              listen(started);
            });
  }

  private CompletableFuture<Void> completeAfter(double ms) {
    CompletableFuture<Void> then = new CompletableFuture<>();
    loop.schedule(ms, () -> then.complete(null));
    return then;
  }

  private void listen(CompletableFuture<Void> started) {
    if (isListening) {
      return; // it was ready after all, a moment too late
    }
    isListening = true;
    downstream
        .bind(config.listenAddress())
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess()) {
                address = bound.channel().localAddress();
                isReady = true;
                if (admin != null) { // before, there is nothing to count
                  loop.schedule(CHECK_INTERVAL_MS, this::runPeriodicCheck);
                }
                started.complete(null);
              } else {
                started.completeExceptionally(bound.cause());
              }
            });
  }

  /** What to do when discovery refuses everything; called on the loop, must not block. */
  public void onDiscoveryRejected(Runnable handler) {
    discoveryRejectedHandler = handler;
  }

  /** A new configuration: discovery and counter may have moved. Any thread may bring it. */
  public void reload(NodeConfig newConfig) {
    loop.execute(
        () -> {
          SourceDefinition target = MembershipService.agentSource(newConfig.discoveryAddress());
          discovery.replaceSource(discoveryAddress, target);
          discoveryAddress = target;
          counter.addressChanged(newConfig.counterAddress());
        });
  }

  /** Where clients come, once it has started. */
  public SocketAddress address() {
    return address;
  }

  /** Where operators call, once {@link #startAdmin} has returned; else null. */
  public SocketAddress adminAddress() {
    return adminAddress;
  }

  /** SIGTERM: answers all that is taken and then ends; returns when that is done. */
  public void shutdown() {
    shutdownAsync().join();
    loop.group().shutdownGracefully(0, 100, TimeUnit.MILLISECONDS).awaitUninterruptibly(500);
    if (idempotencyKeys != null) {
      idempotencyKeys.close();
    }
  }

  /**
   * As {@link #shutdown}, without waiting and without an end of the loop: done when all that was
   * taken is answered.
   */
  public CompletableFuture<Void> shutdownAsync() {
    double longestDeadlineMs =
        config.settings().requestClasses().stream()
            .mapToDouble(RequestClass::deadlineMs)
            .max()
            .orElse(0);
    double grantedMs =
        Math.min(longestDeadlineMs, MAX_GRANTED_DEADLINE_MS) + KILL_GRACE_MS - KILL_MARGIN_MS;
    loop.group()
        .execute(
            () -> {
              killDeadlineMs = loop.nowMs() + grantedMs;
              requests.values().forEach(this::capAtKillDeadline);
              shutdown.startShutdown(loop.nowMs());
              downstream.stopAcceptingAtSharedAddress();
              drainPhase();
              loop.schedule(
                  LISTEN_AFTER_SIGTERM_MS,
                  () -> {
                    downstream.stopListening();
                    completeShutdownWhenIdle();
                  });
              loop.schedule(
                  grantedMs,
                  downstream
                      ::stopFurtherRequests); // a connection that always has a request open would
              // never end
            });
    return shutdownComplete;
  }

  /** Carries out what the drain has come to. */
  private void drainPhase() {
    double nowMs = loop.nowMs();
    downstream.setAcceptingClients(shutdown.isAccepting());
    DrainController.Phase nextPhase = shutdown.phase(nowMs);
    if (nextPhase != drainPhase) {
      drainPhase = nextPhase;
      switch (nextPhase) {
        case CLOSING_CONNECTIONS -> downstream.closeIdleConnections();
        case READING_STOPPED -> downstream.stopFurtherRequests();
        case ACCEPTING -> downstream.cancelClose();
        default -> {}
      }
    }
    double nextAtMs = shutdown.nextPhaseChangeMs(nowMs);
    if (nextAtMs < Double.POSITIVE_INFINITY && nextAtMs != nextPhaseAtMs) {
      nextPhaseAtMs = nextAtMs;
      loop.schedule(
          Math.max(1, nextAtMs - nowMs + 1),
          () -> {
            nextPhaseAtMs = Double.POSITIVE_INFINITY;
            drainPhase();
          });
    }
  }

  /**
   * Ends once no connection is left, or once the time is over in which clients may bring more and
   * nothing is owed: no time alone ends it. What each client waits for bounds that, and how long
   * one is waited for that does not read.
   */
  private void completeShutdownWhenIdle() {
    boolean over =
        loop.nowMs() >= killDeadlineMs
            && openRequestCount() == 0
            && downstream.openRequestCount() == 0
            && !downstream.hasUnwrittenResponses();
    if (downstream.hasNoConnections() || over) {
      if (admin != null) {
        admin.close();
      }
      shutdownComplete.complete(null);
    } else {
      loop.schedule(5, this::completeShutdownWhenIdle);
    }
  }

  /** Tells the module; an exception in it is logged and never gets to the loop. */
  private boolean notifyPolicy(Consumer<PolicyEvents> event) {
    try {
      event.accept(policy);
      return true;
    } catch (RuntimeException | Error e) {
      loop.logFailure("module", e);
      return false;
    }
  }

  // ---- from clients ----

  @Override
  public String requestReceived(
      ClientListener.ResponseSlot slot, ArrayRedisMessage command, boolean crowded) {
    double now = loop.nowMs();
    RequestCommand call;
    try {
      call = RequestCommand.parse(command, config.settings());
    } catch (IllegalArgumentException e) {
      return e.getMessage();
    }
    if (!(call.remainingMs() > 0 && call.remainingMs() <= MAX_CLIENT_WAIT_MS)) {
      return "d is out of range";
    }
    if (openRequestIds.contains(call.requestId())) {
      return "a request of this id is open"; // servers could not tell the two apart
    }
    double patience = Math.min(timeBudgetMs(slot, call), killDeadlineMs - now);
    if (crowded || bufferedBytes > MAX_BUFFERED_BYTES || patience < MIN_TIME_BUDGET_MS) {
      RequestLedger.ClassCounters row = ledger.countersFor(call.className(), call.customer());
      row.requestAccepted();
      row.requestEnded(RequestLedger.RequestOutcome.REJECTED);
      slot.respond(new ErrorRedisMessage("BUSY"));
      return null;
    }
    boolean leads = false;
    if (idempotencyKeys != null
        && call.idempotencyKey() != null
        && config.settings().hasIdempotencyKey(call.className())) {
      switch (idempotencyKeys.requestArrived(
          ++lastRequestId,
          slot,
          call,
          command,
          ledger.countersFor(call.className(), call.customer()),
          patience)) {
        case HANDLED:
          return null;
        case KEY_CONFLICT:
          return "k belongs to another request";
        case FORWARD_AS_LEADER:
          leads = true;
          break;
        default:
      }
    }
    PendingRequest request =
        new PendingRequest(
            leads ? lastRequestId : ++lastRequestId, slot, retained(command), call, now + patience);
    request.isKeyLeader = leads;
    openRequestIds.add(call.requestId());
    slot.setOpenRequest(request);
    bufferedBytes += request.sizeBytes;
    requests.put(request.id, request);
    request.row.requestAccepted();
    openRequests++;
    request.timer = loop.schedule(patience + 1, () -> deadlineReached(request));
    if (request.isKeyLeader) {
      idempotencyKeys.whenKeyPersisted(request.id, () -> notifyArrival(request));
    } else {
      notifyArrival(request);
    }
    return null;
  }

  /**
   * For how long from now (ms) a request can be worked on: its client's wait counts from its last
   * byte, which may have lain unread on a busy loop, and its answer may find the loop as busy.
   */
  private double timeBudgetMs(ClientListener.ResponseSlot slot, RequestCommand call) {
    double delays =
        Math.min(
            slot.unreadDelayMs() + loop.queueingDelayMs(),
            MAX_LOOP_DELAY_SHARE * call.remainingMs());
    return call.remainingMs() - delays - RESPONSE_MARGIN_MS;
  }

  /** It may be sent on from now on, if its client still waits. */
  private void notifyArrival(PendingRequest request) {
    if (request.isFinished) {
      return;
    }
    double now = loop.nowMs();
    if (!notifyPolicy(
        m ->
            m.requestArrived(
                now,
                new IncomingRequest(
                    request.id,
                    request.call.className(),
                    request.call.planName(),
                    request.call.customer(),
                    Math.max(1, request.deadlineMs - now),
                    request.call.units(),
                    request.call.nodeSpread(),
                    request.call.firstNode(),
                    request.call.isClientRetry())))) {
      failRequest(request);
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
  private void capAtKillDeadline(PendingRequest request) {
    if (!request.isFinished && request.deadlineMs > killDeadlineMs) {
      request.timer.cancel(false);
      request.deadlineMs = killDeadlineMs;
      request.timer =
          loop.schedule(killDeadlineMs - loop.nowMs() + 1, () -> deadlineReached(request));
    }
  }

  /**
   * The client's wait is over: attempts still out have timed out, and the module has the last word.
   */
  private void deadlineReached(PendingRequest request) {
    for (UpstreamAttempt attempt : request.attempts.toArray(new UpstreamAttempt[0])) {
      upstream.abandon(attempt, CallOutcome.TIMEOUT);
    }
    if (!request.isFinished) {
      request.timer = loop.schedule(POLICY_GRACE_MS, () -> failRequest(request));
    }
  }

  /** A request that the module has let lie or choked on fails; each request gets one answer. */
  private void failRequest(PendingRequest request) {
    if (!request.isFinished) {
      respond(request, RequestLedger.RequestOutcome.FAILED, new ErrorRedisMessage("ERR failed"));
      notifyPolicy(m -> m.clientDisconnected(loop.nowMs(), request.id));
    }
  }

  private void respond(
      PendingRequest request, RequestLedger.RequestOutcome outcome, RedisMessage message) {
    DuplicateRequestHandler.ReplayableResponse replayable =
        request.isKeyLeader ? DuplicateRequestHandler.ReplayableResponse.of(message) : null;
    finish(request, outcome);
    if (request.hasNoClient) {
      ReferenceCountUtil.release(message);
    } else {
      request.slot.respond(message);
    }
    completeFollowers(
        request,
        replayable,
        outcome == RequestLedger.RequestOutcome.SERVED
            || outcome == RequestLedger.RequestOutcome.FAILED && request.mayHaveRun());
    removeWhenSettled(request);
  }

  /** Those that repeat it get its answer. */
  private void completeFollowers(
      PendingRequest request,
      DuplicateRequestHandler.ReplayableResponse answer,
      boolean mayHaveRun) {
    if (request.isKeyLeader) {
      request.isKeyLeader = false;
      idempotencyKeys.leaderFinished(request.id, answer, mayHaveRun);
    }
  }

  private void count(PendingRequest request, RequestLedger.RequestOutcome outcome) {
    if (!request.hasNoClient) {
      request.row.requestEnded(outcome);
      openRequests--;
    }
  }

  private void finish(PendingRequest request, RequestLedger.RequestOutcome outcome) {
    request.isFinished = true;
    count(request, outcome);
    request.slot.setOpenRequest(null);
    request.attempts.forEach(
        upstream::cancelIfQueued); // a connection that comes up later must not carry them
    if (request.attemptsInFlight == 0) {
      request.timer.cancel(false);
    }
  }

  /** Forgets a request once it is over and nothing is out for it. */
  private void removeWhenSettled(PendingRequest request) {
    if (request.isFinished
        && request.attemptsInFlight == 0
        && requests.remove(request.id) != null) {
      request.timer.cancel(false);
      openRequestIds.remove(request.call.requestId());
      bufferedBytes -= request.sizeBytes;
      ReferenceCountUtil.release(request.command);
    }
  }

  // ---- from servers, counter and discovery ----

  @Override
  public void healthCheckEnded(String server, CallOutcome outcome, double took, double[] load) {
    notifyPolicy(m -> m.healthCheckEnded(loop.nowMs(), server, outcome, took, load));
  }

  @Override
  public void callEnded(long name, CallOutcome outcome, double took, double total) {
    notifyPolicy(m -> m.counterCallEnded(loop.nowMs(), name, outcome, took, total));
  }

  /**
   * The pool hears first, so that nothing that still waits for a connection goes to one that
   * drains.
   */
  @Override
  public void endpointsChanged(List<DiscoveredEndpoint> entries, boolean whole) {
    upstream.endpointsChanged(entries);
    List<EndpointInfo> list = new ArrayList<>(entries.size());
    for (DiscoveredEndpoint e : entries) {
      list.add(e.info());
    }
    notifyPolicy(m -> m.endpointsChanged(loop.nowMs(), list, whole));
  }

  @Override
  public void discoveryRefused() {
    discoveryRejectedHandler.run();
  }

  @Override
  public void discoveryFailed() {
    notifyPolicy(m -> m.discoveryFailed(loop.nowMs()));
  }

  @Override
  public void probeEndpoint(String id) {
    upstream.checkReachable(id);
  }

  /** The view of the servers, and how sure it is. */
  MembershipService members() {
    return discovery;
  }

  EdgeEventLoop loop() {
    return loop;
  }

  // ---- from operators ----

  @Override
  public String notReadyReason() {
    return shutdown.isShuttingDown()
        ? "ending"
        : !isReady ? "starting" : shutdown.isAccepting() ? null : "draining";
  }

  @Override
  public String startDrain() {
    shutdown.startDrain(loop.nowMs());
    drainPhase();
    return null;
  }

  @Override
  public String cancelDrain() {
    if (!shutdown.cancelDrain()) {
      return "the process is ending";
    }
    drainPhase();
    return null;
  }

  @Override
  public String telemetryJson() {
    MembershipStats members = discovery.stats();
    int avoided = policy == null ? 0 : policy.ejectedCount(loop.nowMs());
    String state = notReadyReason();
    boolean addsUp = checkFigures(false);
    return TelemetryJson.write(
        ledger,
        openRequestCount(),
        idempotencyKeys == null ? null : idempotencyKeys.figures(),
        idempotencyKeys == null ? null : idempotencyKeys.storeFigures(),
        members,
        members.endpointCount() - members.upCount() + avoided,
        state == null ? "serving" : state,
        addsUp,
        violationCount);
  }

  @Override
  public String customersJson(String after, int limit) {
    return ledger.tracksCustomers() ? TelemetryJson.writeCustomers(ledger, after, limit) : null;
  }

  /** Requests that have not ended, by the tables. */
  private long openRequestCount() {
    return openRequests + (idempotencyKeys == null ? 0 : idempotencyKeys.followerCount());
  }

  /** Holds the figures against each other; what does not add up is told, each kind once. */
  private boolean checkFigures(boolean includesCustomers) {
    List<String> violations = ledger.audit(openRequestCount(), downstream.openRequestCount());
    if (includesCustomers && ledger.tracksCustomers()) {
      violations.addAll(ledger.auditCustomers());
    }
    violationCount += violations.size();
    for (String line : violations) {
      if (reportedViolations.size() < MAX_REPORTED_VIOLATIONS
          && reportedViolations.add(line.substring(0, line.indexOf(':')))) {
        loop.logLine("figures do not add up: " + line);
      }
    }
    return violations.isEmpty();
  }

  /** The node finds a breach itself, and before whoever reads the figures. */
  private void runPeriodicCheck() {
    loop.schedule(CHECK_INTERVAL_MS, this::runPeriodicCheck);
    checkFigures(++runPeriodicCheck % CUSTOMER_CHECK_EVERY == 0);
  }

  RequestLedger ledger() {
    return ledger;
  }

  // ---- actions of the module ----

  @Override
  public void send(long id, String server, double until) {
    PendingRequest request = requests.get(id);
    if (request == null) {
      return;
    }
    // written late, as its connection comes up late, a repeat would find servers that have
    // forgotten the first
    UpstreamAttempt attempt =
        new UpstreamAttempt(
            request,
            request.attempts.size(),
            server,
            loop.nowMs(),
            request.firstWrittenAtMs
                + config.settings().idempotencyWindowMs(request.call.className())
                - config.settings().tickMs());
    request.attempts.add(attempt);
    request.attemptsInFlight++;
    if (attempt.requestedAtMs >= request.deadlineMs
        || attempt.number >= config.settings().capabilities().maxAttempts()
        || !request.isClientWaiting()) {
      attempt.discard();
      loop.execute(
          () ->
              request.attemptEnded(
                  attempt, CallOutcome.NOT_SENT, null, UpstreamConnectionPool.NO_LOAD_REPORT));
      return;
    }
    if (until > 0 && until < request.deadlineMs) {
      loop.schedule(
          until - attempt.requestedAtMs, () -> upstream.abandon(attempt, CallOutcome.TIMEOUT));
    }
    upstream.send(attempt);
  }

  @Override
  public void cancel(long id, int attempt) {
    PendingRequest request = requests.get(id);
    if (request != null && attempt >= 0 && attempt < request.attempts.size()) {
      UpstreamAttempt cancelled = request.attempts.get(attempt);
      loop.execute(() -> upstream.abandon(cancelled, CallOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(long id, double retryAfter) {
    PendingRequest request = requests.get(id);
    if (request != null && !request.isFinished) {
      respond(
          request,
          RequestLedger.RequestOutcome.REJECTED,
          new ErrorRedisMessage(retryAfter > 0 ? "BUSY " + Math.round(retryAfter) : "BUSY"));
    }
  }

  @Override
  public void fail(long id) {
    PendingRequest request = requests.get(id);
    if (request != null && !request.isFinished) {
      respond(request, RequestLedger.RequestOutcome.FAILED, new ErrorRedisMessage("ERR failed"));
    }
  }

  @Override
  public void setTimer(double delay, long token) {
    double due = loop.nowMs() + delay;
    loop.schedule(
        delay,
        () -> {
          // the module keeps one timer for all: lost with an exception, nothing would fall due
          // again
          if (!notifyPolicy(m -> m.timerFired(Math.max(loop.nowMs(), due), token))) {
            setTimer(TIMER_RETRY_MS, token);
          }
        });
  }

  @Override
  public void checkHealth(String server) {
    upstream.checkHealth(server);
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    counter.add(name, amount, keepFor);
  }

  /** The watch stands or is being renewed all the time. */
  @Override
  public void subscribe() {}
}
