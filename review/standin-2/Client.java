import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** A client's connection to an edge node. */
final class Client implements AutoCloseable {
  private static final AtomicLong NEXT_ID = new AtomicLong(System.nanoTime());

  /** So many customers ask in turn, each well within its quota. */
  private static final int CUSTOMERS = 60;

  private static final AtomicLong NEXT_CUSTOMER = new AtomicLong();

  final Socket socket = new Socket();
  InputStream in;
  OutputStream out;

  static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  static Client connect(String address) throws IOException {
    Client client = new Client();
    client.socket.setTcpNoDelay(true);
    client.socket.connect(address(address), 5000);
    client.in = new BufferedInputStream(client.socket.getInputStream());
    client.out = client.socket.getOutputStream();
    return client;
  }

  static String newId() {
    return String.format("%016x", NEXT_ID.getAndIncrement());
  }

  private static String nextCustomer() {
    return String.format("%016x", 0xb4d65521L + 4096 * (NEXT_CUSTOMER.getAndIncrement() % CUSTOMERS));
  }

  /** A request of a class that is safe to repeat. */
  static byte[] lookup(String id, int waitMs) {
    return Resp.command(
        "CALL.GET", nextCustomer(), id,
        "c=seat-lookup,t=sede-mayor,d=" + waitMs + ",units=1,spread=2,first=0");
  }

  /** A request of the class with a key. */
  static byte[] enrol(String id, String key, int waitMs, String body) {
    return Resp.command(
        "CALL.POST", nextCustomer(), id,
        "c=enrol,t=sede-mayor,d=" + waitMs + ",k=" + key + ",units=1,spread=2,first=0", body);
  }

  /** Sends bytes and reads one answer. */
  Object call(byte[] command, int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    out.write(command);
    out.flush();
    return Resp.read(in);
  }

  /** Whether the edge node answers PING with yes, on a connection of its own. */
  static boolean answersYes(String address) {
    try (Client client = connect(address)) {
      return "PONG".equals(client.call(Resp.command("PING"), 1000));
    } catch (IOException e) {
      return false;
    }
  }

  /** Waits until it does. */
  static void awaitYes(String address, NodeProcess node, int timeoutMs) throws IOException, InterruptedException {
    double untilMs = Record.nowMs() + timeoutMs;
    while (!answersYes(address)) {
      if (Record.nowMs() > untilMs || !node.isAlive()) {
        throw new IOException("edge node " + node.name() + " is not ready");
      }
      Thread.sleep(50);
    }
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // it is closed all the same
    }
  }
}
