import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A crowd writes commands slowly, in pieces, and stops half way. The requests of ordinary clients
 * must be answered.
 */
final class HalfWay extends Case {
  /** At a time; one that is turned away comes again. */
  private static final int CROWD = 400;

  /** Under the 64 KiB that a value may hold. */
  private static final int BODY_BYTES = 60_000;

  private static final int PIECE_BYTES = 3000;
  private static final int PIECE_EVERY_MS = 80;
  private static final int MISSING_BYTES = 1000;
  private static final int COME_AGAIN_AFTER_MS = 1000;
  private static final int CALM_MS = 3000;
  private static final int TROUBLE_MS = 12_000;
  private static final int REQUEST_EVERY_MS = 50;

  /** How long a client waits. */
  private static final int WAIT_MS = 2000;

  /** Half a second, the grace to answer (16 ms), and what a time limit is longer on sockets (50 ms). */
  private static final int GRACE_MS = 566;

  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger sentAgain = new AtomicInteger();
  private final AtomicInteger notSent = new AtomicInteger();
  private final AtomicInteger inCrowd = new AtomicInteger();
  private final ArrayDeque<Client> idle = new ArrayDeque<>();
  private String address;

  public static void main(String[] arguments) {
    new HalfWay().main(arguments[0]);
  }

  @Override
  boolean run() throws Exception {
    Agent agent = new Agent();
    for (int i = 0; i < 9; i++) {
      AppServer server =
          new AppServer(
              "s-" + i,
              (self, command, out) -> {
                ran.add(command.id());
                record.line(self.host + " runs " + command.id());
                Thread.sleep(60);
                AppServer.answer(out, "enrolled " + command.id());
              });
      agent.change(server.host, Agent.entry(server.host, server.address(), 1, "active", 0), false);
    }
    Config config = new Config();
    config.discovery = agent.address();
    config.counter = new Counter().address();
    config.known = agent.whole();
    address = config.listen;
    NodeProcess node = NodeProcess.start("n0", temporary, newTmp(), config.json("n0"), Map.of());
    Client.awaitYes(address, node, 15_000);
    List<Thread> requests = new ArrayList<>();
    double beginMs = Record.nowMs();
    boolean isCrowdStillToCome = hasTrouble;
    while (Record.nowMs() - beginMs < CALM_MS + TROUBLE_MS) {
      if (isCrowdStillToCome && Record.nowMs() - beginMs > CALM_MS) {
        isCrowdStillToCome = false;
        record.say("a crowd comes, " + CROWD + " at a time; " + answered + " answered so far, " + lost + " lost");
        for (int i = 0; i < CROWD; i++) {
          Threads.start("crowd", this::comeInCrowd);
        }
      }
      requests.add(Threads.start("request", this::request));
      Thread.sleep(REQUEST_EVERY_MS);
    }
    for (Thread request : requests) {
      request.join(10_000);
    }
    record.say("ordinary requests: answered " + answered + ", lost " + lost + ", sent once more " + sentAgain
        + ", not sent " + notSent + "; connections of the crowd " + inCrowd);
    if (!node.isAlive()) {
      record.say("the edge node has ended");
      return false;
    }
    return lost.get() == 0;
  }

  private void comeInCrowd() throws InterruptedException {
    while (true) {
      inCrowd.incrementAndGet();
      try (Client client = Client.connect(address)) {
        byte[] command = Client.enrol(Client.newId(), Client.newId(), 3000, "b".repeat(BODY_BYTES));
        int end = command.length - MISSING_BYTES;
        for (int from = 0; from < end; from += PIECE_BYTES) {
          client.out.write(command, from, Math.min(PIECE_BYTES, end - from));
          Thread.sleep(PIECE_EVERY_MS);
        }
        client.in.read(); // until the edge node turns it away
      } catch (IOException e) {
        // it was turned away
      }
      Thread.sleep(COME_AGAIN_AFTER_MS);
    }
  }

  /** One request, sent once more where its connection ends before an app server has run it. */
  private void request() {
    String id = Client.newId();
    byte[] command = Client.enrol(id, id, WAIT_MS, "n".repeat(BODY_BYTES));
    Client client;
    synchronized (idle) {
      client = idle.pollLast();
    }
    for (int attempt = 0; attempt < 2; attempt++) {
      boolean isSent = false;
      double sentMs = 0;
      String end;
      try {
        if (client == null) {
          client = Client.connect(address);
        }
        client.socket.setSoTimeout(WAIT_MS + GRACE_MS);
        client.out.write(command);
        isSent = true;
        sentMs = Record.nowMs();
        Object answer = Resp.read(client.in);
        record.line(id + ": answered after " + Math.round(Record.nowMs() - sentMs) + " ms, " + Resp.show(answer));
        answered.incrementAndGet();
        synchronized (idle) {
          idle.add(client);
        }
        return;
      } catch (IOException e) {
        end = e.getMessage();
        if (client != null) {
          client.close();
          client = null;
        }
      }
      if (!isSent) {
        notSent.incrementAndGet();
        record.line(id + ": not sent to its last byte, " + end);
        return;
      }
      boolean isOver = ran.contains(id) || Record.nowMs() - sentMs >= WAIT_MS;
      if (attempt == 0 && !isOver) {
        sentAgain.incrementAndGet();
        record.line(id + ": no answer, " + end + "; it is sent once more on a new connection");
      } else {
        lost.incrementAndGet();
        record.line(id + ": LOST, no whole answer, " + end + (ran.contains(id) ? "; an app server has run it" : ""));
        return;
      }
    }
  }
}
