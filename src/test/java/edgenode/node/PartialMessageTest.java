package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufAllocatorMetricProvider;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Peers that send large parts of messages, and not the rest. */
class PartialMessageTest extends EdgeNodeFixture {
  private static final String TOO_MANY_BYTES = "-ERR too many bytes without a whole command";
  private static final String LONG_VALUE = "v".repeat(64 << 10);

  private static final int MAX_PARTIAL_BYTES = 60_000;

  /** Half of the direct memory of a node in the deploy file's command. */
  private static final long MAX_DIRECT_BYTES = 16L << 20;

  @BeforeEach
  void useManyConnections() {
    maxDescriptors = 1024;
  }

  private static String partialCommand(int values) {
    return "*16\r\n" + ("$65536\r\n" + LONG_VALUE + "\r\n").repeat(values) + "$65536\r\n";
  }

  /** Guards against one partial command of 1 MiB: 32 clients had used up the direct memory. */
  @Test
  void partialCommandBeyondItsBoundIsRejected() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    client.write(partialCommand(3));
    assertEquals(List.of(TOO_MANY_BYTES), client.readMessage());
    assertTrue(client.isClosedByPeer());
  }

  /**
   * Guards against partial commands without a bound for all connections together; a client with a
   * short command is not affected.
   */
  @Test
  void partialCommandsAreBoundedTogether() throws Exception {
    start();
    List<FakePeer.Connection> slowWriters = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      FakePeer.Connection slowWriter = connectClient();
      slowWriters.add(slowWriter);
      slowWriter.write(partialCommand(1)); // 12.5 MiB together, where 8 MiB are allowed
    }
    FakePeer.Connection ordinary = connectClient();
    sendGet(ordinary, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), ordinary.readMessage());
    int rejected = 0;
    for (FakePeer.Connection slowWriter : slowWriters) {
      rejected += slowWriter.readMessage().equals(List.of(TOO_MANY_BYTES)) ? 1 : 0;
    }
    // The others are rejected later, as no whole command came.
    assertTrue(rejected >= 60 && rejected <= 80, rejected + " of 200");
  }

  /**
   * Guards against partial commands that hold more memory than their bytes: a piece kept the whole
   * buffer that it was read into, and a rejected command its memory until its client closed.
   */
  @ParameterizedTest
  @CsvSource({"3000, 250", "40, 130"})
  void memoryOfPartialCommandsInPiecesIsBounded(int pieceBytes, int writers) throws Exception {
    start();
    final long directBytesBefore = directMemoryBytes();
    byte[] command = partialCommand(1).getBytes(StandardCharsets.ISO_8859_1);
    List<FakePeer.Connection> slowWriters = new ArrayList<>();
    for (int i = 0; i < writers; i++) {
      FakePeer.Connection slowWriter = connectClient();
      slowWriter.socket.setTcpNoDelay(true);
      slowWriters.add(slowWriter);
    }
    for (int at = 0; at + pieceBytes < MAX_PARTIAL_BYTES; at += pieceBytes) {
      for (FakePeer.Connection slowWriter : slowWriters) {
        writeUnlessReset(slowWriter, command, at, pieceBytes);
      }
    }
    long directBytes = directMemoryBytes() - directBytesBefore;
    assertTrue(directBytes <= MAX_DIRECT_BYTES, directBytes + " bytes");
    FakePeer.Connection ordinary = connectClient();
    sendGet(ordinary, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), ordinary.readMessage());
  }

  private static void writeUnlessReset(
      FakePeer.Connection client, byte[] command, int at, int pieceBytes) {
    try {
      client.socket.getOutputStream().write(command, at, pieceBytes);
    } catch (IOException e) {
      // the node has closed the connection: it was over the bound
    }
  }

  private static long directMemoryBytes() {
    return ((ByteBufAllocatorMetricProvider) ByteBufAllocator.DEFAULT).metric().usedDirectMemory();
  }

  /**
   * A response that grows without an end ends its attempt before its time is up. Its endpoint goes
   * on writing, so that it is not given up for having stopped.
   */
  @Test
  void partialResponseBeyondItsBoundFailsTheAttempt() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 5000);
    expectArrival(1, "read");
    serverConnection.readMessage();
    serverConnection.write("*3\r\n$65536\r\n" + LONG_VALUE + "\r\n$65536\r\n");
    serverConnection.write(LONG_VALUE.substring(0, 60_000));
    Thread writing = new Thread(this::writeUntilClosed);
    writing.start();
    expectPolicyEvent("ended 1 0 ERROR false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(serverConnection.isClosedByPeer());
    writing.join();
  }

  /** Writes the rest of the response byte by byte, more slowly than it could end in time. */
  private void writeUntilClosed() {
    try {
      while (true) {
        serverConnection.write("v");
        Thread.sleep(50);
      }
    } catch (IOException | InterruptedException e) {
      // the node has closed the connection
    }
  }
}
