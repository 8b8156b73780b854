import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Does a customer that presses against its hard ceiling stay inside it while a new version of each
 * edge node takes over? Two edge nodes, nine app servers, one customer that comes through both. The
 * store of the page is kept here, by the moments at which first attempts come whole to an app server.
 */
public final class CeilingUpgrade {
  private static final int SERVERS = 9;
  private static final int NODES = 2;
  private static final String CUSTOMER = "00000000b4d65521";

  /** The plan: units a second of the ceiling, its burst, and the slack of a tenth of that. */
  private static final double HARD_RATE = 20;

  private static final double CEILING_BURST = 30;
  private static final double SLACK = 3;

  /** The plan's quota is a number of attempts out at once. */
  private static final int MOST_OPEN = 6;

  /** What the measuring here may be off by: a first attempt's time, in units of the rate. */
  private static final double MEASURING_MS = 50;

  private static final double REQUESTS_PER_SECOND = 60;
  private static final int CONNECTIONS_PER_NODE = 12;

  private final boolean hasTrouble;
  private final Record record;
  private final Set<String> forwarded = ConcurrentHashMap.newKeySet();
  private final List<LinkedBlockingQueue<String>> due = new ArrayList<>();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();
  private int sent;

  // the store of the ceiling
  private double units = CEILING_BURST;
  private double filledAtMs;
  private double lowestUnits = CEILING_BURST;

  private CeilingUpgrade(boolean hasTrouble, Record record) {
    this.hasTrouble = hasTrouble;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Record record = new Record(Path.of(arguments[0]))) {
      code = new CeilingUpgrade(!"0".equals(System.getenv("TROUBLE")), record).run(Path.of(arguments[1]));
    }
    System.exit(code == 1 ? 3 : code); // the JVM itself ends with 1
  }

  /** A try takes its units when its first attempt has come whole to an app server. */
  private synchronized void arrived(String id, int server) {
    if (!forwarded.add(id)) {
      return;
    }
    double nowMs = record.ms();
    units = Math.min(CEILING_BURST, units + HARD_RATE * (nowMs - filledAtMs) / 1000) - 1;
    filledAtMs = nowMs;
    lowestUnits = Math.min(lowestUnits, units);
    record.line("server " + server + " gets " + id + ", the store holds " + Math.round(units * 100) / 100.0);
  }

  private String config(String name, int rank, String listen, int admin, Discovery discovery, LineServer counter) {
    Map<String, String> settings = Node.settings(rank, NODES);
    settings.put("tariffs", "[" + Node.plan("sede-mayor", 0, 0, MOST_OPEN, HARD_RATE, CEILING_BURST, SLACK) + "]");
    return Node.config(
        name, listen, "127.0.0.1:" + admin, discovery.address(), counter.address(), 1024, Node.json(settings));
  }

  private int run(Path folder) throws Exception {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      int number = i;
      LineServer server =
          new LineServer(
              (words, socket, out) -> {
                arrived(words.get(2), number);
                Thread.sleep(50);
                out.write(Resp.served(("record of " + words.get(2)).getBytes(StandardCharsets.US_ASCII)));
              });
      hosts.add(Discovery.host("s-" + i, server.address(), i / 3));
    }
    List<Node> nodes = new ArrayList<>();
    try (Discovery discovery = new Discovery(hosts);
        LineServer counter = LineServer.counter()) {
      List<String> addresses = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        String listen = "127.0.0.1:" + Node.freePort();
        addresses.add(listen);
        String name = "n" + (i + 1);
        nodes.add(
            Node.start(
                folder, name, listen, discovery.address(),
                config(name, i, listen, Node.freePort(), discovery, counter)));
        due.add(new LinkedBlockingQueue<>());
      }
      for (int i = 0; i < NODES; i++) {
        if (!nodes.get(i).awaitReady()) {
          record.say("an edge node did not start: " + nodes.get(i).log());
          return 2;
        }
        for (int k = 0; k < CONNECTIONS_PER_NODE; k++) {
          int node = i;
          Node first = nodes.get(i);
          LineServer.start(() -> client(first, due.get(node)));
        }
      }
      ask(4, 2); // the edge nodes know the customer, whose store then fills
      Thread.sleep(4000);
      record.line("the customer asks for " + REQUESTS_PER_SECOND + " requests a second from here on");
      ask(5 * (int) REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
      record.say("lowest in the store after 5 s: " + Math.round(lowestUnits * 100) / 100.0);
      for (int i = 0; i < NODES; i++) {
        if (hasTrouble) {
          int node = i;
          Thread platform = LineServer.start(() -> upgrade(nodes, node, addresses.get(node), folder, discovery, counter));
          while (platform.isAlive()) {
            ask((int) REQUESTS_PER_SECOND / 10, REQUESTS_PER_SECOND);
          }
        }
        ask(4 * (int) REQUESTS_PER_SECOND, REQUESTS_PER_SECOND);
        record.say("lowest in the store so far: " + Math.round(lowestUnits * 100) / 100.0);
      }
      Thread.sleep(1000);
      boolean areAlive = nodes.stream().allMatch(Node::isAlive);
      boolean isBroken = lowestUnits < -SLACK - HARD_RATE * MEASURING_MS / 1000;
      record.say(
          "sent " + sent + ", passed on " + forwarded.size() + ", served " + served + ", not served " + notServed
              + ", lowest in the store " + Math.round(lowestUnits * 100) / 100.0 + ", allowed " + -SLACK
              + (areAlive ? "" : "; an edge node has ended"));
      return isBroken || !areAlive ? 1 : 0;
    } finally {
      nodes.forEach(Node::close);
    }
  }

  /** The platform's part: a new process at the same address; the old one ends once that is ready. */
  private void upgrade(
      List<Node> nodes, int number, String listen, Path folder, Discovery discovery, LineServer counter) {
    try {
      int admin = Node.freePort();
      String name = "n" + (number + 1);
      Node old = nodes.get(number);
      record.line(name + ": a new process is started");
      Node next =
          Node.start(
              folder, name, "-new", listen, discovery.address(),
              config(name, number, listen, admin, discovery, counter));
      nodes.set(number, next);
      boolean isReady = Node.awaitAdminReady(admin);
      record.line(name + ": the new process " + (isReady ? "says yes" : "is not ready") + ", SIGTERM to the old one");
      old.signal("TERM");
      old.awaitEnd(3700);
      old.close();
      record.line(name + ": the old process has ended");
    } catch (IOException | InterruptedException e) {
      record.line("platform: " + e);
    }
  }

  /** Deals out so many requests at a steady rate, to both edge nodes in turn. */
  private void ask(int count, double perSecond) throws InterruptedException {
    double atMs = record.ms();
    for (int i = 0; i < count; i++) {
      due.get(sent % NODES).add(String.format("9b1f03aa%08x", sent));
      sent++;
      atMs += 1000 / perSecond;
      Thread.sleep(Math.max(0, Math.round(atMs - record.ms())));
    }
  }

  /** One kept connection with one request at a time; opened anew where the edge node closes it. */
  private void client(Node node, LinkedBlockingQueue<String> ids) {
    while (true) {
      try (Socket socket = new Socket()) {
        socket.connect(node.address);
        socket.setTcpNoDelay(true);
        InputStream in = Resp.buffered(socket.getInputStream());
        while (true) {
          String id = ids.take();
          socket
              .getOutputStream()
              .write(
                  Resp.command(
                      "CALL.GET", CUSTOMER, id, "c=seat-lookup,t=sede-mayor,d=1000,units=1,spread=2,first=0"));
          Resp.Answer answer = Resp.readAnswer(in);
          (answer.value() != null ? served : notServed).incrementAndGet();
          record.line("client gets for " + id + ": " + answer.text());
        }
      } catch (IOException e) {
        // closed by the edge node: another one
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
