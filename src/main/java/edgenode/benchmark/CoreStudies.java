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
final class CoreStudies {
  /** The nodes of the target: they set how many calls a node has. */
  static final int NODES = 5500;

  /** Requests that are out at once; the target's node has some 12: 582 requests/s of 20 ms. */
  private static final int IN_FLIGHT = 12;

  private static final double WARM_UP_MS = 18_000;
  private static final int ZONES = 10;

  /** Each of them waits through a walk of all: making them wait costs the square. */
  private static final int MAX_QUEUED_CUSTOMERS = 3000;

  private CoreStudies() {}

  // ---- Decide against servers ----

  static void decideServers(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.measure(
        "a request, arrived to ended",
        "us",
        "servers",
        sizes,
        size -> run.meter().time(size, request(size)));
    run.measure(
        "a change of one server",
        "us",
        "servers",
        sizes,
        size -> run.meter().time(size, change(size)));
    run.measure(
        "an edge, four a second",
        "us",
        "servers",
        sizes,
        size -> {
          PolicyHarness harness = withServers(size);
          return run.meter().time(size, harness::ticks);
        });
    run.measure(
        "a whole list",
        "us",
        "servers",
        sizes,
        size -> {
          PolicyHarness harness = withServers(size);
          List<EndpointInfo> endpoints = PolicyHarness.endpointsChanged(size);
          return run.meter()
              .time(
                  size,
                  times -> {
                    for (int k = 0; k < times; k++) {
                      harness.endpointsChanged(endpoints, true);
                    }
                  });
        });
    run.measure(
        "heap, beside the list's own entries",
        "B",
        "servers",
        sizes,
        size ->
            CpuMeter.heap(
                size,
                () -> PolicyHarness.endpointsChanged(size),
                endpoints -> {
                  PolicyHarness harness = new PolicyHarness(NODES, false, false);
                  harness.endpointsChanged(endpoints, true);
                  return harness;
                }));
  }

  private static PolicyHarness withServers(int servers) {
    PolicyHarness harness = new PolicyHarness(NODES, false, false);
    harness.endpointsChanged(PolicyHarness.endpointsChanged(servers), true);
    harness.endSlowStart();
    return harness;
  }

  private static CpuMeter.Work request(int servers) {
    PolicyHarness harness = withServers(servers);
    return new CpuMeter.Work() {
      @Override
      public void prepare() {
        harness.answerAll();
        harness.ticks(9); // the timers of those before are over
        harness.requests(IN_FLIGHT, IN_FLIGHT);
      }

      @Override
      public void run(int times) {
        harness.requests(times, IN_FLIGHT);
      }
    };
  }

  private static CpuMeter.Work change(int servers) {
    PolicyHarness harness = withServers(servers);
    return new CpuMeter.Work() {
      private int next;

      @Override
      public void run(int times) {
        for (int k = 0; k < times; k++) {
          int position = next / 2 % servers;
          harness.endpointsChanged(
              List.of(
                  PolicyHarness.server(
                      position, next++ % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP)),
              false);
        }
      }
    };
  }

  // ---- Decide against customers ----

  static void decideCustomers(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().customers();
    run.measure(
        "a request, customers in turn",
        "us",
        "customers",
        sizes,
        size -> {
          PolicyHarness harness = withCounter();
          return run.meter()
              .time(
                  size,
                  new CpuMeter.Work() {
                    private int next;

                    @Override
                    public void prepare() {
                      harness.answerAll();
                      harness.ticks(9);
                    }

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        harness.request("wide", "c" + next++ % size, 3, false, IN_FLIGHT);
                        harness.advance(1e-3);
                      }
                    }
                  });
        });
    run.measure(
        "an edge, all customers active",
        "us",
        "customers",
        sizes,
        size -> {
          PolicyHarness harness = withCounter();
          return run.meter()
              .time(
                  size,
                  new CpuMeter.Work() {
                    @Override
                    public void prepare() {
                      for (int k = 0; k < size; k++) {
                        harness.request("wide", "c" + k, 3, false, 0);
                      }
                    }

                    @Override
                    public void run(int times) {
                      harness.ticks(times);
                    }

                    @Override
                    public int maxTimes() {
                      return 1; // idle ones are active no more
                    }
                  });
        });
    run.measure(
        "a request while others are held",
        "us",
        "customers held",
        Arrays.stream(sizes)
            .map(size -> Math.min(MAX_QUEUED_CUSTOMERS, Math.max(1, size / 10)))
            .distinct()
            .toArray(),
        size -> run.meter().time(size, queuedCustomers(size)));
    run.measure(
        "heap",
        "B",
        "customers",
        sizes,
        size ->
            CpuMeter.heap(
                size,
                CoreStudies::withCounter,
                harness -> {
                  for (int k = 0; k < size; k++) {
                    harness.request("wide", "c" + k, 3, false, 0);
                    if (k % Math.max(1, size / 20)
                        == 0) { // within the time after which idle ones are forgotten
                      harness.ticks(1);
                    }
                  }
                  harness.ticks(9);
                  return harness;
                }));
  }

  private static PolicyHarness withCounter() {
    PolicyHarness harness = new PolicyHarness(NODES, true, true);
    harness.endpointsChanged(PolicyHarness.endpointsChanged(40), true);
    harness.endSlowStart();
    return harness;
  }

  /** So many customers wait, with no call to be had and no belief for a try that comes again. */
  private static CpuMeter.Work queuedCustomers(int customers) {
    PolicyHarness harness = new PolicyHarness(NODES, true, false);
    harness.endpointsChanged(PolicyHarness.endpointsChanged(40), true);
    harness.endSlowStart();
    return new CpuMeter.Work() {
      @Override
      public void prepare() {
        harness.answerAll();
        harness.ticks(9);
        harness.requests(IN_FLIGHT, IN_FLIGHT);
        for (int k = 0; k < customers; k++) {
          harness.request("rate", "c" + k, 3, true, IN_FLIGHT);
        }
      }

      @Override
      public void run(int times) {
        harness.requests(times, IN_FLIGHT);
      }
    };
  }

  // ---- Membership ----

  static DiscoveredEndpoint entry(int index, EndpointState state) {
    return new DiscoveredEndpoint(
        PolicyHarness.server(index, state),
        "10." + (index >> 16) + "." + (index >> 8 & 255) + "." + (index & 255) + ":6379");
  }

  private static List<DiscoveredEndpoint> entries(int count) {
    List<DiscoveredEndpoint> entries = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      entries.add(entry(i, EndpointState.UP));
    }
    return entries;
  }

  private static Membership withEndpoints(List<DiscoveredEndpoint> entries) {
    Membership core = new Membership(MembershipLimits.defaults(WARM_UP_MS), "a");
    core.endpointsReceived(PolicyHarness.START_MS, "a", 1, true, entries);
    return core;
  }

  static void membership(BenchmarkRun run) throws InterruptedException {
    int[] sizes = run.sizes().servers();
    run.measure(
        "a change of one server",
        "us",
        "servers",
        sizes,
        size -> {
          Membership core = withEndpoints(entries(size));
          return run.meter()
              .time(
                  size,
                  new CpuMeter.Work() {
                    private long seq = 1;

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        int position = (int) (seq / 2 % size);
                        core.endpointsReceived(
                            PolicyHarness.START_MS + 200 * seq,
                            "a",
                            ++seq,
                            false,
                            List.of(
                                entry(
                                    position,
                                    seq % 2 == 0 ? EndpointState.DRAINING : EndpointState.UP)));
                      }
                    }
                  });
        });
    run.measure(
        "a whole list, one server changed",
        "us",
        "servers",
        sizes,
        size -> {
          List<DiscoveredEndpoint> entries = entries(size);
          Membership core = withEndpoints(entries);
          return run.meter()
              .time(
                  size,
                  new CpuMeter.Work() {
                    private long seq = 1;

                    @Override
                    public void run(int times) {
                      for (int k = 0; k < times; k++) {
                        int position = (int) (seq / 2 % size);
                        entries.set(
                            position,
                            entry(
                                position,
                                seq % 2 == 1 ? EndpointState.DRAINING : EndpointState.UP));
                        core.endpointsReceived(
                            PolicyHarness.START_MS + 200 * seq, "a", ++seq, true, entries);
                      }
                    }
                  });
        });
    run.measure(
        "a zone's loss: a tenth of all gone in one message, to Decide",
        "us",
        "servers",
        sizes,
        size -> run.meter().time(size, zoneLoss(size)));
    run.measure(
        "heap, with the list's entries",
        "B",
        "servers",
        sizes,
        size -> CpuMeter.heap(size, () -> size, count -> withEndpoints(parsed(count))));
  }

  /** As they come: strings of their own, not shared ones. */
  private static List<DiscoveredEndpoint> parsed(int count) {
    byte[] text = list(count, count, true).getBytes(StandardCharsets.US_ASCII);
    try {
      return EndpointListJson.parse(text, text.length, problem -> {}).endpoints();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static CpuMeter.Work zoneLoss(int servers) {
    List<DiscoveredEndpoint> entries = entries(servers);
    List<DiscoveredEndpoint> removed = new ArrayList<>();
    for (int i = 0; i < servers; i += ZONES) {
      removed.add(entry(i, EndpointState.REMOVED));
    }
    return new CpuMeter.Work() {
      private Membership core;
      private PolicyHarness module;

      @Override
      public void prepare() {
        core = withEndpoints(entries);
        module = new PolicyHarness(NODES, false, false);
        module.endpointsChanged(entries.stream().map(DiscoveredEndpoint::info).toList(), true);
      }

      @Override
      public void run(int times) {
        List<DiscoveredEndpoint> changes =
            core.endpointsReceived(PolicyHarness.START_MS + 1, "a", 2, false, removed).endpoints();
        module.endpointsChanged(changes.stream().map(DiscoveredEndpoint::info).toList(), false);
      }

      @Override
      public int maxTimes() {
        return 1;
      }
    };
  }

  /** A list in discovery's form. */
  static String list(int count, long version, boolean isComplete) {
    StringBuilder json = new StringBuilder(160 * count + 64);
    json.append("{\"seq\":")
        .append(version)
        .append(",\"whole\":")
        .append(isComplete)
        .append(",\"hosts\":[");
    for (int i = 0; i < count; i++) {
      json.append(i > 0 ? "," : "").append(host(i).json());
    }
    return json.append("]}\n").toString();
  }

  static DiscoveryAgentEmulator.Host host(int index) {
    DiscoveredEndpoint endpoint = entry(index, EndpointState.UP);
    return new DiscoveryAgentEmulator.Host(
        endpoint.info().id(),
        endpoint.address(),
        "active",
        0,
        endpoint.info().zone(),
        endpoint.info().cell());
  }
}
