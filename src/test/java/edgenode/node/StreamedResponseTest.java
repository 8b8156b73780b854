package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.EOFException;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Values that are too long to be buffered are streamed through a real node. */
class StreamedResponseTest extends EdgeNodeFixture {
  private static final int MAX_VALUE_BYTES = 4 << 20;

  /** Small: else the kernel would buffer some MB of each value. */
  private static final int RECEIVE_BUFFER_BYTES = 32 << 10;

  @BeforeEach
  void enableAdmin() {
    hasAdminAddress = true;
    maxDescriptors = 512;
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

  /** Writes a server's response on a thread of its own: the node may not read it at once. */
  private Thread writeValueAsync(
      FakePeer.Connection connection, byte[] value, int pieceBytes, String trailer) {
    Thread writing =
        new Thread(
            () -> {
              try {
                OutputStream out = connection.socket.getOutputStream();
                out.write(ascii("*3\r\n$" + value.length + "\r\n"));
                for (int at = 0; at < value.length; at += pieceBytes) {
                  out.write(value, at, Math.min(pieceBytes, value.length - at));
                }
                out.write(ascii("\r\n" + trailer));
              } catch (IOException e) {
                policyEvents.add(
                    "server: " + e); // expected where the node has closed the connection
              }
            });
    writing.setDaemon(true);
    writing.start();
    return writing;
  }

  private static byte[] readBulk(FakePeer.Connection client) throws IOException {
    String header = client.readLine();
    assertTrue(header.startsWith("$"), header);
    int lengthBytes = Integer.parseInt(header.substring(1));
    byte[] value = client.input.readNBytes(lengthBytes);
    if (value.length < lengthBytes) {
      throw new EOFException("after " + value.length);
    }
    assertEquals("", client.readLine());
    return value;
  }

  @Test
  void longValueArrivesCompleteAndConnectionIsReused() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    for (int piece : new int[] {1 << 20, 4093, 64 << 10}) {
      sendGet(client, "a" + piece, "read", 900);
      serverConnection.readMessage();
      byte[] value = value(piece == 4093 ? 300_000 : MAX_VALUE_BYTES, piece);
      writeValueAsync(serverConnection, value, piece, "$-1\r\n$-1\r\n");
      assertTrue(Arrays.equals(value, readBulk(client)));
    }
    sendGet(client, "05", "read", 900);
    assertEquals("05", serverConnection.readMessage().get(2)); // on the same connection
    serverConnection.writeAppServerValue("short");
    assertEquals(List.of("short"), client.readMessage());
    figure("/requests/read/served", "4");
    figure("/in_flight", "0");
  }

  /** The client's wait counts to the first byte: a slow one may read for longer than that. */
  @Test
  void slowReaderIsNotCutOff() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 300);
    expectArrival(1, "read");
    serverConnection.readMessage();
    byte[] value = value(MAX_VALUE_BYTES, 1);
    Thread writing =
        writeValueAsync(
            serverConnection,
            Arrays.copyOf(value, MAX_VALUE_BYTES),
            MAX_VALUE_BYTES / 8,
            "$-1\r\n$-1\r\n");
    expectPolicyEvent("ended 1 0 OK true");
    Thread.sleep(1200); // long after its deadline
    assertTrue(Arrays.equals(value, readBulk(client)));
    writing.join();
  }

  /**
   * Many values that nobody reads: the memory for each is bounded, and all are complete in the end.
   */
  @Test
  void memoryForUnreadValuesIsBounded() throws Exception {
    start();
    int many = 60;
    List<FakePeer.Connection> clients = new ArrayList<>();
    byte[] value = value(MAX_VALUE_BYTES, 7);
    long before = directMemoryBytes();
    for (int i = 0; i < many; i++) {
      FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
      clients.add(client);
      sendGet(client, "b" + i, "read", 20_000);
      FakePeer.Connection at = i == 0 ? serverConnection : appServer.accept();
      at.readMessage();
      writeValueAsync(at, value, 256 << 10, "$-1\r\n$-1\r\n");
    }
    awaitInFlightOrServed(many);
    Thread.sleep(1000); // what can arrive has arrived
    awaitInFlightOrServed(many);
    long kept = directMemoryBytes() - before;
    assertTrue(kept < many * (400L << 10), kept + " bytes of " + many * (long) MAX_VALUE_BYTES);
    for (FakePeer.Connection client : clients) {
      assertTrue(Arrays.equals(value, readBulk(client)));
    }
    figure("/requests/read/served", Integer.toString(many));
  }

  /**
   * Waits until no value has failed. Some may be served: the kernel's send buffer of up to 4 MiB
   * and the node's own may take a whole value that its client does not read.
   */
  private void awaitInFlightOrServed(int requests) throws Exception {
    DiscoveryFixture.await(
        requests + " requests in flight or served",
        () -> {
          try {
            Map<String, String> figures =
                AdminClient.call(node.adminAddress(), "GET /api/telemetry").values();
            int served = Integer.parseInt(figures.get("/requests/read/served"));
            return served + Integer.parseInt(figures.get("/in_flight")) == requests;
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  /** Behind an answer that is not there yet, long values stay at their servers. */
  @Test
  void memoryForQueuedPipelinedValuesIsBounded() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "first", "read", 20_000);
    assertEquals("first", serverConnection.readMessage().get(2));
    int many = 20;
    byte[] value = value(MAX_VALUE_BYTES, 5);
    long before = directMemoryBytes();
    for (int i = 0; i < many; i++) {
      sendGet(client, "c" + i, "read", 20_000);
      FakePeer.Connection at = appServer.accept();
      at.readMessage();
      writeValueAsync(at, value, 256 << 10, "$-1\r\n$-1\r\n");
    }
    Thread.sleep(1000); // what can arrive has arrived
    long kept = directMemoryBytes() - before;
    assertTrue(kept < many * (400L << 10), kept + " bytes of " + many * (long) MAX_VALUE_BYTES);
    serverConnection.writeAppServerValue("first");
    assertEquals(List.of("first"), client.readMessage());
    for (int i = 0; i < many; i++) {
      assertTrue(Arrays.equals(value, readBulk(client)));
    }
  }

  private static long directMemoryBytes() {
    return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
  }

  /**
   * A long value that is not yet next waits, and the bytes of one response never get into another.
   */
  @Test
  void pipelinedLongValuesKeepTheirOrder() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    sendGet(client, "02", "read", 5000);
    sendGet(client, "03", "read", 5000);
    FakePeer.Connection second = appServer.accept();
    FakePeer.Connection third = appServer.accept();
    List<FakePeer.Connection> lines = List.of(serverConnection, second, third);
    FakePeer.Connection[] of = new FakePeer.Connection[4];
    for (FakePeer.Connection line : lines) {
      of[Integer.parseInt(line.readMessage().get(2))] = line;
    }
    byte[] two = value(MAX_VALUE_BYTES, 2);
    byte[] three = value(100_000, 3);
    writeValueAsync(of[3], three, 50_000, "$-1\r\n$-1\r\n");
    writeValueAsync(of[2], two, 50_000, "$-1\r\n$-1\r\n");
    expectArrival(1, "read");
    expectArrival(2, "read");
    expectArrival(3, "read");
    assertTrue(policyEvents.take().startsWith("ended"));
    assertTrue(policyEvents.take().startsWith("ended"));
    of[1].writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    assertTrue(Arrays.equals(two, readBulk(client)));
    assertTrue(Arrays.equals(three, readBulk(client)));
  }

  /** The client can tell: its connection ends within the value. */
  @Test
  void serverFailureWithinAValueClosesClientConnection() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    serverConnection.readMessage();
    serverConnection.write("*3\r\n$200000\r\n" + "x".repeat(1000));
    assertEquals("$200000", client.readLine());
    serverConnection.close();
    assertEquals(1000, client.input.readAllBytes().length);
    figure("/requests/read/failed", "1");
    figure("/in_flight", "0");
  }

  /**
   * Of a value that is not yet next nothing is written: the client gets an error, and its
   * connection stays open.
   */
  @Test
  void serverFailureBeforeValueIsWrittenIsAnsweredWithError() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    assertEquals("01", serverConnection.readMessage().get(2));
    sendGet(client, "02", "read", 5000);
    FakePeer.Connection second = appServer.accept();
    second.readMessage();
    second.write("*3\r\n$200000\r\n" + "x".repeat(1000));
    expectArrival(1, "read");
    expectArrival(2, "read");
    expectPolicyEvent("ended 2 0 OK true");
    second.close();
    figure("/requests/read/failed", "1");
    serverConnection.writeAppServerValue("one");
    assertEquals(List.of("one"), client.readMessage());
    assertEquals(List.of("-ERR failed"), client.readMessage());
    client.writeCommand("PING");
    assertEquals(List.of("+PONG"), client.readMessage());
  }

  /** Bytes beyond the announced length are no value, and must not look like one. */
  @Test
  void valueWithWrongLengthIsNotForwardedAsComplete() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    serverConnection.readMessage();
    writeValueAsync(serverConnection, value(200_000, 1), 50_000, "XX");
    assertEquals("$200000", client.readLine());
    byte[] got = client.input.readAllBytes();
    assertTrue(got.length <= 200_000, got.length + " bytes");
    figure("/requests/read/failed", "1");
  }

  @Test
  void clientDisconnectClosesServerConnection() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    serverConnection.readMessage();
    serverConnection.write(
        "*3\r\n$200000\r\n" + "x".repeat(1000)); // and no more: it does not end by itself
    assertEquals("$200000", client.readLine());
    client.socket.setSoLinger(true, 0);
    client.close();
    figure("/requests/read/abandoned", "1");
    figure("/in_flight", "0");
    assertTrue(serverConnection.isClosedByPeer());
  }

  @Test
  void valueAboveMaximumSizeFailsTheAttempt() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    serverConnection.readMessage();
    serverConnection.write("*3\r\n$" + (MAX_VALUE_BYTES + 1) + "\r\nxxx");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(serverConnection.isClosedByPeer());
  }
}
