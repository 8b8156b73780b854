import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Does each request that an edge node has read get its final answer in a planned restart? Three edge
 * nodes, nine app servers, clients that may send a request behind another, some of them many at
 * once. The trouble: SIGTERM, again and again, and the edge node is held up now and then while it ends
 * (not with HOLD_UP=0).
 */
public final class RestartLoss {
  private static final int SERVERS = 9;
  private static final int CUSTOMERS = 40;
  private static final int NODES = 3;

  /** Of each edge node; together they send it some 530 requests a second. */
  private static final int CONNECTIONS = 100;

  private static final int MEAN_GAP_MS = 400;

  /** So many of them send many commands at once. */
  private static final int PIPELINING_CONNECTIONS = 6;

  private static final int COMMANDS_AT_ONCE = 40;
  private static final int MEAN_PIPELINING_GAP_MS = 800;
  private static final int LOAD_MS = 600;

  private static final double HOLD_UP_S = 0.12;

  /** From one hold-up to the next; the first comes at a random moment of as long a time. */
  private static final int HOLD_UP_PAUSE_MS = 300;

  /** SIGKILL comes no sooner after SIGTERM than the longest deadline and 0.7 s. */
  private static final int KILL_AFTER_MS = 3700;

  private final boolean hasTrouble;
  private final Record record;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger unread = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger restarts = new AtomicInteger();
  private final boolean isHeldUp = !"0".equals(System.getenv("HOLD_UP"));
  private final Random phases = new Random(5);
  private volatile boolean hasFailed;

  private RestartLoss(boolean hasTrouble, Record record) {
    this.hasTrouble = hasTrouble;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Record record = new Record(Path.of(arguments[0]))) {
      code =
          new RestartLoss(!"0".equals(System.getenv("TROUBLE")), record)
              .run(Path.of(arguments[1]), Integer.parseInt(arguments[2]));
    }
    System.exit(code == 1 ? 3 : code); // the JVM itself ends with 1
  }

  private int run(Path folder, int seconds) throws Exception {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Random random = new Random(i);
      int number = i;
      LineServer server =
          new LineServer(
              (words, socket, out) -> {
                record.line("server " + number + " gets " + words.get(2));
                Thread.sleep("enrol".equals(LineServer.field(words, "c")) ? 64 + random.nextInt(47) : 39 + random.nextInt(29));
                out.write(Resp.served(("record of " + words.get(2)).getBytes(StandardCharsets.US_ASCII)));
              });
      hosts.add(Discovery.host("s-" + i, server.address(), i / 3));
    }
    try (Discovery discovery = new Discovery(hosts);
        LineServer counter = LineServer.counter()) {
      List<Thread> platforms = new ArrayList<>();
      for (int i = 0; i < NODES; i++) {
        int rank = i;
        String listen = "127.0.0.1:" + Node.freePort();
        Map<String, String> settings = Node.settings(rank, NODES);
        settings.put("tariffs", "[" + Node.plan("sede-mayor", 56, 92, 0, 0, 0) + "]");
        String config =
            Node.config("n" + i, listen, null, discovery.address(), counter.address(), 1024, Node.json(settings));
        platforms.add(
            LineServer.start(
                () -> {
                  try {
                    while (record.ms() < seconds * 1000.0 && !hasFailed) {
                      serve(folder, "n" + rank, listen, discovery, config);
                    }
                  } catch (IOException | InterruptedException e) {
                    hasFailed = true;
                    record.say("platform: " + e);
                  }
                }));
      }
      for (Thread platform : platforms) {
        platform.join();
      }
      record.say(
          "restarts " + restarts + ", sent " + sent + ", answered " + answered
              + ", not read before the connection's end (sent once more, by the page) " + unread
              + ", read and never answered " + lost);
      return lost.get() > 0 ? 1 : hasFailed || answered.get() < sent.get() / 2 ? 2 : 0;
    }
  }

  /** The life of one process of an edge node. */
  private void serve(Path folder, String name, String listen, Discovery discovery, String config)
      throws IOException, InterruptedException {
    try (Node node = Node.start(folder, name, listen, discovery.address(), config)) {
      if (!node.awaitReady()) {
        throw new IOException(name + " did not start: " + node.log());
      }
      AtomicBoolean isOver = new AtomicBoolean();
      List<Thread> clients = new ArrayList<>();
      for (int k = 0; k < CONNECTIONS; k++) {
        boolean sendsMany = k < PIPELINING_CONNECTIONS;
        clients.add(LineServer.start(() -> client(node, isOver, sendsMany)));
      }
      Thread.sleep(LOAD_MS);
      if (hasTrouble) {
        record.line(name + ": SIGTERM");
        restarts.incrementAndGet();
        node.signal("TERM");
        double killAtMs = record.ms() + KILL_AFTER_MS;
        boolean hasEnded = node.awaitEnd(phases.nextInt(HOLD_UP_PAUSE_MS));
        while (isHeldUp && !hasEnded && record.ms() < killAtMs - 500) {
          node.holdUp(HOLD_UP_S, record);
          hasEnded = node.awaitEnd(HOLD_UP_PAUSE_MS);
        }
        hasEnded = hasEnded || node.awaitEnd(Math.round(killAtMs - record.ms()));
        record.line(name + (hasEnded ? " has ended" : ": SIGKILL"));
      } else if (!node.isAlive()) {
        throw new IOException(name + " has ended: " + node.log());
      }
      isOver.set(true);
      for (Thread client : clients) {
        client.join();
      }
    }
  }

  /** One connection: requests at random moments, also behind ones that are not answered. */
  private void client(Node node, AtomicBoolean isOver, boolean sendsMany) {
    ArrayDeque<String> open = new ArrayDeque<>();
    try (Socket socket = new Socket()) {
      socket.connect(node.address);
      socket.setTcpNoDelay(true);
      boolean[] hasEnded = {false};
      Thread reader = LineServer.start(() -> read(socket, open, hasEnded));
      Random random = new Random(ids.get());
      while (!isOver.get()) {
        Thread.sleep(1 + random.nextInt(2 * (sendsMany ? MEAN_PIPELINING_GAP_MS : MEAN_GAP_MS)));
        synchronized (open) {
          if (hasEnded[0]) {
            break;
          }
          for (int i = 0; i < (sendsMany ? COMMANDS_AT_ONCE : 1); i++) {
            send(socket, open);
          }
        }
      }
      Thread.sleep(isOver.get() ? 3500 : 0); // the last answers
      synchronized (open) {
        if (!hasEnded[0]) {
          if (!open.isEmpty()) {
            lost.addAndGet(open.size());
            record.line("LOST: no answer in time for " + open);
          }
          return;
        }
      }
      reader.join();
    } catch (IOException e) {
      record.line("client: " + e);
    } catch (InterruptedException e) {
      return;
    }
  }

  private void send(Socket socket, ArrayDeque<String> open) throws IOException {
    int number = ids.incrementAndGet();
    String id = String.format("9b1f03aa%08x", number);
    String customer = String.format("%016x", 0xb4d65521L + number % CUSTOMERS);
    String rest = ",t=sede-mayor,units=1,spread=2,first=0";
    byte[] command =
        number % 12 < 5
            ? Resp.command("CALL.POST", customer, id, "c=enrol,d=3000,k=" + id + rest, "BODY")
            : Resp.command("CALL.GET", customer, id, "c=seat-lookup,d=2000" + rest);
    try {
      socket.getOutputStream().write(command);
    } catch (IOException e) {
      return; // reset: it was not taken
    }
    sent.incrementAndGet();
    open.add(id);
    record.line("client " + socket.getLocalPort() + " sends " + id);
  }

  private void read(Socket socket, ArrayDeque<String> open, boolean[] hasEnded) {
    String end;
    try {
      InputStream in = Resp.buffered(socket.getInputStream());
      while (true) {
        Resp.Answer answer = Resp.readAnswer(in);
        synchronized (open) {
          String id = open.poll();
          answered.incrementAndGet();
          record.line("client " + socket.getLocalPort() + " gets for " + id + ": " + answer.text());
        }
      }
    } catch (IOException e) {
      end = e.toString();
    }
    synchronized (open) {
      hasEnded[0] = true;
      record.line("client " + socket.getLocalPort() + ": " + end + ", unanswered " + open);
      if (open.isEmpty()) {
        return;
      }
      // A close over unread bytes resets the connection, LINGER_MS after the end of the answers. A write
      // fails after a reset, and succeeds after an end without one.
      boolean isReset = false;
      try {
        Thread.sleep(1000);
        socket.getOutputStream().write('*');
      } catch (IOException e) {
        isReset = true;
      } catch (InterruptedException e) {
        return;
      }
      (isReset ? unread : lost).addAndGet(open.size());
      record.line((isReset ? "reset, not read: " : "LOST: no reset, so read, and never answered: ") + open);
    }
  }
}
