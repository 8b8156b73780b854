package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Values that are too long to be kept go through a real node as they come. */
class LongValueTest extends NodeFixture {
  private static final int MOST = 4 << 20;

  @BeforeEach
  void called() {
    admin = true;
    sockets = 512;
  }

  private static byte[] value(int length, int seed) {
    byte[] value = new byte[length];
    for (int i = 0; i < length; i++) {
      value[i] = (byte) (i * 31 + i / 251 + seed);
    }
    return value;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /**
   * The answer of an app server, written on a thread of its own: the node may not read on at once.
   */
  private Thread answer(Peer.Line line, byte[] value, int piece, String behind) {
    Thread writing =
        new Thread(
            () -> {
              try {
                OutputStream out = line.socket.getOutputStream();
                out.write(ascii("*3\r\n$" + value.length + "\r\n"));
                for (int at = 0; at < value.length; at += piece) {
                  out.write(value, at, Math.min(piece, value.length - at));
                }
                out.write(ascii("\r\n" + behind));
              } catch (IOException e) {
                told.add("server: " + e); // of no account where the node has ended the connection
              }
            });
    writing.setDaemon(true);
    writing.start();
    return writing;
  }

  private static byte[] bulk(Peer.Line client) throws IOException {
    String head = client.line();
    assertTrue(head.startsWith("$"), head);
    int length = Integer.parseInt(head.substring(1));
    byte[] value = client.in.readNBytes(length);
    if (value.length < length) {
      throw new EOFException("after " + value.length);
    }
    assertEquals("", client.line());
    return value;
  }

  @Test
  void aLongValueComesWholeInPiecesAndItsConnectionServesOn() throws Exception {
    start();
    Peer.Line client = client();
    for (int piece : new int[] {1 << 20, 4093, 64 << 10}) {
      get(client, "a" + piece, "read", 900);
      server.message();
      byte[] value = value(piece == 4093 ? 300_000 : MOST, piece);
      answer(server, value, piece, "$-1\r\n$-1\r\n");
      assertTrue(Arrays.equals(value, bulk(client)));
    }
    get(client, "05", "read", 900);
    assertEquals("05", server.message().get(2)); // on the same connection
    server.value("short");
    assertEquals(List.of("short"), client.message());
    figure("/requests/read/served", "4");
    figure("/in_flight", "0");
  }

  /** The client's wait counts to the first byte: a slow one may read for longer than that. */
  @Test
  void aSlowReaderIsNotCutOff() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 300);
    arrived(1, "read");
    server.message();
    byte[] value = value(MOST, 1);
    Thread writing = answer(server, Arrays.copyOf(value, MOST), MOST / 8, "$-1\r\n$-1\r\n");
    expect("ended 1 0 OK true");
    Thread.sleep(1200); // far past its wait
    assertTrue(Arrays.equals(value, bulk(client)));
    writing.join();
  }

  /**
   * Many at once, read by nobody: what is kept of each is bounded, and all are whole in the end.
   */
  @Test
  void whatIsKeptOfValuesThatNobodyReadsIsBounded() throws Exception {
    start();
    int many = 60;
    List<Peer.Line> clients = new ArrayList<>();
    byte[] value = value(MOST, 7);
    long before = direct();
    for (int i = 0; i < many; i++) {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(32 << 10); // else the system alone would keep some MB of each
      socket.connect(
          new InetSocketAddress("127.0.0.1", ((InetSocketAddress) node.address()).getPort()));
      Peer.Line client = new Peer.Line(socket);
      open.add(client);
      clients.add(client);
      get(client, "b" + i, "read", 20_000);
      Peer.Line at = i == 0 ? server : app.accept();
      at.message();
      answer(at, value, 256 << 10, "$-1\r\n$-1\r\n");
    }
    figure("/in_flight", Integer.toString(many));
    Thread.sleep(1000); // what may come has come
    long kept = direct() - before;
    assertTrue(kept < many * (400L << 10), kept + " bytes of " + many * (long) MOST);
    for (Peer.Line client : clients) {
      assertTrue(Arrays.equals(value, bulk(client)));
    }
    figure("/requests/read/served", Integer.toString(many));
  }

  /** Behind an answer that is not there yet, long values stay at their servers. */
  @Test
  void whatIsKeptOfValuesWhoseTurnHasNotComeIsBounded() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "first", "read", 20_000);
    assertEquals("first", server.message().get(2));
    int many = 20;
    byte[] value = value(MOST, 5);
    long before = direct();
    for (int i = 0; i < many; i++) {
      get(client, "c" + i, "read", 20_000);
      Peer.Line at = app.accept();
      at.message();
      answer(at, value, 256 << 10, "$-1\r\n$-1\r\n");
    }
    Thread.sleep(1000); // what may come has come
    long kept = direct() - before;
    assertTrue(kept < many * (400L << 10), kept + " bytes of " + many * (long) MOST);
    server.value("first");
    assertEquals(List.of("first"), client.message());
    for (int i = 0; i < many; i++) {
      assertTrue(Arrays.equals(value, bulk(client)));
    }
  }

  private static long direct() {
    return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
  }

  /**
   * A long value whose turn has not come waits, and one request's bytes never get into another's.
   */
  @Test
  void pipelinedLongValuesKeepTheirOrder() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    get(client, "02", "read", 5000);
    get(client, "03", "read", 5000);
    Peer.Line second = app.accept();
    Peer.Line third = app.accept();
    List<Peer.Line> lines = List.of(server, second, third);
    Peer.Line[] of = new Peer.Line[4];
    for (Peer.Line line : lines) {
      of[Integer.parseInt(line.message().get(2))] = line;
    }
    byte[] two = value(MOST, 2);
    byte[] three = value(100_000, 3);
    answer(of[3], three, 50_000, "$-1\r\n$-1\r\n");
    answer(of[2], two, 50_000, "$-1\r\n$-1\r\n");
    arrived(1, "read");
    arrived(2, "read");
    arrived(3, "read");
    assertTrue(told.take().startsWith("ended"));
    assertTrue(told.take().startsWith("ended"));
    of[1].value("one");
    assertEquals(List.of("one"), client.message());
    assertTrue(Arrays.equals(two, bulk(client)));
    assertTrue(Arrays.equals(three, bulk(client)));
  }

  /** The client can tell: its connection ends within the value. */
  @Test
  void aServerThatDiesWithinAValueEndsTheClientsConnection() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    server.message();
    server.write("*3\r\n$200000\r\n" + "x".repeat(1000));
    assertEquals("$200000", client.line());
    server.close();
    assertEquals(1000, client.in.readAllBytes().length);
    figure("/requests/read/failed", "1");
    figure("/in_flight", "0");
  }

  /**
   * Of a value whose turn has not come nothing is written: the client is told, and its connection
   * stays.
   */
  @Test
  void aServerThatDiesBeforeTheValuesTurnIsAFailure() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    assertEquals("01", server.message().get(2));
    get(client, "02", "read", 5000);
    Peer.Line second = app.accept();
    second.message();
    second.write("*3\r\n$200000\r\n" + "x".repeat(1000));
    arrived(1, "read");
    arrived(2, "read");
    expect("ended 2 0 OK true");
    second.close();
    figure("/requests/read/failed", "1");
    server.value("one");
    assertEquals(List.of("one"), client.message());
    assertEquals(List.of("-ERR failed"), client.message());
    client.command("PING");
    assertEquals(List.of("+PONG"), client.message());
  }

  /** Noise behind the value's length is no value, and must not look like one. */
  @Test
  void aValueThatDoesNotEndWhereItSaidIsNotPassedOnWhole() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    server.message();
    answer(server, value(200_000, 1), 50_000, "XX");
    assertEquals("$200000", client.line());
    byte[] got = client.in.readAllBytes();
    assertTrue(got.length <= 200_000, got.length + " bytes");
    figure("/requests/read/failed", "1");
  }

  @Test
  void aClientThatGoesAwayFreesTheServersConnection() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    server.message();
    server.write(
        "*3\r\n$200000\r\n" + "x".repeat(1000)); // and no more for now: it does not end by itself
    assertEquals("$200000", client.line());
    client.socket.setSoLinger(true, 0);
    client.close();
    figure("/requests/read/abandoned", "1");
    figure("/in_flight", "0");
    assertTrue(server.ended());
  }

  @Test
  void aValueOfMoreThanTheMostIsAFailedAttempt() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    server.message();
    server.write("*3\r\n$" + (MOST + 1) + "\r\nxxx");
    assertEquals(List.of("-ERR failed"), client.message());
    assertTrue(server.ended());
  }
}
