package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.drain.Drain;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Narrow moments: something ends just as something else is owed. The paths stand in
 * docs/design/moments.md.
 */
class MomentsTest extends NodeFixture {
  private final LateConnects late = new LateConnects();

  @BeforeEach
  void lateConnects() {
    transport = late;
  }

  /**
   * The node has one connection, which is busy with 01; the next attempt waits for one that comes
   * up late.
   */
  private Peer.Line busy() throws Exception {
    start();
    late.port = app.port();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    arrived(1, "read");
    assertEquals("01", server.message().get(2));
    return client;
  }

  /** The connection comes up and carries the one that is still wanted, and nothing before it. */
  private void onlyTheNextIsSent(String id) throws Exception {
    late.release();
    Peer.Line line = app.accept();
    Peer.Line other = client();
    get(other, id, "read", 5000);
    arrived(3, "read");
    assertEquals(id, line.message().get(2));
    line.value("v");
    assertEquals(List.of("v"), other.message());
    expect("ended 3 0 OK true");
  }

  @Test
  void aClientThatLeftWhileItsAttemptWaitedForAConnectionIsNotServed() throws Exception {
    busy();
    Peer.Line leaves = client();
    get(leaves, "02", "read", 5000);
    arrived(2, "read");
    late.begun();
    leaves.close();
    expect("gone 2");
    expect("ended 2 0 NOT_SENT true");
    onlyTheNextIsSent("03");
  }

  @Test
  void aRequestThatIsOverWhileItsAttemptWaitedForAConnectionIsNotSent() throws Exception {
    busy();
    Peer.Line client = client();
    get(client, "02", "drop", 5000);
    arrived(2, "drop");
    assertEquals(List.of("-ERR failed"), client.message());
    expect("ended 2 0 NOT_SENT true");
    onlyTheNextIsSent("03");
  }

  private static String held(int id) {
    String list = "c=hold,t=p,d=9000,spread=3";
    return String.format(
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n%s\r\n$6\r\n%06x\r\n$%d\r\n%s\r\n",
        CUSTOMER, id, list.length(), list);
  }

  private static void pipeline(Peer.Line client, int commands) throws Exception {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < commands; i++) {
      text.append(held(i));
    }
    client.write(text.toString());
  }

  /** All that the module was told of has gone again. */
  private void allGone(int requests) throws Exception {
    int arrived = 0;
    for (int gone = 0; gone < requests; ) {
      String line = told.poll(5, TimeUnit.SECONDS);
      assertNotNull(line, "arrived " + arrived + ", gone " + gone);
      arrived += line.startsWith("arrived") ? 1 : 0;
      gone += line.startsWith("gone") ? 1 : 0;
    }
    assertEquals(requests, arrived);
  }

  /**
   * Unread commands hid the end of the connection: all in front of them stayed until their time was
   * over.
   */
  @Test
  void aClientThatPipelinesMuchAndLeavesIsGoneWithAllOfIt() throws Exception {
    admin = true;
    start();
    Peer.Line client = client();
    pipeline(client, 3000);
    figure("/requests_of_unknown_class/refused", "2744"); // all are read
    client.close();
    allGone(256);
  }

  /**
   * Past any client's need it is a flood: what was taken fails, the connection ends, the others go
   * on.
   */
  @Test
  void aFloodIsToldSoAndEnded() throws Exception {
    start();
    Peer.Line client = client();
    pipeline(client, 5000);
    int failed = 0;
    int refused = 0;
    String line = client.message().get(0);
    for (; line.equals("-ERR failed") || line.equals("-BUSY"); line = client.message().get(0)) {
      failed += line.equals("-ERR failed") ? 1 : 0;
      refused += line.equals("-BUSY") ? 1 : 0;
    }
    assertEquals("-ERR too many commands unanswered", line);
    assertEquals(256, failed);
    assertEquals(4096 - 256, refused);
    Peer.Line other = client();
    get(other, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), other.message());
  }

  /**
   * In the last part of a drain a connection with a request open is read no further; its end is
   * seen as well.
   */
  @Test
  void aClientThatLeavesBehindUnreadCommandsIsGone() throws Exception {
    admin = true;
    start();
    Peer.Line client = client();
    client.write(held(1));
    expect("arrived 1 hold p " + CUSTOMER + " 1 3 0 false");
    Calls.call(node.adminAddress(), "PUT /api/evacuate");
    Thread.sleep((long) Drain.CUT_AFTER + 200); // the time itself is what is tested
    client.write(held(2) + held(3) + held(4)); // several, as they are read together with the end
    Thread.sleep(100); // they lie unread
    client.close();
    expect("gone 1");
    figure("/in_flight", "0");
    assertEquals(List.of(), List.copyOf(told));
  }

  /**
   * Its connection came up after the servers had forgotten the first attempt: sent then, it would
   * run twice.
   */
  @Test
  void aRepeatIsNotWrittenOnceTheServersMayHaveForgottenTheFirst() throws Exception {
    start();
    late.port = app.port();
    Peer.Line client = client();
    client.command(
        "CALL.POST", CUSTOMER, "02", "c=again,t=p,d=5000,k=5c0f,units=2,spread=3,first=1");
    arrived(1, "again");
    assertEquals("02", server.message().get(2));
    server.close();
    expect("ended 1 0 RESET false");
    late.begun();
    Thread.sleep(400); // the time itself is what is tested: the servers remember for 300 ms
    late.release();
    expect("ended 1 1 NO_CONNECTION false");
    assertEquals(List.of("-ERR failed"), client.message());
    Peer.Line line = app.accept();
    get(client, "03", "read", 5000);
    arrived(2, "read");
    assertEquals("03", line.message().get(2));
  }

  /**
   * On a connection that stays open a client asks on after SIGTERM: the process ended with that
   * still owed.
   */
  @Test
  void whatComesLateAfterTheEndHasBegunIsAnsweredBeforeTheProcessEnds() throws Exception {
    admin = true;
    start();
    Peer.Line client = client();
    get(client, "01", "hold", 2000);
    arrived(1, "hold");
    Thread draining = ending();
    Thread.sleep(1800); // the time itself is what is tested
    get(client, "02", "hold", 2000);
    arrived(2, "hold");
    assertEquals(List.of("-ERR failed"), client.message());
    assertEquals(List.of("-ERR failed"), client.message());
    assertTrue(client.ended());
    draining.join();
  }

  /**
   * What was taken just before SIGTERM may be waited for past the kill: it was found unanswered by
   * it.
   */
  @Test
  void whatIsWaitedForPastTheKillIsAnsweredBeforeIt() throws Exception {
    admin = true;
    start();
    Peer.Line sent = client();
    get(sent, "01", "read", 30_000);
    arrived(1, "read");
    assertEquals("01", server.message().get(2)); // it never answers
    Peer.Line waits = client();
    get(waits, "02", "hold", 30_000);
    arrived(2, "hold");
    Thread draining = ending();
    assertEquals(
        List.of("-ERR failed"),
        sent.message()); // the kill may come after 2.7 s; the read ends after 10
    assertEquals(List.of("-ERR failed"), waits.message());
    draining.join();
  }

  /**
   * A client's wait counts from its request's last byte. Counted from when a busy loop came to read
   * it, the answer was late by as much, and its client had gone by then.
   */
  private void isAnsweredInItsClientsTime(boolean onNewConnection) throws Exception {
    start();
    Peer.Line known = client();
    known.command("PING");
    assertEquals(List.of("+PONG"), known.message());
    get(client(), "f0", "stall", 9000);
    arrived(1, "stall");
    get(onNewConnection ? client() : known, "02", "hold", 9000);
    long unread = 500;
    Thread.sleep(unread); // the time itself is what is tested: the loop is busy for so long
    stall.countDown();
    arrived(2, "hold");
    assertTrue(patience < 9000 - unread, "of 9000 ms " + patience + " after " + unread);
  }

  @Test
  void aRequestThatLayUnreadIsAnsweredInItsClientsTime() throws Exception {
    isAnsweredInItsClientsTime(false);
  }

  @Test
  void aRequestOnAConnectionThatWaitedToBeAcceptedIsAnsweredInItsClientsTime() throws Exception {
    isAnsweredInItsClientsTime(true);
  }

  /**
   * Behind a busy spell the line of an answer that lay unread was taken for dead and ended, and the
   * answer lost.
   */
  @Test
  void aCounterThatAnswersABusyLoopIsNotTakenForDead() throws Exception {
    start();
    for (int i = 0; i < 4; i++) {
      Peer.Line line = counter.accept();
      Thread answering =
          new Thread(
              () -> {
                try {
                  while (true) {
                    line.write(line.message().get(0).equals("PING") ? "+PONG\r\n" : "$1\r\n1\r\n");
                  }
                } catch (IOException closed) {
                  // the test is over
                }
              });
      answering.setDaemon(true);
      answering.start();
    }
    Peer.Line client = client();
    get(client, "01", "count", 9000);
    get(client, "f0", "stall", 9000);
    Thread.sleep(700); // the time itself is what is tested: a line is dead after 400 ms
    stall.countDown();
    for (String line = told.take(); !line.startsWith("counted 77 OK"); line = told.take()) {
      assertTrue(line.startsWith("arrived") || line.startsWith("counted 77 OVERDUE"), line);
    }
  }

  /**
   * It crossed the end of its connection: read and dropped, its client could not tell that it was
   * never taken.
   */
  @Test
  void aRequestThatCrossesTheEndOfItsConnectionStaysUnreadAndIsToldSo() throws Exception {
    admin = true;
    start();
    try (SocketChannel rests = SocketChannel.open(node.address())) {
      rests.write(ascii("*1\r\n$4\r\nPING\r\n"));
      ByteBuffer read = ByteBuffer.allocate(64);
      while (read.position() < "+PONG\r\n".length()) {
        assertTrue(rests.read(read) > 0);
      }
      Thread draining = ending();
      read.clear();
      assertEquals(-1, rests.read(read));
      rests.write(ascii(held(1)));
      draining.join(); // all is closed by now
      assertThrows(
          IOException.class,
          () -> rests.write(ascii(held(2)))); // reset, or this one would be sent yet
      assertTrue(told.stream().noneMatch(line -> line.startsWith("arrived")));
    }
  }

  private static ByteBuffer ascii(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * A client within a command may finish it after SIGTERM, and is answered: its connection ended
   * under it.
   */
  @Test
  void aCommandHalfReadAtTheEndIsTakenAndAnswered() throws Exception {
    admin = true;
    start();
    Peer.Line slow = client();
    slow.socket.setTcpNoDelay(true);
    String call = held(1);
    slow.write(call.substring(0, 20));
    Peer.Line idle = client();
    idle.command("PING"); // the half before it has been read
    assertEquals(List.of("+PONG"), idle.message());
    Thread draining = ending();
    assertTrue(idle.ended()); // those between requests have been ended
    slow.write(call.substring(20));
    assertEquals(List.of("-ERR failed"), slow.message());
    assertTrue(slow.ended());
    draining.join();
  }
}
