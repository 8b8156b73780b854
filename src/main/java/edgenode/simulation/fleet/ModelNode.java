package edgenode.simulation.fleet;

import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.membership.MembershipUpdate;
import edgenode.node.PolicyFactory;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import edgenode.policy.RequestClass;
import io.netty.util.collection.LongObjectHashMap;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;

/**
 * An edge node without its sockets, from its start to its end: the decision module and the
 * membership core as {@code Node} and {@code MembershipService} host them, on virtual time. It
 * counts and decides nothing.
 */
final class ModelNode implements PolicyActions {
  private static final double[] NO_LOAD = new double[0];

  /** Between tries of a server that is dead or held (ms), as {@code MembershipService} has it. */
  private static final double TRY = 250;

  /** One event in so many is timed. */
  private static final int SAMPLED = 8;

  private static final String SPACE = "discovery";

  /** A request, from its arrival to the end of its last attempt. */
  static final class Open {
    final long id;
    final Fleet.Tenant tenant;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>(1);
    private int out;
    private boolean over;

    Open(long id, Fleet.Tenant tenant, double deadline) {
      this.id = id;
      this.tenant = tenant;
      this.deadline = deadline;
    }
  }

  static final class Attempt {
    final Open request;
    final int number;
    final AppServer server;
    final int life;
    final double sent;
    private boolean ended;

    Attempt(Open request, AppServer server, double sent) {
      this.request = request;
      this.server = server;
      this.sent = sent;
      number = request.attempts.size();
      life = server.life;
    }
  }

  final int place;
  private final Fleet fleet;
  private final Agenda agenda;
  private final Tally tally;
  private final DiscoveryModel discovery;
  private final PolicySettings settings;
  private PolicyEvents module;
  private Membership members;
  private final LongObjectHashMap<Open> open = new LongObjectHashMap<>();

  /**
   * By place on the list: shown as up; ever sent to; when last; which change was last seen in
   * force.
   */
  private final BitSet shownUp;

  private final BitSet used;
  private final float[] lastUsed;
  private final int[] seen;
  private boolean dead;
  private boolean ready;
  private boolean cut;
  private boolean trying;
  private double timerAt = Double.POSITIVE_INFINITY;

  ModelNode(
      Fleet fleet,
      int place,
      DiscoveryModel discovery,
      PolicySettings settings,
      PolicyFactory maker,
      long seed) {
    this.fleet = fleet;
    this.place = place;
    this.discovery = discovery;
    this.settings = settings;
    agenda = fleet.agenda();
    tally = fleet.tally();
    shownUp = new BitSet(discovery.size());
    used = new BitSet(discovery.size());
    lastUsed = new float[discovery.size()];
    seen = new int[discovery.size()];
    java.util.Arrays.fill(lastUsed, Float.NEGATIVE_INFINITY);
    members = new Membership(MembershipLimits.defaults(settings.rules().warmUpMs()), SPACE);
    long from = Tally.cpu();
    module = maker.create(settings, seed, agenda.now(), this);
    tally.cpuNs += Tally.cpu() - from;
  }

  /** Begins with a list that was known before, as after a deployment, or with none. */
  void start(boolean known) {
    if (known) {
      WireForms.Listed list = discovery.whole();
      long from = Tally.cpu();
      MembershipUpdate changes = members.loadInitialList(agenda.now(), list.seq(), list.entries());
      tally.memberNs += Tally.cpu() - from;
      ready = true;
      apply(changes);
    }
    discovery.watch(this, members.resumeVersion());
  }

  /** The process is killed: nothing of it speaks any more. */
  void kill() {
    dead = true;
    discovery.unwatch(this);
    for (Open o : open.values()) { // what should have been answered long ago did not die with it
      boolean late = agenda.now() > o.deadline + settings.rules().answerGraceMs();
      tally.unanswered += !o.over && late ? 1 : 0;
      tally.lost += o.over || late ? 0 : 1;
    }
    open.clear();
  }

  /** Neither discovery nor the counter can be reached. */
  void cut(boolean on) {
    cut = on;
    if (on) {
      discovery.unwatch(this);
    } else {
      discovery.watch(this, members.resumeVersion());
    }
  }

  boolean ready() {
    return ready;
  }

  boolean dead() {
    return dead;
  }

  BitSet used() {
    return used;
  }

  PolicySettings settings() {
    return settings;
  }

  /** Lets the cores go, so that what they held can be weighed. */
  void dropCores() {
    module = null;
    members = null;
  }

  /** Requests that have no answer, and servers that are shown otherwise than discovery has them. */
  void close() {
    for (Open o : open.values()) {
      tally.unanswered += o.over ? 0 : 1;
    }
    open.clear();
    for (int i = 0; i < discovery.size(); i++) {
      boolean there = fleet.server(discovery.from() + i).health == AppServer.Health.ACTIVE;
      tally.differing += there == shownUp.get(i) ? 0 : 1;
    }
  }

  /**
   * The thread's CPU, as a busy machine would count the waits too; not at each event, as asking is
   * dear itself.
   */
  private void tell(Runnable event) {
    if (tally.decided++ % SAMPLED != 0) {
      event.run();
      return;
    }
    long from = Tally.cpu();
    event.run();
    tally.cpuNs += SAMPLED * (Tally.cpu() - from);
  }

  private void tellServers(List<EndpointInfo> list, boolean whole) {
    double now = agenda.now();
    long from = Tally.cpu();
    module.endpointsChanged(now, list, whole);
    tally.cpuNs += Tally.cpu() - from;
  }

  // ---- from clients ----

  void arrived(RequestClass type, Fleet.Tenant tenant) {
    long id = fleet.nextId();
    tally.arrived++;
    double now = agenda.now();
    open.put(id, new Open(id, tenant, now + type.deadlineMs()));
    tell(
        () ->
            module.requestArrived(
                now,
                new IncomingRequest(
                    id,
                    type.name(),
                    tenant.plan(),
                    tenant.name(),
                    type.deadlineMs(),
                    1,
                    tenant.spread(),
                    0,
                    false)));
  }

  // ---- from app servers ----

  /** An attempt has ended, if its node still lives and nothing has ended it before. */
  void ended(Attempt a, CallOutcome outcome) {
    if (dead || a.ended) {
      return;
    }
    a.ended = true;
    Open o = a.request;
    o.out--;
    if (outcome == CallOutcome.OK && !o.over) {
      o.over = true;
      tally.served++;
    }
    double now = agenda.now();
    fleet.passed(place, 2, o.id, outcome.ordinal());
    tell(() -> module.attemptEnded(now, o.id, a.number, outcome, now - a.sent, o.over, 0, NO_LOAD));
    settle(o);
    if (outcome == CallOutcome.OK) {
      MembershipUpdate changes = members.responded(now, "s" + a.server.index);
      if (changes != MembershipUpdate.NONE) { // as with nearly every answer
        apply(changes);
      }
    }
  }

  private void settle(Open o) {
    if (o.over && o.out == 0) {
      open.remove(o.id);
    }
  }

  void unreachable(AppServer server, boolean refused) {
    if (!dead) {
      member(() -> members.connectFailed(agenda.now(), "s" + server.index, refused, 0));
    }
  }

  // ---- from the counter ----

  void counted(long name, CallOutcome outcome, double sent, double total) {
    if (!dead) {
      double now = agenda.now();
      tell(() -> module.counterCallEnded(now, name, outcome, now - sent, total));
    }
  }

  // ---- from discovery ----

  /** A list or change has come. */
  void listed(WireForms.Listed message) {
    if (dead || cut) {
      return;
    }
    if (message.whole()) {
      tally.wholeLists++;
      tally.wholeBytes += message.bytes();
    } else {
      tally.changeMessages++;
      tally.changeBytes += message.bytes();
      tally.changes += message.entries().size();
    }
    if (!ready) { // what changed before it came is not late here
      ready = true;
      for (int i = 0; i < seen.length; i++) {
        seen[i] = fleet.server(discovery.from() + i).changes;
      }
    }
    member(
        () ->
            members.endpointsReceived(
                agenda.now(), SPACE, message.seq(), message.whole(), message.entries()));
    for (DiscoveredEndpoint e : message.entries()) {
      inForce(index(e.info().id()));
    }
  }

  /** Nothing has changed. */
  void heard() {
    if (!dead && !cut) {
      tally.beatBytes += Assumed.BEAT_BYTES;
      member(() -> members.sourceConfirmed(agenda.now(), SPACE));
    }
  }

  private void member(java.util.function.Supplier<MembershipUpdate> event) {
    long from = Tally.cpu();
    MembershipUpdate changes = event.get();
    tally.memberNs += Tally.cpu() - from;
    apply(changes);
  }

  private static int index(String id) {
    return Integer.parseInt(id, 1, id.length(), 10);
  }

  private void apply(MembershipUpdate changes) {
    if (!changes.endpoints().isEmpty()) {
      List<EndpointInfo> list = new ArrayList<>(changes.endpoints().size());
      for (DiscoveredEndpoint e : changes.endpoints()) {
        list.add(e.info());
        int index = index(e.info().id());
        shownUp.set(index - discovery.from(), e.info().state() == EndpointState.UP);
        inForce(index);
      }
      tellServers(list, changes.isComplete());
    }
    if (changes.mustResync()) {
      discovery.askAnew(this);
    }
    tryOut();
    arm();
  }

  /** Whether the last change of a server is in force here, and how long that took. */
  private void inForce(int index) {
    AppServer s = fleet.server(index);
    int at = index - discovery.from();
    if (s.changes > seen[at] && shownUp.get(at) == (s.health == AppServer.Health.ACTIVE)) {
      seen[at] = s.changes;
      if (s.changedAt > 0) {
        tally.applied.recordValue(Math.max(0, Math.round((agenda.now() - s.changedAt) * 1000)));
      }
    }
  }

  private void tryOut() {
    if (trying || members.endpointsToProbe().isEmpty()) {
      return;
    }
    trying = true;
    agenda.after(
        TRY,
        () -> {
          trying = false;
          if (dead) {
            return;
          }
          Collection<String> all = new ArrayList<>(members.endpointsToProbe());
          tally.tries += all.size();
          for (String id : all) {
            AppServer s = fleet.server(index(id));
            agenda.after(
                s.up ? 2 * Assumed.WAY : s.silent ? Assumed.CONNECT : 2 * Assumed.WAY,
                () -> tried(s));
          }
          tryOut();
        });
  }

  private void tried(AppServer s) {
    if (!dead) {
      if (s.up) {
        member(() -> members.connected(agenda.now(), "s" + s.index));
      } else {
        member(() -> members.connectFailed(agenda.now(), "s" + s.index, !s.silent, 0));
      }
    }
  }

  /** One timer for what time alone changes. */
  private void arm() {
    double at = members.nextTickMs();
    if (at >= timerAt || at == Double.POSITIVE_INFINITY) {
      return;
    }
    timerAt = at;
    agenda.at(
        Math.max(agenda.now() + 1, at),
        () -> {
          if (!dead && timerAt == at) {
            timerAt = Double.POSITIVE_INFINITY;
            member(() -> members.tick(agenda.now()));
          }
        });
  }

  // ---- actions of the module ----

  @Override
  public void send(long id, String server, double until) {
    int index = index(server);
    int at = index - discovery.from();
    tally.sends++;
    fleet.passed(place, 1, id, index);
    boolean known = at >= 0 && at < discovery.size();
    tally.sendsToDown += known && shownUp.get(at) ? 0 : 1;
    Open o = open.get(id);
    if (o == null || o.over || !known) {
      tally.sendsAfterEnd += known ? 1 : 0;
      return;
    }
    double now = agenda.now();
    tally.connects += now - lastUsed[at] > Assumed.KEEP_ALIVE ? 1 : 0;
    lastUsed[at] = (float) now;
    used.set(at);
    Attempt a = new Attempt(o, fleet.server(index), now);
    if (o.attempts.isEmpty()) {
      fleet.sentUnit(o.tenant);
    }
    o.attempts.add(a);
    o.out++;
    if (now >= o.deadline || a.number >= settings.capabilities().maxAttempts()) {
      agenda.after(0, () -> ended(a, CallOutcome.NOT_SENT));
      return;
    }
    fleet.serve(this, a);
  }

  @Override
  public void cancel(long id, int attempt) {
    Open o = open.get(id);
    if (o != null && attempt >= 0 && attempt < o.attempts.size()) {
      Attempt a = o.attempts.get(attempt);
      agenda.after(0, () -> ended(a, CallOutcome.CANCELLED));
    }
  }

  @Override
  public void reject(long id, double retryAfter) {
    tally.refused += answered(id, 3) ? 1 : 0;
  }

  @Override
  public void fail(long id) {
    tally.failed += answered(id, 4) ? 1 : 0;
  }

  private boolean answered(long id, int how) {
    Open o = open.get(id);
    if (o == null || o.over) {
      tally.second++;
      return false;
    }
    fleet.passed(place, how, id, 0);
    o.over = true;
    if (o.out == 0) {
      agenda.after(0, () -> settle(o)); // the module is within its own event
    }
    return true;
  }

  @Override
  public void setTimer(double delay, long token) {
    double due = agenda.now() + delay;
    agenda.at(
        due,
        () -> {
          if (!dead) {
            tell(() -> module.timerFired(Math.max(agenda.now(), due), token));
          }
        });
  }

  @Override
  public void checkHealth(String server) {
    double now = agenda.now();
    agenda.after(
        2 * Assumed.WAY,
        () -> {
          if (!dead) {
            tell(
                () ->
                    module.healthCheckEnded(
                        agenda.now(), server, CallOutcome.OK, agenda.now() - now, NO_LOAD));
          }
        });
  }

  @Override
  public void addToCounter(long name, double amount, double keepFor) {
    fleet.passed(place, 5, name, Double.doubleToLongBits(amount));
    fleet.counter().add(this, name, amount, keepFor, cut);
  }

  /** The watch stands or is being renewed all the time. */
  @Override
  public void subscribe() {}
}
