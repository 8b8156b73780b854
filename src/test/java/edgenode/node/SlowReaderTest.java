package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Clients that send many commands at once and read their responses slowly. */
class SlowReaderTest extends EdgeNodeFixture {
  private static final String VALUE = "v".repeat(60_000);
  private static final int COMMANDS_AT_ONCE = 150;
  private static final int SLOW_READERS = 6;
  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** Direct memory of the whole node in the deploy file's command, less a half for other uses. */
  private static final long MAX_DIRECT_BYTES = 16L << 20;

  /** Requests that endpoints have received. */
  private final AtomicInteger forwarded = new AtomicInteger();

  @BeforeEach
  void useManyConnections() {
    hasAdminAddress = true;
    maxDescriptors = 4096;
  }

  /** Answers each request with {@link #VALUE}, on threads that end with their connections. */
  private void answerAllRequests() {
    answerOn(serverConnection);
    Thread accepting =
        new Thread(
            () -> {
              try {
                while (true) {
                  answerOn(appServer.accept());
                }
              } catch (AssertionError | InterruptedException e) {
                // no further connection comes
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  private void answerOn(FakePeer.Connection connection) {
    Thread answering =
        new Thread(
            () -> {
              try {
                while (true) {
                  connection.readMessage();
                  forwarded.incrementAndGet();
                  connection.writeAppServerValue(VALUE);
                }
              } catch (IOException e) {
                // the connection is closed
              }
            });
    answering.setDaemon(true);
    answering.start();
  }

  private static String request(String id) {
    String list = "c=read,t=p,d=4000,units=1,spread=3,first=1";
    return String.format(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n%s\r\n$%d\r\n%s\r\n$%d\r\n%s\r\n",
        CUSTOMER, id.length(), id, list.length(), list);
  }

  private static void sendManyAtOnce(FakePeer.Connection client, String idPrefix)
      throws IOException {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
      text.append(request(idPrefix + i));
    }
    client.write(text.toString());
  }

  private static long directMemoryBytes() {
    return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
  }

  /**
   * Guards against responses that were buffered without a bound for clients that do not read: the
   * direct memory was used up, and each further allocation held the event loop up for half a
   * second.
   */
  @Test
  void memoryForUnreadResponsesIsBoundedAndOtherClientsAreServed() throws Exception {
    start();
    answerAllRequests();
    final long directBytesBefore = directMemoryBytes();
    List<FakePeer.Connection> slowReaders = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      slowReaders.add(connectSlowReader(RECEIVE_BUFFER_BYTES));
      sendManyAtOnce(slowReaders.get(i), "s" + i + "-");
    }
    FakePeer.Connection ordinary = connectClient();
    for (int i = 0; i < 40; i++) {
      sendGet(ordinary, "o" + i, "read", 2000);
      assertEquals(VALUE.length(), ordinary.readMessage().get(0).length());
      Thread.sleep(25); // the time in which the others' responses pile up
    }
    long directBytes = directMemoryBytes() - directBytesBefore;
    assertTrue(directBytes <= MAX_DIRECT_BYTES, directBytes + " bytes");
    for (FakePeer.Connection slowReader : slowReaders) {
      assertEachCommandHasOneResponse(slowReader);
    }
    figure("/in_flight", "0");
  }

  /** Each has the whole value, or one of the two error lines, and nothing comes behind the last. */
  private static void assertEachCommandHasOneResponse(FakePeer.Connection client)
      throws IOException {
    for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
      List<String> response = client.readMessage();
      assertTrue(
          List.of(List.of(VALUE), List.of("-BUSY"), List.of("-ERR failed")).contains(response),
          () -> "response of " + response.get(0).length() + " characters");
    }
    client.writeCommand("PING");
    assertEquals(List.of("+PONG"), client.readMessage());
  }

  /** Guards against rejecting clients that send as much at once and do read. */
  @Test
  void allRequestsOfAFastReaderAreServed() throws Exception {
    start();
    answerAllRequests();
    FakePeer.Connection client = connectClient();
    for (int round = 0; round < 3; round++) {
      sendManyAtOnce(client, "f" + round + "-");
      for (int i = 0; i < COMMANDS_AT_ONCE; i++) {
        assertEquals(VALUE.length(), client.readMessage().get(0).length());
      }
    }
  }

  /**
   * A request that waits for buffer space is rejected while it has half of its time. Guards against
   * forwarding all that a client sends at once, though it reads nothing of the responses.
   */
  @Test
  void requestWhoseResponseHasNoBufferIsNotForwarded() throws Exception {
    start();
    answerAllRequests();
    FakePeer.Connection first = connectClient();
    sendGet(first, "first", "read", 4000);
    assertEquals(VALUE.length(), first.readMessage().get(0).length()); // the size is known by now
    FakePeer.Connection client = connectSlowReader(RECEIVE_BUFFER_BYTES);
    sendManyAtOnce(client, "n"); // fewer than a connection may have unanswered
    figure("/requests/read/taken", Integer.toString(COMMANDS_AT_ONCE + 1));
    figure("/in_flight", "0"); // all are answered, though the client has read nothing
    int refused = Integer.parseInt(figure("/requests/read/refused"));
    assertTrue(refused > COMMANDS_AT_ONCE / 4, refused + " refused");
    assertEquals(COMMANDS_AT_ONCE + 1 - refused, forwarded.get());
    assertEachCommandHasOneResponse(client);
  }
}
