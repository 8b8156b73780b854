import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** A crowd connects and idles. The requests of ordinary clients must be answered in time. */
final class Crowd extends Case {
  private static final int CROWD = 1000;

  /** Half of the descriptors. */
  private static final int SOCKETS = 512;

  private static final int REQUESTS = 120;
  private static final int INTERVAL_MS = 50;
  private static final int CROWD_BEFORE_REQUEST = 40;

  /** How long a client waits: the whole give-up time of the class. */
  private static final int WAIT_MS = 2000;

  /** Half a second, the grace to answer (16 ms), and what a time limit is longer on sockets (50 ms). */
  private static final int GRACE_MS = 566;

  private final ArrayDeque<Client> idle = new ArrayDeque<>();
  private final List<SocketChannel> crowd = new ArrayList<>();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger notAccepted = new AtomicInteger();
  private String address;

  public static void main(String[] arguments) {
    new Crowd().main(arguments[0]);
  }

  @Override
  boolean run() throws Exception {
    Agent agent = new Agent();
    for (int i = 0; i < 3; i++) {
      AppServer server =
          new AppServer(
              "s-" + i,
              (self, command, out) -> {
                record.line(self.host + " runs " + command.id());
                Thread.sleep(50);
                AppServer.answer(out, "seats " + command.id());
              });
      agent.change(server.host, Agent.entry(server.host, server.address(), 1, "active", 0), false);
    }
    Config config = new Config();
    config.discovery = agent.address();
    config.counter = new Counter().address();
    config.known = agent.whole();
    config.sockets = SOCKETS;
    config.memoryMb = 96;
    address = config.listen;
    NodeProcess node = NodeProcess.start("n0", temporary, newTmp(), config.json("n0"), Map.of());
    Client.awaitYes(address, node, 15_000);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < REQUESTS; i++) {
      if (hasTrouble && i == CROWD_BEFORE_REQUEST) {
        Threads.start("crowd", this::comeInCrowd);
      }
      threads.add(Threads.start("request", this::request));
      Thread.sleep(INTERVAL_MS);
    }
    for (Thread thread : threads) {
      thread.join(10_000);
    }
    record.say("answered in time " + answered + ", lost " + lost + ", not accepted " + notAccepted);
    if (!node.isAlive()) {
      record.say("the edge node has ended");
      return false;
    }
    return lost.get() == 0;
  }

  private void comeInCrowd() throws IOException {
    InetSocketAddress to = Client.address(address);
    double beginMs = Record.nowMs();
    for (int i = 0; i < CROWD; i++) {
      SocketChannel channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.connect(to);
      crowd.add(channel);
    }
    record.say("a crowd of " + CROWD + " has come within " + Math.round(Record.nowMs() - beginMs)
        + " ms, and idles");
  }

  private Client newClient() throws IOException {
    Client client = new Client();
    client.socket.setTcpNoDelay(true);
    client.socket.connect(Client.address(address), WAIT_MS);
    client.in = new BufferedInputStream(client.socket.getInputStream());
    client.out = client.socket.getOutputStream();
    return client;
  }

  /** One request, on an idle connection or a new one. */
  private void request() {
    String id = Client.newId();
    Client client;
    synchronized (idle) {
      client = idle.pollLast();
    }
    boolean mayEndUnread = client != null;
    while (true) {
      if (client == null) {
        try {
          client = newClient();
        } catch (IOException e) {
          notAccepted.incrementAndGet();
          record.line(id + ": not accepted, " + e.getMessage());
          return;
        }
      }
      double sentMs = 0;
      try {
        client.socket.setSoTimeout(WAIT_MS + GRACE_MS);
        client.out.write(Client.lookup(id, WAIT_MS));
        sentMs = Record.nowMs();
        record.line(id + ": sent");
        Object answer = Resp.read(client.in);
        record.line(id + ": answered after " + Math.round(Record.nowMs() - sentMs) + " ms, " + Resp.show(answer));
        answered.incrementAndGet();
        synchronized (idle) {
          idle.add(client);
        }
        return;
      } catch (SocketTimeoutException e) {
        lost.incrementAndGet();
        record.line(id + ": LOST, no answer within " + (WAIT_MS + GRACE_MS) + " ms on a connection that was accepted");
        client.close();
        return;
      } catch (IOException e) {
        client.close();
        client = null;
        if (!mayEndUnread) {
          if (sentMs > 0) {
            lost.incrementAndGet();
          }
          record.line(id + ": " + (sentMs > 0 ? "LOST, " : "not sent, ") + e.getMessage());
          return;
        }
        mayEndUnread = false;
        record.line(id + ": its connection was closed between requests, it is sent once more on a new one");
      }
    }
  }
}
