import java.io.IOException;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Two commands on one connection: a look-up with a long value, and an enrolment behind it. The app
 * server of the first dies within the value, that of the second answers. The second must be
 * answered.
 */
final class BehindBroken extends Case {
  private static final int VALUE_BYTES = 1 << 20;
  private static final byte[] PIECE = new byte[16 << 10];

  /** The value takes 2 s. */
  private static final int PIECE_EVERY_MS = 30;

  private static final int ENROL_MS = 80;
  private static final int WAIT_MS = 3000;
  private static final int GRACE_MS = 566;
  private static final int ROUNDS = 3;

  private final Map<String, AppServer> ranAt = new ConcurrentHashMap<>();
  private final Map<String, Double> answeredAtMs = new ConcurrentHashMap<>();

  public static void main(String[] arguments) {
    new BehindBroken().main(arguments[0]);
  }

  @Override
  boolean run() throws Exception {
    Agent agent = new Agent();
    for (int i = 0; i < 9; i++) {
      AppServer server = new AppServer("s-" + i, this::work);
      agent.change(server.host, Agent.entry(server.host, server.address(), 1, "active", 0), false);
    }
    Config config = new Config();
    config.discovery = agent.address();
    config.counter = new Counter().address();
    config.known = agent.whole();
    NodeProcess node = NodeProcess.start("n0", temporary, newTmp(), config.json("n0"), Map.of());
    Client.awaitYes(config.listen, node, 15_000);
    int lost = 0;
    int rounds = 0;
    for (int attempt = 0; attempt < 3 * ROUNDS && rounds < ROUNDS && lost == 0; attempt++) {
      Boolean isAnswered = round(config.listen);
      if (isAnswered != null) {
        rounds++;
        lost += isAnswered ? 0 : 1;
      }
    }
    if (rounds == 0) {
      throw new IOException("both commands went to one app server each time");
    }
    return lost == 0;
  }

  private void work(AppServer self, AppServer.Command command, OutputStream out)
      throws IOException, InterruptedException {
    ranAt.put(command.id(), self);
    record.line(self.host + " runs " + command.verb() + " " + command.id());
    if (command.verb().equals("CALL.POST")) {
      Thread.sleep(ENROL_MS);
      AppServer.answer(out, "enrolled " + command.id());
      out.flush();
      answeredAtMs.put(command.id(), Record.nowMs());
      record.line(self.host + " answers " + command.id());
      return;
    }
    Thread.sleep(50);
    out.write(Resp.ascii("*3\r\n$" + VALUE_BYTES + "\r\n"));
    for (int sent = 0; sent < VALUE_BYTES; sent += PIECE.length) {
      out.write(PIECE);
      out.flush();
      Thread.sleep(PIECE_EVERY_MS);
    }
    out.write(Resp.ascii("\r\n$-1\r\n$-1\r\n"));
  }

  /** Whether the second command was answered; null where both went to one app server. */
  private Boolean round(String address) throws Exception {
    String first = Client.newId();
    String second = Client.newId();
    try (Client client = Client.connect(address)) {
      client.out.write(Client.lookup(first, 2000));
      client.out.write(Client.enrol(second, Client.newId(), WAIT_MS, "body"));
      double sentMs = Record.nowMs();
      record.line("sent on one connection: " + first + ", " + second);
      while (!answeredAtMs.containsKey(second) && Record.nowMs() - sentMs < WAIT_MS) {
        Thread.sleep(10);
      }
      AppServer dying = ranAt.get(first);
      if (dying == null || dying == ranAt.get(second)) {
        return null;
      }
      Thread.sleep(300);
      if (hasTrouble) {
        record.say("app server " + dying.host + " dies while it gives the value of " + first);
        dying.die();
      }
      client.socket.setSoTimeout(WAIT_MS + GRACE_MS);
      try {
        record.say(first + ": " + Resp.show(Resp.read(client.in)));
      } catch (IOException e) {
        record.say(first + ": failed, " + e.getMessage());
      }
      try {
        record.say(second + ": answered after " + Math.round(Record.nowMs() - sentMs) + " ms, "
            + Resp.show(Resp.read(client.in)));
        return true;
      } catch (IOException e) {
        record.say(second + ": LOST, " + e.getMessage() + " after " + Math.round(Record.nowMs() - sentMs)
            + " ms; " + ranAt.get(second).host + " has run and answered it");
        return false;
      }
    }
  }
}
