package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client has gone when its end has come to the machine, not when the loop gets to read that: no
 * attempt, first or further, begins for it from then on, however long the loop is busy. In each
 * test the loop is kept busy until the system has the end; what would be sent on then is due before
 * the loop reads the end, or with it.
 */
class LeaversTest extends NodeFixture {
  private static final String ESTABLISHED = "01";
  private final LateConnects late = new LateConnects();

  @BeforeEach
  void lateConnects() {
    transport = late;
  }

  /** Keeps the loop busy from now on. */
  private void busy(int id) throws Exception {
    get(client(), "f0", "stall", 9000);
    arrived(id, "stall");
  }

  /**
   * Whether the node's end of a client's connection stands, as the system has it (proc(5),
   * /proc/net/tcp).
   */
  private boolean stands(int clientsPort) {
    String pair =
        String.format(
            Locale.ROOT,
            ":%04X [0-9A-F]+:%04X %s ",
            ((InetSocketAddress) node.address()).getPort(),
            clientsPort,
            ESTABLISHED);
    try {
      List<String> all = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
      if (Files.exists(Path.of("/proc/net/tcp6"))) {
        all.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
      }
      return all.stream().anyMatch(line -> line.matches(".*" + pair + ".*"));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Closes it, and waits until the system has that at the node's side. */
  private void leaves(Peer.Line client, boolean reset) throws Exception {
    int port = client.socket.getLocalPort();
    Rig.await("the connection", () -> stands(port));
    if (reset) {
      client.socket.setSoLinger(true, 0);
    }
    client.close();
    Rig.await("its end", () -> !stands(port));
  }

  /** The next request is the first that comes on this connection. */
  private void onlyTheNextIsSent(Peer.Line at, String id, int number) throws Exception {
    Peer.Line other = client();
    get(other, id, "read", 5000);
    arrived(number, "read");
    assertEquals(id, (at == null ? app.accept() : at).message().get(2));
  }

  /**
   * All servers' connections break, then all clients leave in one burst: each repeat was sent all
   * the same.
   */
  @Test
  void repeatsAreNotSentForThoseThatLeftWhileTheLoopWasBusy() throws Exception {
    start();
    int clients = 8;
    List<Peer.Line> leaving = new ArrayList<>();
    List<Peer.Line> servers = new ArrayList<>();
    for (int i = 1; i <= clients; i++) {
      Peer.Line client = client();
      client.command(
          "CALL.POST",
          CUSTOMER,
          "0" + i,
          "c=again,t=p,d=5000,k=" + i + ",units=2,spread=3,first=1");
      arrived(i, "again");
      Peer.Line at = i == 1 ? server : app.accept();
      assertEquals("0" + i, at.message().get(2));
      leaving.add(client);
      servers.add(at);
    }
    busy(clients + 1);
    for (Peer.Line at : servers) {
      at.close();
    }
    for (Peer.Line client : leaving) {
      leaves(client, false);
    }
    stall.countDown();
    int ended = 0;
    while (ended < 2 * clients) { // the first attempt of each, and the repeat that was not sent
      String line = told.poll(10, java.util.concurrent.TimeUnit.SECONDS);
      ended += line.startsWith("ended") ? 1 : 0;
      assertEquals(line.matches("ended \\d+ 1 .*"), line.endsWith("NOT_SENT true"), line);
    }
    onlyTheNextIsSent(null, "0f", clients + 2);
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aCommandThatIsReadWithItsClientsEndIsNotSent(boolean reset) throws Exception {
    start();
    busy(1);
    Peer.Line client = client();
    get(client, "02", "read", 5000);
    leaves(client, reset);
    stall.countDown();
    arrived(2, "read");
    expect("gone 2");
    expect("ended 2 0 NOT_SENT true");
    onlyTheNextIsSent(server, "03", 3);
  }

  @Test
  void anAttemptWhoseConnectionComesUpAsItsClientLeavesIsNotSent() throws Exception {
    start();
    late.port = app.port();
    Peer.Line first = client();
    get(first, "01", "read", 5000);
    arrived(1, "read");
    assertEquals("01", server.message().get(2)); // the one connection is taken
    Peer.Line client = client();
    get(client, "02", "read", 5000);
    arrived(2, "read");
    late.begun();
    CountDownLatch connecting = new CountDownLatch(1);
    late.releaseAndThen(
        () -> {
          connecting.countDown();
          await(stall);
        });
    await(connecting);
    leaves(client, false);
    stall.countDown();
    expect("gone 2");
    expect("ended 2 0 NOT_SENT true");
    onlyTheNextIsSent(null, "03", 3);
  }

  /**
   * What the module sends by its timer, such as a repeat that found no server: timers run before
   * what is read.
   */
  @Test
  void whatATimerSendsIsNotSentForOneThatLeftWhileTheLoopWasBusy() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "later", 5000);
    arrived(1, "later");
    busy(2);
    leaves(client, false);
    Thread.sleep(150); // the time itself is what is tested: the timer is due when the loop goes on
    stall.countDown();
    expect("timer 1");
    expect("gone 1");
    expect("ended 1 0 NOT_SENT true");
    onlyTheNextIsSent(server, "03", 3);
  }

  /**
   * Past what may be held clients were read no further: their ends stood behind what was not read.
   */
  @Test
  void whatIsBeyondTheBoundOfMemoryIsRefusedAndEndsAreSeen() throws Exception {
    start();
    String body = "b".repeat(60_000);
    Peer.Line much = client();
    int requests = 145; // 8.3 MiB
    for (int i = 0; i < requests; i++) {
      much.command(
          "CALL.POST",
          CUSTOMER,
          Integer.toHexString(0x1000 + i),
          "c=hold,t=p,d=9000,spread=3",
          body);
    }
    int arrived = 0;
    while (arrived * 60_100L < 8 << 20) {
      assertEquals("arrived", told.poll(10, java.util.concurrent.TimeUnit.SECONDS).split(" ")[0]);
      arrived++;
    }
    Peer.Line other = client();
    get(other, "02", "hold", 5000);
    assertEquals(List.of("-BUSY"), other.message());
    leaves(much, false);
    for (int gone = 0; gone < arrived; gone++) {
      String line = told.poll(10, java.util.concurrent.TimeUnit.SECONDS);
      assertEquals("gone", line.split(" ")[0]);
    }
    assertNull(told.poll());
    get(other, "03", "refuse", 900); // there is room again
    assertEquals(List.of("-BUSY 1500"), other.message());
  }
}
