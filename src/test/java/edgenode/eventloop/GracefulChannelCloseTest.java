package edgenode.eventloop;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** How long a peer is waited for that has not received all, in manual time. */
class GracefulChannelCloseTest {
  private static final double LINGER_MS = 200;
  private static final double STALL_TIMEOUT_MS = 60_000;

  /** Says what the test has set of the one channel's delivery. */
  private static final class ScriptedTransport implements Transport {
    private Delivery delivery = new Delivery(false, 0);

    @Override
    public Delivery deliveryOf(Channel connection) {
      return delivery;
    }

    @Override
    public Bootstrap newClientBootstrap(EventLoopGroup group, int connectTimeoutMs) {
      throw new UnsupportedOperationException("connects nowhere");
    }

    @Override
    public ServerBootstrap newServerBootstrap(EventLoopGroup group, int backlog) {
      throw new UnsupportedOperationException("listens nowhere");
    }

    @Override
    public SocketAddress toSocketAddress(InetSocketAddress address) {
      return address;
    }
  }

  private final ScriptedTransport transport = new ScriptedTransport();
  private final ManualEventLoop loop = new ManualEventLoop(transport);
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private double stallTimeoutMs = STALL_TIMEOUT_MS;

  @BeforeEach
  void startClose() {
    GracefulChannelClose.start(loop, channel, LINGER_MS, () -> stallTimeoutMs);
  }

  @Test
  void peerThatHasAllIsClosedAfterItsTimeToClose() {
    transport.delivery = new Delivery(true, 1000);
    loop.advance(LINGER_MS / 2);
    assertTrue(channel.isOpen());
    loop.advance(2 * LINGER_MS);
    assertFalse(channel.isOpen());
  }

  /**
   * Guards against cutting off a peer that reads slowly: its system acknowledges a segment at a
   * time, as long as that takes.
   */
  @Test
  void peerThatTakesALittleNowAndThenIsWaitedFor() {
    for (int i = 1; i <= 20; i++) {
      loop.advance(STALL_TIMEOUT_MS - 2 * LINGER_MS);
      transport.delivery = new Delivery(false, i);
      loop.advance(LINGER_MS);
    }
    assertTrue(channel.isOpen());
    transport.delivery = new Delivery(true, 21);
    loop.advance(2 * LINGER_MS);
    assertFalse(channel.isOpen());
  }

  @Test
  void peerThatTakesNothingIsDisconnected() {
    loop.advance(STALL_TIMEOUT_MS - LINGER_MS);
    assertTrue(channel.isOpen());
    loop.advance(3 * LINGER_MS);
    assertFalse(channel.isOpen());
  }

  /** The time is asked anew at each check: it is shorter once the process is to end. */
  @Test
  void shorterTimeCountsForAPeerThatIsWaitedForAlready() {
    loop.advance(STALL_TIMEOUT_MS / 2);
    assertTrue(channel.isOpen());
    stallTimeoutMs = STALL_TIMEOUT_MS / 4;
    loop.advance(2 * LINGER_MS);
    assertFalse(channel.isOpen());
  }
}
