import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;

/** A client reads a long value slowly and steadily; it must get all that its app server gives. */
final class SlowStream extends Case {
  private static final int VALUE_BYTES = 4 << 20;
  private static final int PIECE_BYTES = 2048;
  private static final int PAUSE_MS = 200;
  private static final int SLOW_MS = 75_000;

  private final AtomicReference<String> serverEnd = new AtomicReference<>("not asked");

  public static void main(String[] arguments) {
    new SlowStream().main(arguments[0]);
  }

  @Override
  boolean run() throws Exception {
    Agent agent = new Agent();
    AppServer server = new AppServer("s-0", this::writeLongValue);
    agent.change(server.host, Agent.entry(server.host, server.address(), 1, "active", 0), false);
    Config config = new Config();
    config.discovery = agent.address();
    config.counter = new Counter().address();
    config.known = agent.whole();
    NodeProcess node = NodeProcess.start("n0", temporary, newTmp(), config.json("n0"), Map.of());
    Client.awaitYes(config.listen, node, 15_000);

    Client client = new Client();
    client.socket.setReceiveBufferSize(64 << 10);
    client.socket.connect(Client.address(config.listen), 5000);
    client.socket.setSoTimeout(10_000);
    client.socket.getOutputStream().write(Client.lookup(Client.newId(), 2000));
    InputStream in = client.socket.getInputStream();
    double beginMs = Record.nowMs();
    byte[] header = in.readNBytes(("$" + VALUE_BYTES + "\r\n").length());
    record.say("first bytes after " + Math.round(Record.nowMs() - beginMs) + " ms: " + new String(header).trim());
    long got = 0;
    double longestGapMs = 0;
    byte[] buffer = new byte[64 << 10];
    while (got < VALUE_BYTES) {
      boolean isSlow = hasTrouble && Record.nowMs() - beginMs < SLOW_MS;
      double askedMs = Record.nowMs();
      int count = in.read(buffer, 0, isSlow ? PIECE_BYTES : (int) Math.min(buffer.length, VALUE_BYTES - got));
      longestGapMs = Math.max(longestGapMs, Record.nowMs() - askedMs);
      if (count < 0) {
        break;
      }
      got += count;
      if (isSlow) {
        Thread.sleep(PAUSE_MS);
        if (got % (PIECE_BYTES * 50) == 0) {
          record.line("client has " + got + " bytes; app server: " + serverEnd.get());
        }
      }
    }
    record.say("client got " + got + " of " + VALUE_BYTES + " bytes, longest wait for bytes "
        + Math.round(longestGapMs) + " ms; app server: " + serverEnd.get());
    return got == VALUE_BYTES && in.readNBytes(2).length == 2;
  }

  private void writeLongValue(AppServer self, AppServer.Command command, OutputStream out) throws IOException {
    record.line("app server runs " + command.id());
    serverEnd.set("writing");
    try {
      out.write(Resp.ascii("*3\r\n$" + VALUE_BYTES + "\r\n"));
      byte[] piece = new byte[8 << 10];
      for (int i = 0; i < VALUE_BYTES / piece.length; i++) {
        out.write(piece);
        out.flush();
      }
      out.write(Resp.ascii("\r\n$-1\r\n$-1\r\n"));
      out.flush();
      serverEnd.set("has written all");
    } catch (IOException e) {
      serverEnd.set("cut off at " + Math.round(Record.nowMs()) + " ms: " + e.getMessage());
      throw e;
    }
  }
}
