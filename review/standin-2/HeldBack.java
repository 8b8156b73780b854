import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Some clients read long values as fast as they come. Then many others read long values slowly. The
 * former must still get what their app servers give, with no pause of 2 s.
 */
final class HeldBack extends Case {
  private static final int VALUE_BYTES = 4 << 20;
  private static final byte[] PIECE = new byte[16 << 10];

  /** A prompt client's app server gives a piece at this interval: the value takes 26 s. */
  private static final int PIECE_EVERY_MS = 100;

  private static final int PROMPT_CLIENTS = 8;
  private static final int SLOW_CLIENTS = 230;
  private static final int SLOW_CLIENT_EVERY_MS = 15;
  private static final int SLOW_READ_BYTES = 8 << 10;
  private static final int SLOW_READ_EVERY_MS = 500;

  /** The rest must not be held back for 2 s; each time limit is 50 ms longer on sockets. */
  private static final int MAX_PAUSE_MS = 2050;

  /** Bytes that may be on their way between app server and client. */
  private static final int ON_THE_WAY_BYTES = 4 * PIECE.length;

  /** So long after the slow clients came they leave, and so long after that the test ends. */
  private static final int SLOW_CLIENTS_STAY_MS = 15_000;

  private static final int AFTERWARDS_MS = 10_000;

  private final Map<String, AtomicLong> given = new ConcurrentHashMap<>();
  private final List<Client> slowClients = new ArrayList<>();
  private final AtomicInteger slowBegun = new AtomicInteger();
  private final AtomicInteger slowRefused = new AtomicInteger();
  private final AtomicInteger heldBack = new AtomicInteger();
  private final AtomicInteger whole = new AtomicInteger();
  private volatile boolean haveSlowClientsLeft;
  private volatile boolean isOver;
  private String address;

  public static void main(String[] arguments) {
    new HeldBack().main(arguments[0]);
  }

  @Override
  boolean run() throws Exception {
    Agent agent = new Agent();
    for (int i = 0; i < 9; i++) {
      AppServer server = new AppServer("s-" + i, this::giveValue);
      agent.change(server.host, Agent.entry(server.host, server.address(), 1, "active", 0), false);
    }
    Config config = new Config();
    config.discovery = agent.address();
    config.counter = new Counter().address();
    config.known = agent.whole();
    address = config.listen;
    NodeProcess node = NodeProcess.start("n0", temporary, newTmp(), config.json("n0"), Map.of());
    Client.awaitYes(address, node, 15_000);
    List<Thread> prompt = new ArrayList<>();
    for (int i = 0; i < PROMPT_CLIENTS; i++) {
      int number = i;
      prompt.add(Threads.start("prompt client", () -> readPromptly(number)));
    }
    Thread.sleep(1000);
    for (int i = 0; hasTrouble && i < SLOW_CLIENTS; i++) {
      Threads.start("slow client", this::readSlowly);
      Thread.sleep(SLOW_CLIENT_EVERY_MS);
    }
    Thread.sleep(SLOW_CLIENTS_STAY_MS);
    record.say("slow clients: " + slowBegun + " values begun, " + slowRefused + " refused; they leave now");
    haveSlowClientsLeft = true;
    synchronized (slowClients) {
      slowClients.forEach(Client::close);
    }
    Thread.sleep(AFTERWARDS_MS);
    isOver = true;
    for (Thread thread : prompt) {
      thread.join(2000);
    }
    record.say("prompt clients: " + whole + " of " + PROMPT_CLIENTS + " got the whole value, " + heldBack
        + " were held back for more than " + MAX_PAUSE_MS + " ms or cut off");
    if (!node.isAlive()) {
      record.say("the edge node has ended");
      return false;
    }
    return heldBack.get() == 0;
  }

  private void giveValue(AppServer self, AppServer.Command command, OutputStream out)
      throws IOException, InterruptedException {
    AtomicLong bytes = given.computeIfAbsent(command.id(), id -> new AtomicLong());
    boolean isForPromptClient = command.verb().equals("CALL.POST");
    Thread.sleep(50);
    out.write(Resp.ascii("*3\r\n$" + VALUE_BYTES + "\r\n"));
    for (int sent = 0; sent < VALUE_BYTES; sent += PIECE.length) {
      out.write(PIECE);
      out.flush();
      bytes.addAndGet(PIECE.length);
      if (isForPromptClient) {
        Thread.sleep(PIECE_EVERY_MS);
      }
    }
    out.write(Resp.ascii("\r\n$-1\r\n$-1\r\n"));
  }

  private void readPromptly(int number) throws IOException {
    String id = Client.newId();
    Client client = Client.connect(address);
    client.socket.setSoTimeout(100);
    client.out.write(Client.enrol(id, Client.newId(), 3000, "body"));
    String name = "prompt client " + number + ", " + id;
    record.line(name + ": sent");
    InputStream in = client.socket.getInputStream();
    byte[] buffer = new byte[64 << 10];
    String header = "$" + VALUE_BYTES + "\r\n";
    long total = header.length() + VALUE_BYTES + 2;
    long got = 0;
    double lastMs = Record.nowMs();
    boolean isHeldBack = false;
    while (got < total && !isOver) {
      try {
        int count = in.read(buffer);
        if (count < 0 || got == 0 && buffer[0] != '$') {
          record.say(name + ": ended after " + got + " bytes");
          isHeldBack = got > 0;
          break;
        }
        if (isHeldBack) {
          record.line(name + ": goes on after " + Math.round(Record.nowMs() - lastMs) + " ms");
        }
        got += count;
        lastMs = Record.nowMs();
      } catch (SocketTimeoutException e) {
        AtomicLong fromServer = given.get(id);
        if (!isHeldBack
            && got > 0
            && Record.nowMs() - lastMs > MAX_PAUSE_MS
            && fromServer.get() > got + ON_THE_WAY_BYTES) {
          isHeldBack = true;
          record.say(name + ": HELD BACK, nothing for " + Math.round(Record.nowMs() - lastMs) + " ms; has " + got
              + " bytes, its app server has written " + fromServer + " and goes on");
        }
      }
    }
    if (got == total) {
      whole.incrementAndGet();
      record.line(name + ": has the whole value");
    } else {
      record.line(name + ": has " + got + " bytes at the end, the last of them "
          + Math.round(Record.nowMs() - lastMs) + " ms ago");
    }
    heldBack.addAndGet(isHeldBack ? 1 : 0);
  }

  private void readSlowly() throws IOException, InterruptedException {
    while (!haveSlowClientsLeft) {
      try (Client client = new Client()) {
        synchronized (slowClients) {
          slowClients.add(client);
        }
        client.socket.setReceiveBufferSize(32 << 10);
        client.socket.connect(Client.address(address), 5000);
        client.socket.getOutputStream().write(Client.lookup(Client.newId(), 2000));
        InputStream in = client.socket.getInputStream();
        if (in.read() != '$') {
          slowRefused.incrementAndGet();
          Thread.sleep(1000);
          continue;
        }
        slowBegun.incrementAndGet();
        byte[] buffer = new byte[SLOW_READ_BYTES];
        while (in.read(buffer) > 0) {
          Thread.sleep(SLOW_READ_EVERY_MS);
        }
      }
    }
  }
}
