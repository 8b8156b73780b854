import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Does each request on a new connection get its final answer while a crowd of clients connects and
 * idles? One edge node with half of the descriptors, nine app servers, ordinary clients that open a
 * connection for every request.
 */
public final class Crowd {
  private static final int SERVERS = 9;
  private static final int CUSTOMERS = 40;
  private static final int WORK_MS = 50;
  private static final int DESCRIPTORS = 512;
  private static final int ORDINARY_CLIENTS = 8;
  private static final int PAUSE_MS = 150;

  /** The crowd: so many connections at once, held for so long, again and again. */
  private static final int CROWD = Integer.getInteger("crowd", 1000);

  private static final int CROWD_EVERY_MS = 10_000;

  /** An answer later than this after the client's time is lost, by the page. */
  private static final int LOST_AFTER_MS = 500;

  private final boolean hasTrouble;
  private final Record record;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger shut = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger notConnected = new AtomicInteger();
  private final AtomicLong longestMs = new AtomicLong();
  private volatile boolean isOver;

  private Crowd(boolean hasTrouble, Record record) {
    this.hasTrouble = hasTrouble;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Record record = new Record(Path.of(arguments[0]))) {
      code =
          new Crowd(!"0".equals(System.getenv("TROUBLE")), record)
              .run(Path.of(arguments[1]), Integer.parseInt(arguments[2]));
    }
    System.exit(code == 1 ? 3 : code); // the JVM itself ends with 1
  }

  private int run(Path folder, int seconds) throws Exception {
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      LineServer server =
          new LineServer(
              (words, socket, out) -> {
                Thread.sleep(WORK_MS);
                out.write(Resp.served(("record of " + words.get(2)).getBytes(StandardCharsets.US_ASCII)));
              });
      hosts.add(Discovery.host("s-" + i, server.address(), i / 3));
    }
    String listen = "127.0.0.1:" + Node.freePort();
    Map<String, String> settings = Node.settings(0, 2);
    settings.put("tariffs", "[" + Node.plan("sede-mayor", 56, 92, 0, 0, 0) + "]");
    try (Discovery discovery = new Discovery(hosts);
        LineServer counter = LineServer.counter();
        Node node =
            Node.start(
                folder,
                "n1",
                listen,
                discovery.address(),
                Node.config("n1", listen, null, discovery.address(), counter.address(), DESCRIPTORS, Node.json(settings)))) {
      if (!node.awaitReady()) {
        record.say("the edge node did not start: " + node.log());
        return 2;
      }
      for (int i = 0; i < ORDINARY_CLIENTS; i++) {
        LineServer.start(() -> ordinaryClient(node));
      }
      Thread.sleep(3000);
      double untilMs = record.ms() + seconds * 1000.0;
      while (record.ms() < untilMs) {
        List<SocketChannel> crowd = new ArrayList<>();
        if (hasTrouble) {
          record.line("a crowd of " + CROWD + " connects and idles");
          for (int i = 0; i < CROWD; i++) {
            SocketChannel silent = SocketChannel.open();
            silent.configureBlocking(false);
            silent.connect(new InetSocketAddress(node.address.getAddress(), node.address.getPort()));
            crowd.add(silent);
          }
        }
        Thread.sleep(CROWD_EVERY_MS);
        for (SocketChannel silent : crowd) {
          silent.close();
        }
      }
      boolean isAlive = node.isAlive();
      isOver = true;
      Thread.sleep(4000); // the last answers
      record.say(
          "ordinary clients: sent " + sent + ", answered " + answered + ", shut unread " + shut + ", not connected "
              + notConnected + ", lost " + lost + ", longest wait " + longestMs + " ms"
              + (isAlive ? "" : "; the edge node has ended"));
      record.line("log of the edge node: " + node.log());
      return lost.get() > 0 || !isAlive ? 1 : answered.get() < sent.get() / 2 ? 2 : 0;
    }
  }

  private void ordinaryClient(Node node) {
    while (!isOver) {
      try {
        ask(node);
        Thread.sleep(PAUSE_MS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void ask(Node node) {
    int number = ids.incrementAndGet();
    String id = String.format("9b1f03aa%08x", number);
    boolean isEnrol = number % 12 < 5;
    int waitMs = isEnrol ? 3000 : 2000;
    String customer = String.format("%016x", 0xb4d65521L + number % CUSTOMERS);
    String rest = ",t=sede-mayor,d=" + waitMs + (isEnrol ? ",k=" + id : "") + ",units=1,spread=2,first=0";
    try (Socket socket = new Socket()) {
      try {
        socket.connect(node.address, 500);
      } catch (IOException e) {
        notConnected.incrementAndGet();
        record.line("no connection: " + e);
        return;
      }
      socket.setTcpNoDelay(true);
      double fromMs = record.ms();
      sent.incrementAndGet();
      record.line("client sends " + id + " d=" + waitMs);
      socket
          .getOutputStream()
          .write(
              isEnrol
                  ? Resp.command("CALL.POST", customer, id, "c=enrol" + rest, "BODY")
                  : Resp.command("CALL.GET", customer, id, "c=seat-lookup" + rest));
      socket.setSoTimeout(waitMs + LOST_AFTER_MS);
      InputStream in = Resp.buffered(socket.getInputStream());
      Resp.Answer answer = Resp.readAnswer(in);
      double tookMs = record.ms() - fromMs;
      longestMs.accumulateAndGet(Math.round(tookMs), Math::max);
      answered.incrementAndGet();
      record.line("client gets for " + id + " after " + Math.round(tookMs) + " ms: " + answer.text());
    } catch (SocketTimeoutException e) {
      lost.incrementAndGet();
      record.line("LOST: no answer for " + id + " within its time and half a second, and no end either");
    } catch (IOException e) {
      shut.incrementAndGet();
      record.line("shut: " + id + ", " + e);
    }
  }
}
