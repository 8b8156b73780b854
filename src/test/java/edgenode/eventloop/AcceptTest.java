package edgenode.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that arrive while the event loop is busy. */
@Timeout(30)
class AcceptTest {
  private static final int CLIENT_COUNT = 8;

  /** With one accept in each pass of the loop, the last of a burst waited for as many passes. */
  @Test
  void allPendingConnectionsAreAcceptedInOnePassOfTheLoop() throws Exception {
    EventLoopGroup group = Transport.newEventLoopGroup();
    CompletableFuture<Integer> inFirstPass = new CompletableFuture<>();
    CountDownLatch busy = new CountDownLatch(1);
    CountDownLatch isLoopBlocked = new CountDownLatch(1);
    List<Socket> clients = new ArrayList<>();
    try {
      Channel listener =
          Transport.SOCKETS
              .newServerBootstrap(group, CLIENT_COUNT)
              .childHandler(
                  new ChannelInitializer<Channel>() {
                    private int accepted;

                    @Override
                    protected void initChannel(Channel channel) {
                      if (++accepted == 1) { // tasks run after all ready channels
                        channel.eventLoop().execute(() -> inFirstPass.complete(accepted));
                      }
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .sync()
              .channel();
      group.execute(
          () -> {
            isLoopBlocked.countDown();
            try {
              busy.await(10, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
          });
      // a connect before the loop is blocked would be accepted in a pass of its own
      assertTrue(isLoopBlocked.await(10, TimeUnit.SECONDS));
      for (int i = 0; i < CLIENT_COUNT; i++) {
        InetSocketAddress at = (InetSocketAddress) listener.localAddress();
        clients.add(
            new Socket(
                at.getAddress(), at.getPort())); // the system accepts it while the loop is busy
      }
      busy.countDown();
      assertEquals(CLIENT_COUNT, inFirstPass.get(10, TimeUnit.SECONDS));
    } finally {
      for (Socket client : clients) {
        client.close();
      }
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }
}
