import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Does a client ever get a value that was made for another request? One edge node, nine app
 * servers. The trouble: some good answers are followed by a second copy some milliseconds late, and
 * the edge node is held up now and then.
 */
public final class ForeignValue {
  private static final int SERVERS = 9;
  private static final int CLIENT_CONNECTIONS = 96;
  private static final double REQUESTS_PER_SECOND = 280;
  private static final int CUSTOMERS = 40;
  private static final double DOUBLED_SHARE = 0.2;
  private static final double SECOND_COPY_AFTER_MS = 6;
  private static final double HOLD_UP_S = 0.12;
  private static final long HOLD_UP_EVERY_MS = 500;

  private final boolean hasTrouble;
  private final int seconds;
  private final Record record;
  private final Map<String, String> requestsByValue = new ConcurrentHashMap<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger notServed = new AtomicInteger();
  private final AtomicInteger doubled = new AtomicInteger();
  private final AtomicInteger foreign = new AtomicInteger();
  private final BlockingQueue<Integer> due = new LinkedBlockingQueue<>();

  private ForeignValue(boolean hasTrouble, int seconds, Record record) {
    this.hasTrouble = hasTrouble;
    this.seconds = seconds;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    Path folder = Path.of(arguments[1]);
    int code;
    try (Record record = new Record(Path.of(arguments[0]))) {
      code = new ForeignValue(hasTrouble, Integer.parseInt(arguments[2]), record).run(folder);
    }
    System.exit(code == 1 ? 3 : code); // the JVM itself ends with 1
  }

  /** An app server: a connection carries its requests in order, the work takes 39 to 110 ms. */
  private LineServer appServer(int number, ScheduledExecutorService timers) throws IOException {
    Random random = new Random(number);
    Map<OutputStream, Integer> requestsOn = new ConcurrentHashMap<>();
    return new LineServer(
        (words, socket, out) -> {
          int place = requestsOn.merge(out, 1, Integer::sum);
          String id = words.get(2);
          boolean isEnrol = "enrol".equals(LineServer.field(words, "c"));
          Thread.sleep(isEnrol ? 64 + random.nextInt(47) : 39 + random.nextInt(29));
          byte[] answer = Resp.served(("record of " + id).getBytes(StandardCharsets.US_ASCII));
          boolean isDoubled = hasTrouble && random.nextDouble() < DOUBLED_SHARE;
          synchronized (out) {
            record.line("server " + number + " answers " + id + (isDoubled ? ", a second copy follows" : ""));
            out.write(answer);
          }
          if (isDoubled) {
            timers.schedule(
                () -> {
                  synchronized (out) {
                    try {
                      // only where nothing else waits on the connection
                      if (requestsOn.get(out) == place && socket.getInputStream().available() == 0) {
                        doubled.incrementAndGet();
                        record.line("server " + number + " sends a second copy of " + id);
                        out.write(answer);
                      }
                    } catch (IOException e) {
                      // the edge node has closed the connection
                    }
                  }
                },
                Math.round(SECOND_COPY_AFTER_MS * 1000),
                TimeUnit.MICROSECONDS);
          }
        });
  }

  private int run(Path folder) throws Exception {
    ScheduledExecutorService timers = Executors.newScheduledThreadPool(2);
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      hosts.add(Discovery.host("s-" + i, appServer(i, timers).address(), i / 3));
    }
    LineServer counter = LineServer.counter();
    String listen = "127.0.0.1:" + Node.freePort();
    Map<String, String> settings = Node.settings(0, 2);
    try (Discovery discovery = new Discovery(hosts);
        Node node =
            Node.start(
                folder,
                "n1",
                listen,
                discovery.address(),
                Node.config("n1", listen, null, discovery.address(), counter.address(), 1024, Node.json(settings)))) {
      if (!node.awaitReady()) {
        record.say("the edge node did not start: " + node.log());
        return 2;
      }
      for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
        LineServer.start(() -> client(node));
      }
      LineServer.start(this::arrivals);
      long untilNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
      while (System.nanoTime() < untilNanos) {
        Thread.sleep(HOLD_UP_EVERY_MS);
        if (hasTrouble && node.isAlive()) {
          node.holdUp(HOLD_UP_S, record);
        }
      }
      Thread.sleep(500);
      boolean isAlive = node.isAlive();
      record.say(
          "sent " + sent + ", served " + served + ", not served " + notServed + ", second copies sent " + doubled
              + ", values made for another request " + foreign + (isAlive ? "" : ", the edge node has ended"));
      return foreign.get() > 0 || !isAlive ? 1 : served.get() < sent.get() / 2 ? 2 : 0;
    } finally {
      timers.shutdownNow();
    }
  }

  private void arrivals() {
    Random random = new Random(7);
    double atMs = record.ms();
    for (int number = 0; ; number++) {
      atMs += -Math.log(1 - random.nextDouble()) * 1000 / REQUESTS_PER_SECOND;
      try {
        Thread.sleep(Math.max(0, Math.round(atMs - record.ms())));
      } catch (InterruptedException e) {
        return;
      }
      due.add(number);
    }
  }

  /** One kept connection, with one request at a time. */
  private void client(Node node) {
    while (true) {
      try (Socket socket = new Socket()) {
        socket.connect(node.address);
        socket.setTcpNoDelay(true);
        InputStream in = Resp.buffered(socket.getInputStream());
        while (true) {
          ask(due.take(), in, socket.getOutputStream());
        }
      } catch (IOException e) {
        // closed by the edge node: another one
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void ask(int number, InputStream in, OutputStream out) throws IOException {
    String id = String.format("%016x", 0x9b1f03aa00000000L + number);
    String customer = String.format("%016x", 0xb4d65521L + number % CUSTOMERS);
    boolean isEnrol = number % 12 < 5;
    String fields =
        (isEnrol ? "c=enrol,t=sede-mayor,d=3000,k=" + id : "c=seat-lookup,t=sede-mayor,d=2000")
            + ",units=1,spread=2,first=0";
    byte[] command =
        isEnrol
            ? Resp.command("CALL.POST", customer, id, fields, "BODY")
            : Resp.command("CALL.GET", customer, id, fields);
    sent.incrementAndGet();
    record.line("client sends " + id);
    out.write(command);
    Resp.Answer answer = Resp.readAnswer(in);
    record.line("client gets for " + id + ": " + answer.text());
    if (answer.value() == null) {
      notServed.incrementAndGet();
    } else if (answer.text().equals("record of " + id)) {
      served.incrementAndGet();
    } else {
      String text = "FOREIGN: the client of " + id + " was served '" + answer.text() + "'";
      record.line(text);
      if (foreign.incrementAndGet() <= 5) {
        System.out.println(text);
      }
    }
  }
}
