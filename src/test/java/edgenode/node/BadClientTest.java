package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Clients that send what cannot be read, say nothing, do not read, or come by hundreds. */
class BadClientTest extends NodeFixture {
  /** Guards against crashes, hangs and unbounded buffers: -ERR, and a broken frame also closes. */
  @Test
  void malformedInputGetsAnError() throws Exception {
    start();
    Peer.Line client = client();
    String call = "c=read,t=p,d=900,units=2,spread=3,first=1";
    for (String list :
        new String[] {
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
          call.replace("read", "write") + ",k=1"
        }) {
      client.command("CALL.GET", CUSTOMER, "01", list);
      assertTrue(client.message().get(0).startsWith("-ERR "), list);
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
      client.command(words);
      assertTrue(client.message().get(0).startsWith("-ERR "), String.join(" ", words));
    }
    client.write("*4\r\n$8\r\nCALL.GET\r\n$-1\r\n*1\r\n+x\r\n:5\r\n");
    assertTrue(client.message().get(0).startsWith("-ERR "));
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
      Peer.Line other = client();
      other.write(broken);
      assertTrue(other.message().get(0).startsWith("-ERR "), broken);
      assertTrue(other.ended(), broken);
    }
    get(client, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), client.message());
  }

  /**
   * An app server could not tell two open requests of one id apart; a closed one's id is free
   * again.
   */
  @Test
  void anIdIsOpenOnce() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "hold", 400);
    arrived(1, "hold");
    Peer.Line other = client();
    get(other, "01", "refuse", 900);
    assertTrue(other.message().get(0).startsWith("-ERR "));
    assertEquals(List.of("-ERR failed"), client.message());
    get(other, "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), other.message());
  }

  /**
   * Its error would come after all that is open before it on the connection: that fails at once.
   */
  @Test
  void aBrokenFrameIsNotLateBehindOpenCalls() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "hold", 60_000);
    arrived(1, "hold");
    client.write("*4\r\n$99999999\r\n");
    assertEquals(List.of("-ERR failed"), client.message());
    assertTrue(client.message().get(0).startsWith("-ERR "));
    assertTrue(client.ended());
    expect("gone 1");
  }

  /**
   * Silent ones and halves of commands filled the places of clients that ask; those that ask may
   * stay.
   */
  @Test
  void silenceAndHalfACommandAreEnded() throws Exception {
    start();
    Peer.Line good = client();
    good.command("PING");
    assertEquals(List.of("+PONG"), good.message());
    Peer.Line silent = client();
    Peer.Line half = client();
    half.write("*4\r\n$8\r\nCALL.G");
    Peer.Line later = client();
    later.command("PING");
    assertEquals(List.of("+PONG"), later.message());
    later.write("*1\r\n$4\r\nPI");
    for (Peer.Line line : List.of(silent, half, later)) {
      assertTrue(line.message().get(0).startsWith("-ERR "));
      assertTrue(line.ended());
    }
    good.command("PING");
    assertEquals(List.of("+PONG"), good.message());
  }

  /** One that never reads kept the process from ending after SIGTERM. */
  @Test
  void aClientThatNeverReadsDoesNotKeepTheNode() throws Exception {
    sockets = 512;
    start();
    Peer.Line client = client();
    String value = "v".repeat(64 * 1024);
    List<Peer.Line> lines = new ArrayList<>();
    for (int i = 0; i < 140; i++) { // more than the sockets' buffers hold
      get(client, "0" + i, "read", 20_000);
      lines.add(i == 0 ? server : app.accept());
      lines.get(i).message();
    }
    for (Peer.Line line : lines) {
      line.value(value);
    }
    drained = true;
    node.drain(); // or the test's time is up
  }

  /** Running out of descriptors would end accepting: an idle client makes room for a new one. */
  @Test
  void manyClientsPushOutTheIdlest() throws Exception {
    sockets = 80; // 22 places, as half of the shares is cut where so few are all
    start();
    List<Peer.Line> lines = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Peer.Line line = client();
      line.command("PING");
      assertEquals(List.of("+PONG"), line.message());
      lines.add(line);
    }
    for (int i = 0; i < 40 - 22; i++) { // the cap is half of 55 in 100 of 80
      assertTrue(lines.get(i).ended());
    }
    get(lines.get(39), "01", "refuse", 900);
    assertEquals(List.of("-BUSY 1500"), lines.get(39).message());
  }

  /**
   * A crowd that says nothing takes all places and more, again and again; a client that needs 1.5 s
   * for its command was taken for one of them after half a second, and cut off.
   */
  @Test
  void aSlowWriterIsNotTakenForOneOfACrowd() throws Exception {
    sockets = 80; // 22 places, as half of the shares is cut where so few are all
    start();
    Peer.Line slow = client();
    slow.socket.setTcpNoDelay(true);
    String call =
        "*4\r\n$8\r\nCALL.GET\r\n$16\r\n"
            + CUSTOMER
            + "\r\n$2\r\n01\r\n$19\r\nc=refuse,t=p,d=1500\r\n";
    List<Peer.Line> crowd = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      slow.write(call.substring(i * 10, (i + 1) * 10));
      for (int n = 0; n < 10; n++) {
        crowd.add(client()); // 60 in all, for 22 places
      }
      Thread.sleep(250);
    }
    slow.write(call.substring(60));
    assertEquals(List.of("-BUSY 1500"), slow.message());
    assertTrue(crowd.get(0).ended());
  }
}
