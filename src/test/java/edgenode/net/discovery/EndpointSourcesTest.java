package edgenode.net.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.NodeConfig;
import edgenode.config.OperatorSettings;
import edgenode.emulator.ConsulEmulator;
import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.emulator.DnsServerEmulator;
import edgenode.emulator.EdsEmulator;
import edgenode.eventloop.EdgeEventLoop;
import edgenode.eventloop.Transport;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.membership.MembershipLimits;
import edgenode.policy.EndpointState;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Sources of other installations against stand-ins on loopback, and what they do when those fail.
 */
@Timeout(60)
class EndpointSourcesTest {
  private final EventLoopGroup group = Transport.newEventLoopGroup();
  private final List<String> log = Collections.synchronizedList(new ArrayList<>());
  private final Map<String, DiscoveredEndpoint> view = new ConcurrentSkipListMap<>();
  private final AtomicInteger failures = new AtomicInteger();
  private MembershipService members;
  @TempDir Path folder;

  private final class RecordingLoop implements EdgeEventLoop, MembershipListener {
    @Override
    public double nowMs() {
      return System.nanoTime() / 1e6;
    }

    @Override
    public double queueingDelayMs() {
      return 0;
    }

    @Override
    public Future<?> schedule(double delay, Runnable what) {
      return group.schedule(what, Math.round(delay * 1e6), TimeUnit.NANOSECONDS);
    }

    @Override
    public EventLoopGroup group() {
      return group;
    }

    @Override
    public void execute(Runnable what) {
      group.execute(what);
    }

    @Override
    public Transport transport() {
      return Transport.SOCKETS;
    }

    @Override
    public void flushLater(Channel channel) {}

    @Override
    public void flushPending() {}

    @Override
    public void logFailure(String where, Throwable what) {
      log.add(where + ": " + what);
    }

    @Override
    public void logLine(String line) {
      log.add(line);
    }

    @Override
    public void endpointsChanged(List<DiscoveredEndpoint> entries, boolean whole) {
      for (DiscoveredEndpoint e : entries) {
        if (e.info().state() == EndpointState.REMOVED) {
          view.remove(e.info().id());
        } else {
          view.put(e.info().id(), e);
        }
      }
    }

    @Override
    public void discoveryFailed() {
      failures.incrementAndGet();
    }

    @Override
    public void discoveryRefused() {}

    @Override
    public void probeEndpoint(String id) {}
  }

  private void start(double failOver, SourceDefinition... places) {
    RecordingLoop here = new RecordingLoop();
    members =
        new MembershipService(
            here, here, MembershipLimits.defaults(18_000), List.of(places), failOver);
    group.execute(() -> members.start(null));
  }

  @AfterEach
  void end() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void awaitCondition(String what, BooleanSupplier done) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    while (!done.getAsBoolean()) {
      assertTrue(System.nanoTime() < until, () -> "never: " + what + "; " + view + log);
      Thread.sleep(2);
    }
  }

  private String upEndpoints() {
    StringBuilder all = new StringBuilder();
    view.forEach((id, e) -> all.append(e.info().state() == EndpointState.UP ? id + " " : ""));
    return all.toString().trim();
  }

  private void upEndpoints(String expected) throws InterruptedException {
    awaitCondition("up: " + expected, () -> upEndpoints().equals(expected));
  }

  // ---- Consul ----

  private static ConsulEmulator.Instance instance(String id, int port, String status) {
    return new ConsulEmulator.Instance(id, "127.0.0.1", port, status, 10, 2);
  }

  @Test
  void consulTellsHealthWeightsAndChangesByItsIndex() throws Exception {
    Path token = Files.writeString(folder.resolve("token"), "not-to-be-logged\n");
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.set(instance("a", 1001, "passing"));
      consul.set(instance("b", 1002, "warning"));
      consul.set(instance("c", 1003, "critical"));
      consul.set(instance("d", 1004, "maintenance"));
      consul.set(
          new ConsulEmulator.Instance(
              "e", "", 1005, "passing", 1, 1)); // the node's address stands in
      start(
          5000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol ment", 5000, token)));
      upEndpoints("a b e");
      assertEquals(10, view.get("a").info().weight());
      assertEquals(2, view.get("b").info().weight());
      assertEquals(EndpointState.DRAINING, view.get("c").info().state());
      assertEquals(EndpointState.DRAINING, view.get("d").info().state());
      assertEquals("127.0.0.9:1005", view.get("e").address());
      assertEquals("dc1", view.get("a").info().zone());
      awaitCondition("the next question", () -> consul.questions() > 1);
      assertEquals("/v1/health/service/enrol%20ment?index=6&wait=5000ms", consul.lastPath());
      assertEquals("not-to-be-logged", consul.token());
      consul.set(instance("a", 1001, "critical"));
      upEndpoints("b e");
      consul.remove("b");
      upEndpoints("e");
      assertFalse(view.containsKey("b"));
      assertTrue(log.stream().noneMatch(l -> l.contains("not-to-be-logged")), log.toString());
    }
  }

  /** An index that goes back starts again from none (as the page on blocking queries asks). */
  @Test
  void consulsIndexMayGoBack() throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.index(500);
      consul.set(instance("a", 1001, "passing"));
      start(
          5000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 5000, null)));
      upEndpoints("a");
      awaitCondition("it waits", () -> consul.lastPath().contains("index=501"));
      consul.set(instance("b", 1002, "passing"));
      upEndpoints("a b");
      consul.index(3);
      awaitCondition("it asks from none", () -> consul.lastPath().endsWith("index=3&wait=5000ms"));
      consul.set(instance("c", 1003, "passing"));
      upEndpoints("a b c");
    }
  }

  /** Whatever becomes of an answer, the list stays, and what is told afterwards counts. */
  @ParameterizedTest
  @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void consulsSpoiltAnswersChangeNothing(ConsulEmulator.Fault fault) throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator()) {
      consul.set(instance("a", 1001, "passing"));
      start(
          60_000,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 300, null)));
      upEndpoints("a");
      int before = consul.questions();
      consul.spoil(fault, 1);
      awaitCondition("a failure", () -> failures.get() > 0 && consul.questions() > before);
      assertEquals("a", upEndpoints());
      consul.set(instance("b", 1002, "passing"));
      upEndpoints("a b");
    }
  }

  // ---- EDS ----

  @Test
  void edsTellsHealthAndWeightsWithVersionAndNonce() throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set(
          "1",
          EdsEmulator.cluster(
              "enrol",
              "127.0.0.1 1001 HEALTHY 3",
              "127.0.0.1 1002 DRAINING 1",
              "127.0.0.1 1003 UNHEALTHY 1",
              "127.0.0.1 1004 DEGRADED 10",
              "127.0.0.1 1005 UNKNOWN 1"));
      start(
          5000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      upEndpoints("127.0.0.1:1001 127.0.0.1:1004 127.0.0.1:1005");
      assertEquals(3, view.get("127.0.0.1:1001").info().weight());
      assertEquals(1, view.get("127.0.0.1:1004").info().weight());
      assertEquals("z1", view.get("127.0.0.1:1001").info().zone());
      awaitCondition("more questions", () -> eds.asked().size() > 2);
      assertEquals(
          "POST /v3/discovery:endpoints {\"version_info\":\"\",\"node\":{\"id\":\"edge-1\"},"
              + "\"resource_names\":[\"enrol\"],\"type_url\":\"type.googleapis.com/envoy.config.endpoint.v3."
              + "ClusterLoadAssignment\",\"response_nonce\":\"\"}",
          eds.asked().get(0));
      assertTrue(eds.asked().get(1).contains("\"version_info\":\"1\""), eds.asked().get(1));
      assertTrue(eds.asked().get(1).contains("\"response_nonce\":\"1\""), eds.asked().get(1));
      eds.set(
          "2",
          EdsEmulator.cluster(
              "enrol",
              "127.0.0.1 1005 DRAINING 1",
              "127.0.0.1 1006 HEALTHY 1",
              "127.0.0.1 1007 HEALTHY 1"));
      upEndpoints("127.0.0.1:1006 127.0.0.1:1007");
    }
  }

  /** What cannot be used is rejected with the reason, and the version in force is named on. */
  @Test
  void edsRejectsWhatItCannotUse() throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set("1", EdsEmulator.cluster("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          60_000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      upEndpoints("127.0.0.1:1001");
      eds.set("2", EdsEmulator.cluster("enrol", "not.a.number 1002 HEALTHY 1"));
      awaitCondition(
          "a rejection", () -> eds.asked().stream().anyMatch(q -> q.contains("\"error_detail\"")));
      String said =
          eds.asked().stream().filter(q -> q.contains("error_detail")).findFirst().orElseThrow();
      assertTrue(
          said.contains("\"version_info\":\"1\"") && said.contains("not.a.number:1002"), said);
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set("3", EdsEmulator.cluster("another", "127.0.0.1 1003 HEALTHY 1"));
      awaitCondition(
          "told", () -> log.stream().anyMatch(l -> l.contains("no resource for cluster enrol")));
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set(
          "4",
          EdsEmulator.cluster("enrol", "127.0.0.1 1001 HEALTHY 1", "127.0.0.1 1004 HEALTHY 1"));
      upEndpoints("127.0.0.1:1001 127.0.0.1:1004");
    }
  }

  @ParameterizedTest
  @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
  void edsSpoiltAnswersChangeNothing(EdsEmulator.Fault fault) throws Exception {
    try (EdsEmulator eds = new EdsEmulator()) {
      eds.set("1", EdsEmulator.cluster("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          60_000,
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      upEndpoints("127.0.0.1:1001");
      eds.spoil(fault, 1);
      awaitCondition("a failure", () -> failures.get() > 0);
      assertEquals("127.0.0.1:1001", upEndpoints());
      eds.set(
          "2",
          EdsEmulator.cluster("enrol", "127.0.0.1 1001 HEALTHY 1", "127.0.0.1 1002 HEALTHY 1"));
      upEndpoints("127.0.0.1:1001 127.0.0.1:1002");
    }
  }

  // ---- DNS SRV ----

  private static final String SERVICE = "_resp._tcp.enrol.test.";

  private SourceDefinition dns(DnsServerEmulator server) {
    return EndpointSources.dnsSrv(
        new OperatorSettings.DnsSrvSettings(SERVICE, List.of(server.address()), 100, 1000));
  }

  @Test
  void srvTellsTheLowestPriorityWithWeightsAndAddresses() throws Exception {
    for (boolean additional : new boolean[] {false, true}) {
      view.clear();
      try (DnsServerEmulator dns = new DnsServerEmulator()) {
        dns.additional(additional);
        dns.host("s1.enrol.test.", "127.0.0.11");
        dns.host("s2.enrol.test.", "127.0.0.12");
        dns.service(
            SERVICE,
            new DnsServerEmulator.Srv(0, 1, 7, 1001, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1002, "s2.enrol.test."),
            new DnsServerEmulator.Srv(0, 2, 3, 1003, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1004, "nowhere.test."));
        start(5000, dns(dns));
        upEndpoints("s1.enrol.test.:1001 s2.enrol.test.:1002");
        assertEquals("127.0.0.11:1001", view.get("s1.enrol.test.:1001").address());
        assertEquals(7, view.get("s1.enrol.test.:1001").info().weight());
        dns.service(
            SERVICE,
            new DnsServerEmulator.Srv(0, 1, 7, 1001, "s1.enrol.test."),
            new DnsServerEmulator.Srv(0, 1, 3, 1005, "s2.enrol.test."));
        upEndpoints("s1.enrol.test.:1001 s2.enrol.test.:1005");
      }
    }
  }

  /** A record's time to live is kept: no question sooner, within the bounds of the settings. */
  @Test
  void srvIsAskedAgainWhenItsTimeToLiveIsOver() throws Exception {
    try (DnsServerEmulator dns = new DnsServerEmulator()) {
      dns.additional(true);
      dns.host("s1.enrol.test.", "127.0.0.11");
      dns.service(SERVICE, new DnsServerEmulator.Srv(3600, 1, 1, 1001, "s1.enrol.test."));
      start(60_000, dns(dns));
      upEndpoints("s1.enrol.test.:1001");
      long since = System.nanoTime();
      int asked = dns.questions();
      awaitCondition("asked again", () -> dns.questions() > asked);
      assertTrue(
          System.nanoTime() - since > 700_000_000L, "before the longest time of the settings");
    }
  }

  @Test
  void srvFailuresChangeNothing() throws Exception {
    try (DnsServerEmulator dns = new DnsServerEmulator()) {
      dns.host("s1.enrol.test.", "127.0.0.11");
      dns.host("s2.enrol.test.", "127.0.0.12");
      dns.service(SERVICE, new DnsServerEmulator.Srv(0, 1, 1, 1001, "s1.enrol.test."));
      start(60_000, dns(dns));
      upEndpoints("s1.enrol.test.:1001");
      for (int kind = 0; kind < 3; kind++) {
        int before = failures.get();
        dns.fail(kind == 0, kind == 1, kind == 2);
        awaitCondition("a failure of kind " + kind, () -> failures.get() > before);
        assertEquals("s1.enrol.test.:1001", upEndpoints());
      }
      dns.fail(false, false, false);
      dns.service(
          SERVICE,
          new DnsServerEmulator.Srv(0, 1, 1, 1001, "s1.enrol.test."),
          new DnsServerEmulator.Srv(0, 1, 1, 1002, "s2.enrol.test."));
      upEndpoints("s1.enrol.test.:1001 s2.enrol.test.:1002");
    }
  }

  // ---- one after the other ----

  @Test
  void aSourceThatFallsSilentIsReplacedByTheNextAndBack() throws Exception {
    try (ConsulEmulator consul = new ConsulEmulator();
        EdsEmulator eds = new EdsEmulator()) {
      consul.set(instance("a", 1001, "passing"));
      eds.set("1", EdsEmulator.cluster("enrol", "127.0.0.1 1001 HEALTHY 1"));
      start(
          800,
          EndpointSources.consul(
              new OperatorSettings.ConsulSettings(consul.address(), "enrol", 200, null)),
          EndpointSources.eds(
              new OperatorSettings.EdsSettings(eds.address(), "enrol", "edge-1", 50)));
      upEndpoints("a");
      consul.spoil(ConsulEmulator.Fault.STALL, Integer.MAX_VALUE);
      upEndpoints("127.0.0.1:1001");
      assertTrue(log.stream().anyMatch(l -> l.contains("failing over to eds")), log.toString());
      consul.spoil(ConsulEmulator.Fault.NONE, 0);
      eds.spoil(EdsEmulator.Fault.STALL, Integer.MAX_VALUE);
      upEndpoints("a");
    }
  }

  /** The agent, for what only it has: no list is too long, and a bad entry costs no other. */
  @Test
  void theAgentsListMayBeBadInPlaces() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      for (int i = 0; i < 10_000; i++) {
        agent.set(
            new DiscoveryAgentEmulator.Host(
                "s" + i, i == 77 ? "" : "127.0.0.1:" + (1000 + i), "active", 0));
      }
      InetSocketAddress at = NodeConfig.parseAddress(agent.address());
      start(0, MembershipService.agentSource(at));
      awaitCondition("all but one", () -> view.size() == 9999);
      assertTrue(log.stream().anyMatch(l -> l.contains("s77 has no address")), log.toString());
      agent.set(new DiscoveryAgentEmulator.Host("s5", "127.0.0.1:1005", "leaving", 0));
      awaitCondition("the drain", () -> view.get("s5").info().state() == EndpointState.DRAINING);
      agent.stallNow(DiscoveryAgentEmulator.Kind.WATCH);
      agent.set(new DiscoveryAgentEmulator.Host("s6", "127.0.0.1:1006", "leaving", 0));
      long told = System.nanoTime();
      awaitCondition(
          "the drain of a long list, its watch stalled",
          () -> view.get("s6").info().state() == EndpointState.DRAINING);
      System.out.printf(
          "list of 10,000, watch stalled: %.0f ms%n", (System.nanoTime() - told) / 1e6);
    }
  }

  /** What no list is costs a connection and nothing else, and what follows counts. */
  @Test
  void theAgentsNonsenseChangesNothing() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "active", 0));
      agent.set(new DiscoveryAgentEmulator.Host("b", "127.0.0.1:1002", "active", 0));
      start(0, MembershipService.agentSource(NodeConfig.parseAddress(agent.address())));
      upEndpoints("a b");
      int watches = 0;
      for (String bad :
          List.of(
              "{\"seq\":99,\"whole\":true",
              "{\"seq\":99,\"whole\":true,\"hosts\":7}",
              "[]",
              "null",
              "{\"seq\":99,\"whole\":true,\"hosts\":[{\"host\":",
              "\u0001 noise \u0002",
              "\"text\"")) {
        int stood = watches++;
        awaitCondition("a watch", () -> agent.watches() > stood);
        int before = failures.get();
        agent.garble(bad);
        awaitCondition("the watch ends at " + bad, () -> failures.get() > before);
        assertEquals("a b", upEndpoints());
      }
      int stood = watches;
      awaitCondition("a watch", () -> agent.watches() > stood);
      // below 0: what it takes down is taken, what it does not name is not
      agent.garble("{\"seq\":-4,\"whole\":true,\"hosts\":[]}");
      agent.garble(
          "{\"seq\":-4,\"whole\":false,\"hosts\":[{\"host\":\"q\",\"dial\":\"127.0.0.1:1\","
              + "\"health\":\"active\"}]}");
      agent.set(new DiscoveryAgentEmulator.Host("c", "127.0.0.1:1003", "active", 0));
      upEndpoints("a b c");
    }
  }

  /**
   * A line without end is cut off at the bound: what comes is not kept, and the watch is asked for
   * anew.
   */
  @Test
  void aLineOfAHundredMegabytesIsCutOff() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "active", 0));
      agent.flood(100L << 20);
      start(0, MembershipService.agentSource(NodeConfig.parseAddress(agent.address())));
      awaitCondition("cut off", () -> log.stream().anyMatch(l -> l.contains("rejected a list of more than 8388608 bytes")));
      assertTrue(agent.bytes() < 32L << 20, "sent " + agent.bytes());
      agent.set(new DiscoveryAgentEmulator.Host("b", "127.0.0.1:1002", "active", 0));
      upEndpoints("a b");
    }
  }

  /**
   * A thousand servers of which a tenth change each second: the view follows, and ends as the
   * truth.
   */
  @Test
  void aThousandServersOfWhichATenthChangeEachSecond() throws Exception {
    java.util.Random random = new java.util.Random(5);
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      Map<String, String> truth = new ConcurrentSkipListMap<>();
      for (int i = 0; i < 1000; i++) {
        agent.set(new DiscoveryAgentEmulator.Host("s" + i, "127.0.0.1:" + (2000 + i), "active", 0));
        truth.put("s" + i, "active");
      }
      start(0, MembershipService.agentSource(NodeConfig.parseAddress(agent.address())));
      awaitCondition("all", () -> view.size() == 1000);
      for (int i = 0; i < 300; i++) {
        String id = "s" + random.nextInt(1000);
        String health = List.of("active", "leaving", "left").get(random.nextInt(3));
        agent.set(
            new DiscoveryAgentEmulator.Host(
                id, "127.0.0.1:" + (2000 + Integer.parseInt(id.substring(1))), health, 0));
        truth.put(id, health);
        Thread.sleep(10);
      }
      truth.values().removeIf(h -> h.equals("left"));
      awaitCondition(
          "the truth",
          () ->
              view.keySet().equals(truth.keySet())
                  && view.values().stream()
                      .allMatch(
                          e ->
                              (e.info().state() == EndpointState.UP)
                                  == truth.get(e.info().id()).equals("active")));
    }
  }

  /** A, B, and A again while the first connect to A is still on its way: only the new A counts. */
  @Test
  void discoveryMovesBackWithAConnectStillPending() throws Exception {
    ServerSocket full = new ServerSocket();
    try (DiscoveryAgentEmulator b = new DiscoveryAgentEmulator(10)) {
      full.bind(new InetSocketAddress("127.0.0.1", 0), 1);
      List<Socket> queue = new ArrayList<>();
      for (int i = 0; i < 3; i++) { // what comes after them waits for its connect
        Socket s = new Socket();
        queue.add(s);
        try {
          s.connect(full.getLocalSocketAddress(), 100);
        } catch (java.net.SocketTimeoutException e) {
          break;
        }
      }
      int port = full.getLocalPort();
      SourceDefinition toA =
          MembershipService.agentSource(NodeConfig.parseAddress("127.0.0.1:" + port));
      SourceDefinition toB = MembershipService.agentSource(NodeConfig.parseAddress(b.address()));
      b.set(new DiscoveryAgentEmulator.Host("b1", "127.0.0.1:1001", "active", 0));
      start(0, toA);
      Thread.sleep(200);
      group.execute(() -> members.replaceSource(toA, toB));
      upEndpoints("b1");
      group.execute(() -> members.replaceSource(toB, toA));
      for (Socket s : queue) {
        s.close();
      }
      full.close();
      try (DiscoveryAgentEmulator a = new DiscoveryAgentEmulator("127.0.0.1", port, 20)) {
        a.set(new DiscoveryAgentEmulator.Host("a1", "127.0.0.1:1002", "active", 0));
        upEndpoints("a1");
        b.set(
            new DiscoveryAgentEmulator.Host(
                "b2", "127.0.0.1:1003", "active", 0)); // nobody listens there any more
        a.set(new DiscoveryAgentEmulator.Host("a2", "127.0.0.1:1004", "active", 0));
        upEndpoints("a1 a2");
        Thread.sleep(1200); // by then the connects of the first A are over
        assertEquals(1, a.watches(), "the first A's connect came up and was used");
      }
    } finally {
      full.close();
    }
  }

  /** Gone and back under its id and address within 100 ms. */
  @Test
  void aServerThatIsBackAtOnceIsUsedAgain() throws Exception {
    try (DiscoveryAgentEmulator agent = new DiscoveryAgentEmulator(10)) {
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "active", 0));
      agent.set(new DiscoveryAgentEmulator.Host("b", "127.0.0.1:1002", "active", 0));
      start(0, MembershipService.agentSource(NodeConfig.parseAddress(agent.address())));
      upEndpoints("a b");
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "left", 0));
      upEndpoints("b");
      agent.set(new DiscoveryAgentEmulator.Host("a", "127.0.0.1:1001", "active", 5000));
      upEndpoints("a b");
      assertEquals(5000, view.get("a").info().startedAtMs());
    }
  }
}
