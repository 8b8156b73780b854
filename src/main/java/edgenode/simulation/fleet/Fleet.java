package edgenode.simulation.fleet;

import edgenode.node.PolicyFactory;
import edgenode.policy.CallOutcome;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleConsumer;

/**
 * Hollow edge nodes, many in one process, and thin models of all around them, on virtual time: the
 * same shape and seed give the same run. Clients are a Poisson process at each node.
 */
public final class Fleet {
  private static final double START = 1_000_000;

  /** After the last arrival: what is open ends, and views settle. */
  private static final double QUIET = 12_000;

  private static final double ROUND_TRIP = 2 * Assumed.WAY;
  private static final double PERCENT = 0.01;

  /**
   * A customer, with how many nodes it comes through; {@code store}: its true quota's level, when,
   * its rate.
   */
  record Tenant(String name, String plan, double planRate, int spread, double[] store) {}

  private final Shape shape;
  private final PolicyFactory maker;
  private final Agenda agenda = new Agenda(START);
  private final Tally tally = new Tally();
  private final WireForms forms = new WireForms();
  private final CounterModel counter;
  private final AppServer[] servers;
  private final DiscoveryModel[] lists;
  private final ModelNode[] nodes;
  private final BitSet[] used;

  /** By node: its tenants, and the running sum of their rates there (requests a second). */
  private final int[][] tenantsAt;

  private final double[][] ratesAt;
  private final Tenant[] tenants;
  private final SplittableRandom[] draws;
  private final SplittableRandom work;

  /** Sends to warm servers, by list. */
  private final long[] warmSends;

  private final double others;
  private long ids;
  private int lives;
  private double until;
  private double upsetAt = Double.POSITIVE_INFINITY;

  /**
   * @param maker makes the decision module; tests give crooked ones
   */
  public Fleet(Shape shape, PolicyFactory maker) {
    this.shape = shape;
    this.maker = maker;
    int k = shape.detail();
    counter = new CounterModel(agenda, tally, forms, Assumed.COUNTER_PER_NODE * k);
    servers = new AppServer[shape.modelled()];
    lists = new DiscoveryModel[shape.lists()];
    warmSends = new long[lists.length];
    for (int i = 0; i < servers.length; i++) {
      servers[i] = new AppServer(i, i / shape.listed(), "z" + i % Assumed.ZONES);
    }
    DiscoveryModel.Link link = new DiscoveryModel.Link(Assumed.DISCOVERY_PER_NODE * k);
    for (int i = 0; i < lists.length; i++) {
      lists[i] =
          new DiscoveryModel(agenda, tally, link, servers, i * shape.listed(), shape.listed());
    }
    nodes = new ModelNode[k];
    used = new BitSet[k];
    draws = new SplittableRandom[k];
    SplittableRandom seeds = new SplittableRandom(shape.seed());
    work = seeds.split();
    for (int i = 0; i < k; i++) {
      used[i] = new BitSet();
      draws[i] = seeds.split();
    }
    // what nodes that are not run send to the same servers is a part of their speed
    others =
        shape.flat()
            ? Math.min(
                0.95,
                shape.rate()
                    * (1 - shape.part())
                    / shape.servers()
                    * Assumed.WORK
                    / 1000
                    / AppServer.CORES)
            : 0;
    tenants = tenants(seeds.split());
    tenantsAt = new int[k][];
    ratesAt = new double[k][];
    assign();
  }

  // ---- clients ----

  private Tenant[] tenants(SplittableRandom draw) {
    int count = (int) Math.max(1, Math.round(shape.tenants() * shape.part()));
    double[] weight = new double[count];
    double all = 0;
    for (int i = 0; i < count; i++) { // of the whole fleet's ranks those that are homed here
      weight[i] = Math.pow((i + 0.5) / shape.part(), -Assumed.ZIPF);
      all += weight[i];
    }
    Tenant[] made = new Tenant[count];
    // a customer of one node alone needs no counter: where one node is run the other one is not
    int group = Math.max(Math.min(2, shape.nodes()), Math.min(shape.detail(), Shape.GROUP));
    for (int i = 0; i < count; i++) {
      double rate = shape.rate() * shape.part() * weight[i] / all;
      int spread = Math.min(group, Math.max(2, (int) Math.ceil(rate / Assumed.PER_NODE)));
      int step = 0;
      while (step < Assumed.plans() - 1 && Assumed.planRate(step) < 1.5 * rate) {
        step++;
      }
      step = Math.max(0, step - (draw.nextInt(20) == 0 ? 1 : 0));
      made[i] =
          new Tenant(
              String.format("%016x", draw.nextLong() >>> 31),
              "p" + step,
              Assumed.planRate(step),
              spread,
              new double[] {Math.max(4, 2 * Assumed.planRate(step)), START, rate});
    }
    return made;
  }

  private void assign() {
    int k = shape.detail();
    int groups = (k + Shape.GROUP - 1) / Shape.GROUP;
    List<List<double[]>> at = new ArrayList<>();
    for (int i = 0; i < k; i++) {
      at.add(new ArrayList<>());
    }
    SplittableRandom draw = new SplittableRandom(shape.seed() + 1);
    for (int t = 0; t < tenants.length; t++) {
      int first = t % groups * Shape.GROUP;
      int size = Math.min(Shape.GROUP, k - first);
      int spread = Math.min(size, tenants[t].spread);
      int from = draw.nextInt(size);
      for (int j = 0; j < spread; j++) {
        at.get(first + (from + j) % size).add(new double[] {t, tenants[t].store[2] / spread});
      }
    }
    for (int i = 0; i < k; i++) {
      tenantsAt[i] = new int[at.get(i).size()];
      ratesAt[i] = new double[at.get(i).size()];
      double sum = 0;
      for (int j = 0; j < tenantsAt[i].length; j++) {
        tenantsAt[i][j] = (int) at.get(i).get(j)[0];
        sum += at.get(i).get(j)[1];
        ratesAt[i][j] = sum;
      }
    }
  }

  private void nextArrival(int place) {
    double[] rates = ratesAt[place];
    if (rates.length == 0) {
      return;
    }
    double wait = -Math.log(1 - draws[place].nextDouble()) / rates[rates.length - 1] * 1000;
    if (agenda.now() + wait < until) {
      agenda.after(
          wait,
          () -> {
            arrive(place);
            nextArrival(place);
          });
    }
  }

  private void arrive(int place) {
    double[] rates = ratesAt[place];
    SplittableRandom draw = draws[place];
    int at = java.util.Arrays.binarySearch(rates, draw.nextDouble() * rates[rates.length - 1]);
    Tenant tenant = tenants[tenantsAt[place][Math.min(rates.length - 1, at < 0 ? -at - 1 : at)]];
    boolean keyed = draw.nextInt(5) == 0;
    ModelNode node = nodes[place];
    if (!node.dead() && node.ready()) { // else its clients have gone elsewhere
      node.arrived(node.settings().requestClasses().get(keyed ? 1 : 0), tenant);
    }
  }

  /** A unit of a customer's is sent on: within its quota over all nodes, or beyond. */
  void sentUnit(Tenant tenant) {
    double[] store = tenant.store;
    double now = agenda.now();
    store[0] =
        Math.min(
            Math.max(4, 2 * tenant.planRate), store[0] + tenant.planRate * (now - store[1]) / 1000);
    store[1] = now;
    tally.units++;
    if (store[0] >= 1) {
      store[0]--;
    } else {
      tally.beyond++;
    }
  }

  // ---- app servers ----

  /** Brings an attempt to its server and its end back, in virtual time. */
  void serve(ModelNode node, ModelNode.Attempt a) {
    AppServer s = a.server;
    double now = agenda.now();
    if (!s.up) {
      boolean refused = !s.silent;
      tally.noConnection++;
      agenda.at(
          Math.min(a.request.deadline, now + (refused ? ROUND_TRIP : Assumed.CONNECT)),
          () -> {
            node.ended(a, CallOutcome.NO_CONNECTION);
            node.unreachable(s, refused);
          });
      return;
    }
    boolean cold = s.bornAt > 0 && now - s.bornAt < Assumed.WARM_MS;
    s.coldSends += cold ? 1 : 0;
    warmSends[s.list] += cold ? 0 : 1;
    double speed = s.speed(now, Assumed.COLD_SHARE, Assumed.WARM_MS) * (1 - others);
    double needs = -Math.log(1 - work.nextDouble()) * Assumed.WORK;
    double done = s.offer(now + Assumed.WAY, needs, Assumed.WORK, speed);
    if (Double.isNaN(done)) {
      tally.full++;
      agenda.after(ROUND_TRIP, () -> node.ended(a, CallOutcome.FULL));
      return;
    }
    agenda.at(
        Math.min(done + Assumed.WAY, a.request.deadline),
        () -> {
          if (s.life != a.life && !s.silent) {
            tally.resets++;
            node.ended(a, CallOutcome.RESET);
          } else if (s.life != a.life || done + Assumed.WAY > a.request.deadline) {
            tally.timeouts++;
            agenda.at(a.request.deadline, () -> node.ended(a, CallOutcome.TIMEOUT));
          } else {
            node.ended(a, CallOutcome.OK);
          }
        });
  }

  /**
   * It goes: told as leaving first where that is planned, found dead a while later where it is not.
   */
  private void fall(AppServer s, boolean planned, boolean machine, double away) {
    if (!s.up || s.health != AppServer.Health.ACTIVE) {
      return;
    }
    int life = s.life + 1;
    if (planned) {
      health(s, AppServer.Health.LEAVING);
      agenda.after(1000, () -> die(s, false));
    } else {
      die(s, machine);
      agenda.after(
          Assumed.DETECTED,
          () -> {
            if (s.life == life && !s.up) {
              health(s, AppServer.Health.LEFT);
            }
          });
    }
    agenda.after(away, () -> back(s));
  }

  private void die(AppServer s, boolean machine) {
    if (s.up) {
      s.die(machine);
    }
  }

  private void back(AppServer s) {
    if (s.up) {
      return;
    }
    s.back(agenda.now(), warmSends[s.list]);
    health(s, AppServer.Health.ACTIVE);
    int life = s.life;
    agenda.after(
        Assumed.WARM_MS,
        () -> {
          if (s.up && s.life == life && agenda.now() < until) {
            warmed(s);
          }
        });
  }

  /**
   * What all nodes together may send a cold server: its part of what warm ones got, scaled to what
   * it could do. Where nodes are told wrong lists or start anew, they see other warm servers than
   * there are, and nothing is judged.
   */
  private void warmed(AppServer s) {
    DiscoveryModel list = lists[s.list];
    int warm = 0;
    for (int i = list.from(); i < list.from() + list.size(); i++) {
      warm += servers[i].up && agenda.now() - servers[i].bornAt > Assumed.WARM_MS ? 1 : 0;
    }
    if (agenda.now() > upsetAt) {
      tally.coldUnjudged++;
      return;
    }
    double each = (double) (warmSends[s.list] - s.listSendsAtBirth) / Math.max(1, warm);
    double most = Math.max(1, Assumed.settings(0, 1, "").rules().overloadFactor() / 2);
    tally.cold.add(
        new Tally.Cold(s.index, s.coldSends, each * most * (1 + Assumed.COLD_SHARE) / 2));
  }

  private void health(AppServer s, AppServer.Health health) {
    s.health = health;
    lists[s.list].changed(s);
  }

  // ---- the day ----

  private void start(int place, boolean known) {
    int me = (int) ((long) place * shape.nodes() / shape.detail());
    ModelNode node =
        new ModelNode(
            this,
            place,
            lists[place % lists.length],
            Assumed.settings(me, shape.nodes(), "z" + place % Assumed.ZONES),
            maker,
            shape.seed() * 31 + lives++);
    nodes[place] = node;
    node.start(known);
  }

  private void restart(int place) {
    if (!nodes[place].dead()) {
      used[place].or(nodes[place].used());
      nodes[place].kill();
      tally.nodeRestarts++;
      agenda.after(1000, () -> start(place, false));
    }
  }

  private void beat() {
    agenda.after(
        Assumed.BEAT,
        () -> {
          for (ModelNode node : nodes) {
            node.heard();
          }
          beat();
        });
  }

  private void during(SplittableRandom draw, double expected, Runnable what) {
    long count = (long) expected + (draw.nextDouble() < expected - Math.floor(expected) ? 1 : 0);
    double length = until - START;
    for (long i = 0; i < count; i++) { // those that begin late would end in the quiet time
      agenda.at(START + length * (0.02 + 0.9 * draw.nextDouble()), what);
    }
  }

  private AppServer any(SplittableRandom draw) {
    return servers[draw.nextInt(servers.length)];
  }

  private void churn(SplittableRandom draw) {
    double part = shape.serverPart() * shape.servers() / Assumed.ALL_MACHINES * shape.hours() / 24;
    double nodePart = (double) shape.detail() / Assumed.ALL_MACHINES * shape.hours() / 24;
    during(draw, Assumed.RESTARTS * part, () -> fall(any(draw), true, false, 3000));
    during(draw, Assumed.FAILURES * part, () -> fall(any(draw), false, true, 5000));
    during(
        draw,
        Assumed.CHANGES * part,
        () -> {
          AppServer s = any(draw);
          if (s.health == AppServer.Health.ACTIVE) {
            lists[s.list].changed(s);
          }
        });
    during(
        draw,
        (Assumed.RESTARTS + Assumed.FAILURES) * nodePart,
        () -> restart(draw.nextInt(nodes.length)));
  }

  private void at(double share, Runnable what) {
    agenda.at(START + share * (until - START), what);
  }

  private void incidents() {
    double length = until - START;
    at(0.08, () -> lose(0, Assumed.RACK, 0.06 * length));
    at(0.22, () -> lose(1, servers.length, 0.1 * length));
    upsetAt = START + 0.48 * length;
    at(0.48, () -> each(list -> list.tellWrong(0, 0)));
    at(0.51, () -> each(DiscoveryModel::tellRight));
    at(0.54, () -> each(list -> list.tellWrong(0.3, 0)));
    at(0.56, () -> each(DiscoveryModel::tellRight));
    at(0.58, () -> each(list -> list.tellWrong(1, 5)));
    at(0.64, () -> cut(true));
    at(0.70, () -> cut(false));
    at(0.73, () -> counter.away(true));
    at(0.76, () -> counter.away(false));
    for (int i = 0; i < nodes.length; i++) {
      int place = i;
      at(0.80 + 0.1 * i / nodes.length, () -> restart(place));
    }
  }

  private void each(java.util.function.Consumer<DiscoveryModel> what) {
    for (DiscoveryModel list : lists) {
      what.accept(list);
    }
  }

  /** So many servers of a zone, or all of it, lose their power. */
  private void lose(int zone, int most, double away) {
    int gone = 0;
    for (int i = zone; i < servers.length && gone < most; i += Assumed.ZONES) {
      gone++;
      fall(servers[i], false, true, away);
    }
  }

  private void cut(boolean on) {
    for (int i = 0; i < nodes.length; i++) {
      if (i % Assumed.REGIONS == 0 && !nodes[i].dead()) {
        nodes[i].cut(on);
      }
    }
  }

  // ---- the run ----

  /**
   * Runs it all.
   *
   * @param progress is told now and then which share (0 to 1) of the virtual time is over
   * @param weigh whether the cores' state is measured, by what of the heap is free without it
   */
  public Tally run(DoubleConsumer progress, boolean weigh) {
    until = START + shape.seconds() * 1000.0;
    for (int i = 0; i < nodes.length; i++) {
      start(i, true);
      nextArrival(i);
    }
    beat();
    SplittableRandom draw = new SplittableRandom(shape.seed() + 2);
    churn(draw);
    if (shape.incidents()) {
      incidents();
    }
    double end = until + QUIET;
    for (double told = START; told < end; ) {
      double next = Math.min(end, told + PERCENT * (end - START));
      while (agenda.step(next)) {
        tally.events++;
      }
      told = next;
      progress.accept((told - START) / (end - START));
    }
    close(weigh);
    return tally;
  }

  private void close(boolean weigh) {
    for (int i = 0; i < nodes.length; i++) {
      nodes[i].close();
      used[i].or(nodes[i].used());
      tally.usedServers += (double) used[i].cardinality() / nodes.length;
      tally.listEntries += (double) lists[i % lists.length].size() / nodes.length;
    }
    tally.nodeSeconds = (long) shape.seconds() * nodes.length;
    each(DiscoveryModel::whole);
    if (weigh) {
      agenda.clear();
      long before = heap();
      for (ModelNode node : nodes) {
        node.dropCores();
      }
      tally.stateBytes = Math.max(0, before - heap()) / nodes.length;
    }
    forms.close();
  }

  private static long heap() {
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) {
      System.gc();
      least =
          Math.min(least, Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
    }
    return least;
  }

  // ---- for the nodes ----

  Agenda agenda() {
    return agenda;
  }

  Tally tally() {
    return tally;
  }

  CounterModel counter() {
    return counter;
  }

  AppServer server(int index) {
    return servers[index];
  }

  long nextId() {
    return ++ids;
  }

  /** For tests of the judges. */
  DiscoveryModel list(int i) {
    return lists[i];
  }

  void passed(int place, int kind, long id, long what) {
    tally.passed(
        Double.doubleToLongBits(agenda.now())
            ^ ((long) place << 48)
            ^ ((long) kind << 40)
            ^ id * 31
            ^ Long.rotateLeft(what, 20));
  }
}
