package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Endpoints that write responses slowly, or read requests slowly. */
class SlowEndpointTest extends EdgeNodeFixture {
  private static final int PAUSE_MS = 350;
  private static final int REQUESTS = 3;
  private static final int SMALL_BUFFER_BYTES = 2048;

  /** The protocol's allowance for an answer on sockets. */
  private static final int MAX_DELAY_MS = 66;

  /** Sockets to endpoints whose kernel takes little that the endpoint does not read. */
  private static final class SmallBufferTransport implements Transport {
    @Override
    public Bootstrap newClientBootstrap(EventLoopGroup group, int connectTimeoutMs) {
      return SOCKETS
          .newClientBootstrap(group, connectTimeoutMs)
          .option(ChannelOption.SO_SNDBUF, SMALL_BUFFER_BYTES);
    }

    @Override
    public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
      return SOCKETS.newServerBootstrap(group, backlog);
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
      return address;
    }
  }

  private void writeInPieces(String... pieces) throws Exception {
    for (String piece : pieces) {
      serverConnection.write(piece);
      Thread.sleep(PAUSE_MS); // an endpoint stands still for up to half a second
    }
  }

  /**
   * Guards against a response that was cut off while its endpoint was writing it: 250 ms were
   * allowed for the whole of it.
   */
  @Test
  void responseThatIsWrittenSlowlyIsServed() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 9000);
    serverConnection.readMessage();
    writeInPieces("*3\r\n$1", "0\r\n01", "23", "4567", "89\r", "\n$-1\r\n$", "-1\r\n");
    assertEquals(List.of("0123456789"), client.readMessage());
  }

  /** The same with a long value whose first bytes come in pieces. */
  @Test
  void longValueWhoseHeaderIsWrittenSlowlyIsServed() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 9000);
    serverConnection.readMessage();
    String value = "v".repeat(200_000);
    writeInPieces("*3\r\n$20", "0000\r", "\n" + value, "\r\n$-1\r\n$", "-1\r\n");
    assertEquals(List.of(value), client.readMessage());
  }

  /** A response of which nothing more comes is given up long before its request's time is over. */
  @Test
  void responseThatStopsIsGivenUp() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 9000);
    expectArrival(1, "read");
    serverConnection.readMessage();
    double startedMs = System.nanoTime() / 1e6;
    serverConnection.write("*3\r\n$10\r\n01");
    expectPolicyEvent("ended 1 0 ERROR false");
    assertEquals(List.of("-ERR failed"), client.readMessage());
    double waitedMs = System.nanoTime() / 1e6 - startedMs;
    assertTrue(waitedMs < 2000, waitedMs + " ms");
  }

  /**
   * An endpoint that reads nothing of large requests: each client has its answer when its time is
   * over, not when the endpoint has read.
   */
  @Test
  void answerIsInTimeWhereTheEndpointDoesNotReadTheRequest() throws Exception {
    transport = new SmallBufferTransport();
    appServer = new FakePeer(SMALL_BUFFER_BYTES);
    resources.add(appServer);
    start();
    for (int i = 0; i < REQUESTS; i++) {
      FakePeer.Connection client = connectClient();
      double startedMs = System.nanoTime() / 1e6;
      client.writeCommand(
          "CALL.POST",
          CUSTOMER,
          "0" + i,
          "c=write,t=p,d=600,k=k" + i + ",units=2,spread=3,first=1",
          "b".repeat(60_000));
      assertEquals(List.of("-ERR failed"), client.readMessage());
      double waitedMs = System.nanoTime() / 1e6 - startedMs;
      assertTrue(waitedMs < 600 + MAX_DELAY_MS, waitedMs + " ms");
    }
  }
}
