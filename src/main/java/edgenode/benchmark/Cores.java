package edgenode.benchmark;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.Membership;
import edgenode.membership.MembershipLimits;
import edgenode.net.discovery.EndpointListJson;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The cores against what they hold: servers and customers. */
final class Cores {
  /** The nodes of the target: they set how many calls a node has. */
  static final int NODES = 5500;

  /** Requests that are out at once; the target's node has some 12: 582 requests/s of 20 ms. */
  private static final int DEPTH = 12;

  private static final double WARM = 18_000;
  private static final int ZONES = 10;

  /** Each of them waits through a walk of all: making them wait costs the square. */
  private static final int MOST_HELD = 3000;

  private Cores() {}

  // ---- Decide against servers ----

  static void decideServers(Run run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.slope(
        "a request, arrived to ended",
        "us",
        "servers",
        sizes,
        n -> run.meter().time(n, request(n)));
    run.slope(
        "a change of one server", "us", "servers", sizes, n -> run.meter().time(n, change(n)));
    run.slope(
        "an edge, four a second",
        "us",
        "servers",
        sizes,
        n -> {
          Instance i = listed(n);
          return run.meter().time(n, i::edges);
        });
    run.slope(
        "a whole list",
        "us",
        "servers",
        sizes,
        n -> {
          Instance i = listed(n);
          List<EndpointInfo> all = Instance.servers(n);
          return run.meter()
              .time(
                  n,
                  times -> {
                    for (int k = 0; k < times; k++) {
                      i.servers(all, true);
                    }
                  });
        });
    run.slope(
        "heap, beside the list's own entries",
        "B",
        "servers",
        sizes,
        n ->
            Meter.heap(
                n,
                () -> Instance.servers(n),
                all -> {
                  Instance i = new Instance(NODES, false, false);
                  i.servers(all, true);
                  return i;
                }));
  }

  private static Instance listed(int n) {
    Instance i = new Instance(NODES, false, false);
    i.servers(Instance.servers(n), true);
    i.unpaced();
    return i;
  }

  private static Meter.Work request(int n) {
    Instance i = listed(n);
    return new Meter.Work() {
      @Override
      public void prepare() {
        i.quiet();
        i.edges(9); // the timers of those before are over
        i.requests(DEPTH, DEPTH);
      }

      @Override
      public void run(int times) {
        i.requests(times, DEPTH);
      }
    };
  }

  private static Meter.Work change(int n) {
    Instance i = listed(n);
    return new Meter.Work() {
      private int next;

      @Override
      public void run(int times) {
        for (int k = 0; k < times; k++) {
          int at = next / 2 % n;
          i.servers(
              List.of(
                  Instance.server(at, next++ % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP)),
              false);
        }
      }
    };
  }

  // ---- Decide against customers ----

  static void decideCustomers(Run run) throws InterruptedException {
    int[] sizes = run.sizes().customers();
    run.slope(
        "a request, customers in turn",
        "us",
        "customers",
        sizes,
        c -> {
          Instance i = busy();
          return run.meter()
              .time(
                  c,
                  new Meter.Work() {
                    private int next;

                    @Override
                    public void prepare() {
                      i.quiet();
                      i.edges(9);
                    }

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        i.request("wide", "c" + next++ % c, 3, false, DEPTH);
                        i.step(1e-3);
                      }
                    }
                  });
        });
    run.slope(
        "an edge, all customers active",
        "us",
        "customers",
        sizes,
        c -> {
          Instance i = busy();
          return run.meter()
              .time(
                  c,
                  new Meter.Work() {
                    @Override
                    public void prepare() {
                      for (int k = 0; k < c; k++) {
                        i.request("wide", "c" + k, 3, false, 0);
                      }
                    }

                    @Override
                    public void run(int times) {
                      i.edges(times);
                    }

                    @Override
                    public int most() {
                      return 1; // idle ones are active no more
                    }
                  });
        });
    run.slope(
        "a request while others are held",
        "us",
        "customers held",
        Arrays.stream(sizes)
            .map(c -> Math.min(MOST_HELD, Math.max(1, c / 10)))
            .distinct()
            .toArray(),
        c -> run.meter().time(c, held(c)));
    run.slope(
        "heap",
        "B",
        "customers",
        sizes,
        c ->
            Meter.heap(
                c,
                Cores::busy,
                i -> {
                  for (int k = 0; k < c; k++) {
                    i.request("wide", "c" + k, 3, false, 0);
                    if (k % Math.max(1, c / 20)
                        == 0) { // within the time after which idle ones are forgotten
                      i.edges(1);
                    }
                  }
                  i.edges(9);
                  return i;
                }));
  }

  private static Instance busy() {
    Instance i = new Instance(NODES, true, true);
    i.servers(Instance.servers(40), true);
    i.unpaced();
    return i;
  }

  /** So many customers wait, with no call to be had and no belief for a try that comes again. */
  private static Meter.Work held(int customers) {
    Instance i = new Instance(NODES, true, false);
    i.servers(Instance.servers(40), true);
    i.unpaced();
    return new Meter.Work() {
      @Override
      public void prepare() {
        i.quiet();
        i.edges(9);
        i.requests(DEPTH, DEPTH);
        for (int k = 0; k < customers; k++) {
          i.request("rate", "c" + k, 3, true, DEPTH);
        }
      }

      @Override
      public void run(int times) {
        i.requests(times, DEPTH);
      }
    };
  }

  // ---- Membership ----

  static DiscoveredEndpoint entry(int i, EndpointState state) {
    return new DiscoveredEndpoint(
        Instance.server(i, state),
        "10." + (i >> 16) + "." + (i >> 8 & 255) + "." + (i & 255) + ":6379");
  }

  private static List<DiscoveredEndpoint> entries(int n) {
    List<DiscoveredEndpoint> all = new ArrayList<>(n);
    for (int i = 0; i < n; i++) {
      all.add(entry(i, EndpointState.UP));
    }
    return all;
  }

  private static Membership told(List<DiscoveredEndpoint> all) {
    Membership core = new Membership(MembershipLimits.defaults(WARM), "a");
    core.endpointsReceived(Instance.START, "a", 1, true, all);
    return core;
  }

  static void membership(Run run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.slope(
        "a change of one server",
        "us",
        "servers",
        sizes,
        n -> {
          Membership core = told(entries(n));
          return run.meter()
              .time(
                  n,
                  new Meter.Work() {
                    private long seq = 1;

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        int at = (int) (seq / 2 % n);
                        core.endpointsReceived(
                            Instance.START + 200 * seq,
                            "a",
                            ++seq,
                            false,
                            List.of(
                                entry(
                                    at, seq % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP)));
                      }
                    }
                  });
        });
    run.slope(
        "a whole list, one server changed",
        "us",
        "servers",
        sizes,
        n -> {
          List<DiscoveredEndpoint> all = entries(n);
          Membership core = told(all);
          return run.meter()
              .time(
                  n,
                  new Meter.Work() {
                    private long seq = 1;

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        int at = (int) (seq / 2 % n);
                        all.set(
                            at,
                            entry(at, seq % 2 == 1 ? EndpointState.DRAINING : EndpointState.UP));
                        core.endpointsReceived(Instance.START + 200 * seq, "a", ++seq, true, all);
                      }
                    }
                  });
        });
    run.slope(
        "a zone's loss: a tenth of all gone in one message, to Decide",
        "us",
        "servers",
        sizes,
        n -> run.meter().time(n, zone(n)));
    run.slope(
        "heap, with the list's entries",
        "B",
        "servers",
        sizes,
        n -> Meter.heap(n, () -> n, of -> told(parsed(of))));
  }

  /** As they come: strings of their own, not shared ones. */
  private static List<DiscoveredEndpoint> parsed(int n) {
    byte[] text = list(n, n, true).getBytes(StandardCharsets.US_ASCII);
    try {
      return EndpointListJson.parse(text, text.length, bad -> {}).endpoints();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static Meter.Work zone(int n) {
    List<DiscoveredEndpoint> all = entries(n);
    List<DiscoveredEndpoint> gone = new ArrayList<>();
    for (int i = 0; i < n; i += ZONES) {
      gone.add(entry(i, EndpointState.REMOVED));
    }
    return new Meter.Work() {
      private Membership core;
      private Instance module;

      @Override
      public void prepare() {
        core = told(all);
        module = new Instance(NODES, false, false);
        module.servers(all.stream().map(DiscoveredEndpoint::info).toList(), true);
      }

      @Override
      public void run(int times) {
        List<DiscoveredEndpoint> changes =
            core.endpointsReceived(Instance.START + 1, "a", 2, false, gone).endpoints();
        module.servers(changes.stream().map(DiscoveredEndpoint::info).toList(), false);
      }

      @Override
      public int most() {
        return 1;
      }
    };
  }

  /** A list in discovery's form. */
  static String list(int n, long seq, boolean whole) {
    StringBuilder all = new StringBuilder(160 * n + 64);
    all.append("{\"seq\":").append(seq).append(",\"whole\":").append(whole).append(",\"hosts\":[");
    for (int i = 0; i < n; i++) {
      all.append(i > 0 ? "," : "").append(host(i).json());
    }
    return all.append("]}\n").toString();
  }

  static DiscoveryAgentEmulator.Host host(int i) {
    DiscoveredEndpoint e = entry(i, EndpointState.UP);
    return new DiscoveryAgentEmulator.Host(
        e.info().id(), e.address(), "active", 0, e.info().zone(), e.info().cell());
  }
}
