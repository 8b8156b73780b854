package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients that send malformed input, nothing at all, do not read, or connect by hundreds. */
class MisbehavingClientTest extends EdgeNodeFixture {
  private static List<String> malformedParameters(String call) {
    return List.of(
        "c=read,t=p",
        "d",
        call.replace("900", "x"),
        call.replace("900", "-1"),
        call.replace("900", "NaN"),
        call.replace("900", "0x1p3"),
        call.replace("900", "1e30"),
        call.replace("units=2", "units=-1"),
        call.replace("units=2", "units=1.5"),
        call.replace("units=2", "units=NaN"),
        call.replace("units=2", "units=0x1p0"),
        call.replace("units=2", "units=3"),
        call.replace("units=2", "units=99999999999"),
        call.replace("spread=3", "spread=0"),
        call.replace("spread=3", "spread=5"),
        call.replace("first=1", "first=4"),
        call.replace("first=1", "first=1e0"),
        call.replace("read", "write"),
        call.replace("read", "write") + ",k=1");
  }

  /** Guards against crashes, hangs and unbounded buffers: -ERR, and a broken frame also closes. */
  @Test
  void malformedInputIsAnsweredWithAnError() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    String call = "c=read,t=p,d=900,units=2,spread=3,first=1";
    for (String parameters : malformedParameters(call)) {
      client.writeCommand("CALL.GET", CUSTOMER, "01", parameters);
      assertTrue(client.readMessage().get(0).startsWith("-ERR "), parameters);
    }
    for (String[] words :
        new String[][] {
          {"GET", "x"},
          {"CALL.GET"},
          {"CALL.GET", CUSTOMER, call},
          {"CALL.GET", CUSTOMER, "", call},
          {"CALL.GET", "x".repeat(16), "01", call},
          {"CALL.GET", "0000000200000000", "01", call},
          {"CALL.GET", CUSTOMER, "01", call, "d", "e"},
          {"CALL.POST", CUSTOMER, "01", call, "d"},
          {"CALL.POST", CUSTOMER, "01", "c=write,t=p,d=900"}
        }) {
      client.writeCommand(words);
      assertTrue(client.readMessage().get(0).startsWith("-ERR "), String.join(" ", words));
    }
    client.write("*4\r\n$8\r\nCALL.GET\r\n$-1\r\n*1\r\n+x\r\n:5\r\n");
    assertTrue(client.readMessage().get(0).startsWith("-ERR "));
    for (String broken :
        new String[] {
          "GET / HTTP/1.1\r\n\r\n",
          "*1\r\n$536870000\r\n",
          "*1\r\n$x\r\n",
          "*2000000000\r\n",
          "*1\r\n$70000\r\n",
          "*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n*1\r\n$1\r\na\r\n",
          "$3\r\nabcde"
        }) {
      FakePeer.Connection other = connectClient();
      other.write(broken);
      assertTrue(other.readMessage().get(0).startsWith("-ERR "), broken);
      assertTrue(other.isClosedByPeer(), broken);
    }
    sendGet(client, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
  }

  /**
   * A server could not distinguish two open requests of one id; after the end the id is free again.
   */
  @Test
  void secondOpenRequestWithTheSameIdIsRejected() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "hold", 400);
    expectArrival(1, "hold");
    FakePeer.Connection other = connectClient();
    sendGet(other, "01", "refuse", 900);
    assertTrue(other.readMessage().get(0).startsWith("-ERR "));
    assertEquals(List.of("-ERR failed"), client.readMessage());
    sendGet(other, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), other.readMessage());
  }

  /** The error is written after the open requests of the connection: these fail at once. */
  @Test
  void malformedFrameFailsOpenRequestsAtOnce() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "hold", 60_000);
    expectArrival(1, "hold");
    client.write("*4\r\n$99999999\r\n");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    assertTrue(client.readMessage().get(0).startsWith("-ERR "));
    assertTrue(client.isClosedByPeer());
    expectPolicyEvent("gone 1");
  }

  /**
   * Guards against silent clients and partial commands that used up the connections; clients that
   * send requests may stay.
   */
  @Test
  void silentAndPartialCommandConnectionsAreClosed() throws Exception {
    start();
    FakePeer.Connection good = connectClient();
    good.writeCommand("PING");
    assertEquals(List.of("+PONG"), good.readMessage());
    FakePeer.Connection silent = connectClient();
    FakePeer.Connection half = connectClient();
    half.write("*4\r\n$8\r\nCALL.G");
    FakePeer.Connection later = connectClient();
    later.writeCommand("PING");
    assertEquals(List.of("+PONG"), later.readMessage());
    later.write("*1\r\n$4\r\nPI");
    for (FakePeer.Connection connection : List.of(silent, half, later)) {
      assertTrue(connection.readMessage().get(0).startsWith("-ERR "));
      assertTrue(connection.isClosedByPeer());
    }
    good.writeCommand("PING");
    assertEquals(List.of("+PONG"), good.readMessage());
  }

  /** Guards against a client that never reads, which kept the process from ending after SIGTERM. */
  @Test
  void clientThatNeverReadsDoesNotBlockShutdown() throws Exception {
    maxDescriptors = 512;
    start();
    FakePeer.Connection client = connectClient();
    String value = "v".repeat(64 * 1024);
    List<FakePeer.Connection> connections = new ArrayList<>();
    for (int i = 0; i < 140; i++) { // more than the sockets' buffers hold
      sendGet(client, "0" + i, "read", 20_000);
      connections.add(i == 0 ? serverConnection : appServer.accept());
      connections.get(i).readMessage();
    }
    for (FakePeer.Connection connection : connections) {
      connection.writeAppServerValue(value);
    }
    isShutDown = true;
    node.shutdown(); // or the test times out
  }

  /** Without descriptors the node could not accept: an idle client makes room for a new one. */
  @Test
  void connectionLimitEvictsTheLongestIdleClient() throws Exception {
    maxDescriptors = 80; // 22 connections: half of the 55 % share at such a low limit
    start();
    List<FakePeer.Connection> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      FakePeer.Connection client = connectClient();
      client.writeCommand("PING");
      assertEquals(List.of("+PONG"), client.readMessage());
      clients.add(client);
    }
    for (int i = 0; i < 40 - 22; i++) { // the limit is half of 55 % of 80
      assertTrue(clients.get(i).isClosedByPeer());
    }
    sendGet(clients.get(39), "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), clients.get(39).readMessage());
  }

  /**
   * Silent clients use more than all connections; guards against evicting a client that needs 1.5 s
   * for its command.
   */
  @Test
  void slowWriterIsNotEvictedByACrowd() throws Exception {
    maxDescriptors = 80; // 22 connections: half of the 55 % share at such a low limit
    start();
    FakePeer.Connection slow = connectClient();
    slow.socket.setTcpNoDelay(true);
    String call =
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    List<FakePeer.Connection> crowd = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      slow.write(call.substring(i * 10, (i + 1) * 10));
      for (int n = 0; n < 10; n++) {
        crowd.add(connectClient()); // 60 in all, for 22 connections
      }
      Thread.sleep(250);
    }
    slow.write(call.substring(60));
    assertEquals(List.of("-BUSY 1500"), slow.readMessage());
    assertTrue(crowd.get(0).isClosedByPeer());
  }

  /**
   * Guards against a pause of accepting that lasted until a connection closed: of the silent
   * clients that had used up the limit, none was evicted when its grace was over.
   */
  @Test
  void acceptingGoesOnWhenTheGraceOfSilentClientsIsOver() throws Exception {
    maxDescriptors = 80; // 22 connections: half of the 55 % share at such a low limit
    start();
    for (int i = 0; i < 40; i++) {
      connectClient();
    }
    double startedMs = System.nanoTime() / 1e6;
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "refuse", 9000);
    assertEquals(List.of("-BUSY 1500"), client.readMessage());
    double waitedMs = System.nanoTime() / 1e6 - startedMs;
    // 500 ms for each of the two crowds that fill the limit; silent clients get an error after 2.5
    // s
    assertTrue(waitedMs < 2000, waitedMs + " ms");
  }

  /** Guards against a pause of accepting that lasted though connections had become idle. */
  @Test
  void acceptingGoesOnWhenConnectionsBecomeIdle() throws Exception {
    maxDescriptors = 80; // 22 connections
    start();
    List<FakePeer.Connection> clients = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      FakePeer.Connection client = connectClient();
      sendGet(client, "0" + i, "hold", 400);
      clients.add(client);
    }
    for (FakePeer.Connection client : clients) { // none closes its connection
      assertEquals(List.of("-ERR failed"), client.readMessage());
    }
  }
}
