package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Long values with further commands behind them on their client's connection. */
class PipelinedStreamTest extends EdgeNodeFixture {
  private static final int VALUE_BYTES = 200_000;
  private static final int FIRST_PART_BYTES = 1000;
  private static final String REST = "y".repeat(VALUE_BYTES - FIRST_PART_BYTES);

  /** The endpoint's connection on which the request of this number has come. */
  private FakePeer.Connection ofFirst;

  private FakePeer.Connection ofSecond;

  @BeforeEach
  void enableAdmin() {
    hasAdminAddress = true;
  }

  private FakePeer.Connection connectAndSendTwo(int firstWaitMs) throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", firstWaitMs);
    sendGet(client, "02", "read", 8000);
    FakePeer.Connection other = appServer.accept();
    boolean isFirst = serverConnection.readMessage().get(2).equals("01");
    other.readMessage();
    ofFirst = isFirst ? serverConnection : other;
    ofSecond = isFirst ? other : serverConnection;
    return client;
  }

  /** Has a value streamed to a client, up to its first part. */
  private void beginStream(FakePeer.Connection client) throws Exception {
    beginStream(client, "");
  }

  /**
   * @param nextBytes of the client, sent before the value begins
   */
  private void beginStream(FakePeer.Connection client, String nextBytes) throws Exception {
    sendGet(client, "01", "read", 8000);
    ofFirst = serverConnection;
    ofFirst.readMessage();
    client.write(nextBytes);
    writeFirstPart();
    assertEquals("$" + VALUE_BYTES, client.readLine());
  }

  private void writeFirstPart() throws IOException {
    ofFirst.write("*3\r\n$" + VALUE_BYTES + "\r\n" + "x".repeat(FIRST_PART_BYTES));
  }

  private static void readStreamedValue(FakePeer.Connection client) throws IOException {
    assertEquals(VALUE_BYTES, client.input.readNBytes(VALUE_BYTES).length);
    assertEquals("", client.readLine());
  }

  private void writeRest() throws IOException {
    ofFirst.write(REST + "\r\n$-1\r\n$-1\r\n");
  }

  /**
   * Guards against a request that ran and got no answer: it was behind a long value on its
   * connection, the value's endpoint died, and the connection was ended within the value.
   */
  @Test
  void requestBehindAValueThatBreaksOffIsAnswered() throws Exception {
    FakePeer.Connection client = connectAndSendTwo(8000);
    writeFirstPart();
    ofSecond.writeAppServerValue("two");
    figure("/requests/read/served", "1");
    ofFirst.close();
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertEquals(List.of("two"), client.readMessage());
    client.writeCommand("PING");
    assertEquals(List.of("+PONG"), client.readMessage());
  }

  /** A value that is held back comes whole, and so does the response behind it. */
  @Test
  void valueIsCompleteBeforeTheResponseBehindIt() throws Exception {
    FakePeer.Connection client = connectAndSendTwo(8000);
    ofSecond.writeAppServerValue("two");
    writeFirstPart();
    writeRest();
    assertEquals("x".repeat(FIRST_PART_BYTES) + REST, client.readMessage().get(0));
    assertEquals(List.of("two"), client.readMessage());
    figure("/requests/read/served", "2");
    figure("/in_flight", "0");
  }

  /** Guards against holding a slow value back beyond its client's wait, or cutting it off then. */
  @Test
  void valueThatIsNotCompleteInTimeIsStreamed() throws Exception {
    FakePeer.Connection client = connectAndSendTwo(700);
    writeFirstPart();
    ofSecond.writeAppServerValue("two");
    double startedMs = System.nanoTime() / 1e6;
    assertEquals("$" + VALUE_BYTES, client.readLine());
    double waitedMs = System.nanoTime() / 1e6 - startedMs;
    assertTrue(waitedMs < 1200, waitedMs + " ms");
    assertEquals(FIRST_PART_BYTES, client.input.readNBytes(FIRST_PART_BYTES).length);
    writeRest();
    assertEquals(REST.length(), client.input.readNBytes(REST.length()).length);
    assertEquals("", client.readLine());
    assertEquals(List.of("two"), client.readMessage());
  }

  /**
   * Guards against taking a command that would get no answer: what a client sends while a value is
   * streamed to it is not read, and where the value breaks off, a reset says so.
   */
  @Test
  void commandSentWithinAStreamedValueIsNotReadWhereTheValueBreaksOff() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    beginStream(client);
    sendGet(client, "02", "read", 8000);
    assertEquals(null, appServer.poll(500)); // it is not forwarded
    ofFirst.close();
    assertTrue(client.input.readAllBytes().length <= FIRST_PART_BYTES);
    figure("/requests/read/failed", "1");
    figure("/requests/read/taken", "1");
    assertThrows(
        IOException.class,
        () -> {
          for (int i = 0; i < 100; i++) { // until the reset has come
            client.writeCommand("PING");
            Thread.sleep(20);
          }
        });
  }

  /** The same where the value comes whole: the command behind it is read and answered. */
  @Test
  void commandSentWithinAStreamedValueIsAnsweredBehindIt() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    beginStream(client);
    sendGet(client, "02", "refuse", 8000);
    writeRest();
    readStreamedValue(client);
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
  }

  /**
   * Guards against ending a connection for half a command that lay unread for longer than a command
   * may take, while a value was streamed.
   */
  @Test
  void partialCommandBeforeALongStreamIsNotOverdue() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    beginStream(client, "*1\r\n$4\r\nPI");
    client.write("NG\r\n");
    Thread.sleep(3000); // longer than a client may take for a command
    writeRest();
    readStreamedValue(client);
    assertEquals(List.of("+PONG"), client.readMessage());
  }
}
