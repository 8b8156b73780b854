import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Does each request of an ordinary client get its final answer while other clients, which send many
 * commands at once, read their answers slowly? One edge node, nine app servers. Without the trouble
 * the same clients read as fast as they can.
 */
public final class SlowReaders {
  private static final int SERVERS = 9;
  private static final int CUSTOMERS = 40;
  private static final int WORK_MS = 50;

  /** Of the clients that send many commands at once; an answer is under the page's 64 KiB. */
  private static final int PIPELINING_CLIENTS = 20;

  private static final int COMMANDS_AT_ONCE = 200;
  private static final int VALUE_BYTES = 60_000;
  private static final long BATCH_EVERY_MS = 10_000;
  private static final double SLOW_BYTES_PER_SECOND = 200_000;

  private static final int ORDINARY_CLIENTS = 8;
  private static final int PAUSE_MS = 100;

  /** An answer later than this after the client's time is lost, by the page. */
  private static final int LOST_AFTER_MS = 500;

  private final boolean hasTrouble;
  private final Record record;
  private final AtomicInteger ids = new AtomicInteger();
  private final AtomicInteger sent = new AtomicInteger();
  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refusedOrFailed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger batchCommands = new AtomicInteger();
  private final AtomicInteger batchAnswers = new AtomicInteger();
  private final AtomicLong longestMs = new AtomicLong();
  private double lastAnswerAtMs;
  private double longestSilenceMs;
  private volatile boolean isOver;

  private SlowReaders(boolean hasTrouble, Record record) {
    this.hasTrouble = hasTrouble;
    this.record = record;
  }

  public static void main(String[] arguments) throws Exception {
    int code;
    try (Record record = new Record(Path.of(arguments[0]))) {
      code =
          new SlowReaders(!"0".equals(System.getenv("TROUBLE")), record)
              .run(Path.of(arguments[1]), Integer.parseInt(arguments[2]));
    }
    System.exit(code == 1 ? 3 : code); // the JVM itself ends with 1
  }

  private int run(Path folder, int seconds) throws Exception {
    byte[] longValue = new byte[VALUE_BYTES];
    List<String> hosts = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      LineServer server =
          new LineServer(
              (words, socket, out) -> {
                Thread.sleep(WORK_MS);
                boolean isShort = words.get(2).startsWith("aaaa");
                out.write(
                    Resp.served(
                        isShort
                            ? ("record of " + words.get(2)).getBytes(StandardCharsets.US_ASCII)
                            : longValue));
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
                Node.config("n1", listen, null, discovery.address(), counter.address(), 1024, Node.json(settings)))) {
      if (!node.awaitReady()) {
        record.say("the edge node did not start: " + node.log());
        return 2;
      }
      for (int i = 0; i < ORDINARY_CLIENTS; i++) {
        LineServer.start(() -> ordinaryClient(node));
      }
      Thread.sleep(5000);
      for (int i = 0; i < PIPELINING_CLIENTS; i++) {
        LineServer.start(() -> pipeliningClient(node));
        Thread.sleep(BATCH_EVERY_MS / PIPELINING_CLIENTS);
      }
      Thread.sleep(seconds * 1000L);
      boolean isAlive = node.isAlive();
      isOver = true;
      Thread.sleep(3000); // the last answers
      record.say(
          "ordinary clients: sent " + sent + ", served " + served + ", refused or failed " + refusedOrFailed
              + ", lost " + lost + ", longest wait " + longestMs + " ms, no answer to any of them for " + Math.round(longestSilenceMs) + " ms; sent at once " + batchCommands
              + " commands, answered " + batchAnswers + (isAlive ? "" : "; the edge node has ended"));
      record.line("log of the edge node: " + node.log());
      return lost.get() > 0 || !isAlive ? 1 : served.get() < sent.get() / 2 ? 2 : 0;
    }
  }

  /** Eight clients ask all the time: the edge node is silent from one answer to the next. */
  private synchronized void noteAnswer() {
    double nowMs = record.ms();
    longestSilenceMs = Math.max(longestSilenceMs, lastAnswerAtMs > 0 ? nowMs - lastAnswerAtMs : 0);
    lastAnswerAtMs = nowMs;
  }

  private String nextId(String prefix) {
    return prefix + String.format("%012x", ids.incrementAndGet());
  }

  private static String customer(int number) {
    return String.format("%016x", 0xb4d65521L + number % CUSTOMERS);
  }

  // ---- ordinary clients ----

  /** One request at a time, on a kept connection. */
  private void ordinaryClient(Node node) {
    while (!isOver) {
      try (Socket socket = new Socket()) {
        socket.connect(node.address);
        socket.setTcpNoDelay(true);
        InputStream in = Resp.buffered(socket.getInputStream());
        boolean isOpen = true;
        while (isOpen && !isOver) {
          isOpen = ask(socket, in);
          Thread.sleep(PAUSE_MS);
        }
      } catch (IOException e) {
        record.line("ordinary client: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Whether the connection can be kept. */
  private boolean ask(Socket socket, InputStream in) throws IOException {
    String id = nextId("aaaa");
    int number = ids.get();
    boolean isEnrol = number % 12 < 5;
    int waitMs = isEnrol ? 3000 : 2000;
    String rest = ",t=sede-mayor,d=" + waitMs + (isEnrol ? ",k=" + id : "") + ",units=1,spread=2,first=0";
    byte[] command =
        isEnrol
            ? Resp.command("CALL.POST", customer(number), id, "c=enrol" + rest, "BODY")
            : Resp.command("CALL.GET", customer(number), id, "c=seat-lookup" + rest);
    sent.incrementAndGet();
    record.line("ordinary client sends " + id + " d=" + waitMs);
    double fromMs = record.ms();
    socket.getOutputStream().write(command);
    socket.setSoTimeout(waitMs + LOST_AFTER_MS);
    try {
      Resp.Answer answer = Resp.readAnswer(in);
      double tookMs = record.ms() - fromMs;
      longestMs.accumulateAndGet(Math.round(tookMs), Math::max);
      noteAnswer();
      record.line("ordinary client gets for " + id + " after " + Math.round(tookMs) + " ms: " + answer.text());
      if (answer.value() != null) {
        served.incrementAndGet();
      } else {
        refusedOrFailed.incrementAndGet();
      }
      return true;
    } catch (SocketTimeoutException e) {
      lost.incrementAndGet();
      record.line("LOST: no answer for " + id + " within its time and half a second");
      return false;
    }
  }

  // ---- clients that send many commands at once ----

  private void pipeliningClient(Node node) {
    while (!isOver) {
      double fromMs = record.ms();
      int answers = 0;
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(64 << 10);
        socket.connect(node.address);
        ByteArrayOutputStream commands = new ByteArrayOutputStream();
        for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
          commands.write(
              Resp.command(
                  "CALL.GET",
                  customer(i),
                  nextId("bbbb"),
                  "c=seat-lookup,t=sede-mayor,d=2000,units=1,spread=2,first=0"));
        }
        batchCommands.addAndGet(COMMANDS_AT_ONCE);
        record.line("a client sends " + COMMANDS_AT_ONCE + " commands at once");
        socket.getOutputStream().write(commands.toByteArray());
        socket.setSoTimeout(20_000);
        InputStream in = hasTrouble ? slow(socket.getInputStream()) : Resp.buffered(socket.getInputStream());
        for (; answers < COMMANDS_AT_ONCE; answers++) {
          Resp.readAnswer(in);
          batchAnswers.incrementAndGet();
        }
        record.line("it has its " + answers + " answers");
        Thread.sleep(Math.max(0, Math.round(fromMs + BATCH_EVERY_MS - record.ms())));
      } catch (IOException e) {
        record.line("it has " + answers + " answers, then: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** Reads a few KB at a time, at a steady rate. */
  private static InputStream slow(InputStream in) {
    long startedNanos = System.nanoTime();
    return new InputStream() {
      private long count;

      @Override
      public int read() throws IOException {
        count++;
        return in.read();
      }

      @Override
      public int read(byte[] bytes, int offset, int length) throws IOException {
        int read = in.read(bytes, offset, Math.min(length, 8192));
        count += read;
        double aheadMs = count * 1000 / SLOW_BYTES_PER_SECOND - (System.nanoTime() - startedNanos) / 1e6;
        if (aheadMs > 1) {
          try {
            Thread.sleep((long) aheadMs);
          } catch (InterruptedException e) {
            throw new IOException(e);
          }
        }
        return read;
      }
    };
  }
}
