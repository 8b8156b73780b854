package edgenode.net.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.eventloop.NettyEdgeEventLoop;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Streamed values on loopback while other connections have used up the response buffers. */
@Timeout(30)
class StreamFlowTest {
  private static final int VALUE_BYTES = 1 << 20;
  private static final int CHUNK_BYTES = 16 << 10;
  private static final double CHUNK_INTERVAL_MS = 2;
  private static final int READ_TIMEOUT_MS = 5000;
  private static final int MAX_CONNECTIONS = 8;

  private static final byte[] COMMAND =
      "*1\r\n$8\r\nCALL.GET\r\n".getBytes(StandardCharsets.US_ASCII);

  /** Gives the next chunk at each interval in which it is not stopped. On the event loop. */
  private final class ChunkSource implements FlowControl {
    private final ResponseSlot slot;
    private int remainingBytes = VALUE_BYTES;
    private boolean isFlowing = true;

    ChunkSource(ResponseSlot slot) {
      this.slot = slot;
    }

    @Override
    public void setFlowing(boolean isOn) {
      isFlowing = isOn;
    }

    void writeChunks() {
      if (remainingBytes == 0) {
        slot.finishStreaming();
        return;
      }
      if (isFlowing) {
        remainingBytes -= CHUNK_BYTES;
        slot.writeChunk(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
      }
      loop.schedule(CHUNK_INTERVAL_MS, this::writeChunks);
    }
  }

  private final NettyEdgeEventLoop loop = NettyEdgeEventLoop.create();

  /** Of the commands, in their order. */
  private final BlockingQueue<ResponseSlot> slots = new LinkedBlockingQueue<>();

  private ClientListener listener;
  private double maxHoldMs = 1000;
  private int port;

  @BeforeEach
  void listen() throws Exception {
    listener =
        new ClientListener(
            loop,
            (slot, command, isOverPipelineLimit) -> {
              slots.add(slot);
              loop.schedule(CHUNK_INTERVAL_MS, () -> startStreaming(slot));
              return null;
            },
            MAX_CONNECTIONS,
            false);
    InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    port = ((InetSocketAddress) listener.bind(anyPort).sync().channel().localAddress()).getPort();
    loop.group().submit(listener::start).sync();
  }

  @AfterEach
  void close() throws Exception {
    loop.group().shutdownGracefully().sync();
  }

  /**
   * Guards against a value that was held back for good: "the channel has unwritten bytes" was asked
   * in the listener of the write that had just taken the last of them, and never again.
   */
  @Test
  void valueIsStreamedToAPromptReaderWhileTheBuffersOfOthersAreFull() throws Exception {
    addBytesOfOtherConnections(2 * ResponseBufferBudget.MAX_TOTAL_BYTES);
    try (Socket client = connect()) {
      client.getOutputStream().write(COMMAND);
      readValue(client);
    }
  }

  /**
   * Guards against a value that waits for room for good: it is held back, as a command is behind
   * it, and streamed when its time is over.
   */
  @Test
  void valueWithoutRoomToHoldItBackIsStreamedInTheEnd() throws Exception {
    addBytesOfOtherConnections(2 * ResponseBufferBudget.MAX_TOTAL_BYTES);
    try (Socket client = connect()) {
      client.getOutputStream().write(COMMAND);
      client.getOutputStream().write(COMMAND);
      readValue(client);
      readValue(client);
    }
  }

  /** Room that others free is found before the time of a value is over. */
  @Test
  void valueIsHeldBackInRoomThatOthersFree() throws Exception {
    maxHoldMs = READ_TIMEOUT_MS - 500;
    addBytesOfOtherConnections(2 * ResponseBufferBudget.MAX_TOTAL_BYTES);
    try (Socket client = connect()) {
      client.getOutputStream().write(COMMAND);
      client.getOutputStream().write(COMMAND);
      Thread.sleep(200); // the value waits for room by now
      addBytesOfOtherConnections(-2 * ResponseBufferBudget.MAX_TOTAL_BYTES);
      double startedMs = loop.nowMs();
      readValue(client);
      assertTrue(loop.nowMs() - startedMs < maxHoldMs - 500, "held back until its time was over");
      readValue(client);
    }
  }

  /** Guards against dropping a response because the value before it is held back. */
  @Test
  void responseBehindAHeldValueMayBeBuffered() throws Exception {
    maxHoldMs = READ_TIMEOUT_MS;
    addBytesOfOtherConnections(ResponseBufferBudget.MAX_TOTAL_BYTES - VALUE_BYTES * 8L / 5);
    try (Socket client = connect()) {
      client.getOutputStream().write(COMMAND);
      client.getOutputStream().write(COMMAND);
      slots.take();
      ResponseSlot behind = slots.take();
      Thread.sleep(100); // the value is held back by now
      boolean canBuffer =
          loop.group().submit(() -> behind.canBuffer(RespCodec.MAX_VALUE_BYTES)).get();
      assertTrue(canBuffer);
    }
  }

  private void startStreaming(ResponseSlot slot) {
    ChunkSource source = new ChunkSource(slot);
    slot.startStreaming(VALUE_BYTES, source, maxHoldMs);
    loop.schedule(CHUNK_INTERVAL_MS, source::writeChunks);
  }

  private void addBytesOfOtherConnections(long bytes) throws InterruptedException {
    loop.group().submit(() -> listener.responseBudget().add(bytes)).sync();
  }

  private Socket connect() throws IOException {
    Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
    client.setSoTimeout(READ_TIMEOUT_MS);
    return client;
  }

  private static void readValue(Socket client) throws IOException {
    int messageBytes = ("$" + VALUE_BYTES + "\r\n").length() + VALUE_BYTES + "\r\n".length();
    assertEquals(messageBytes, client.getInputStream().readNBytes(messageBytes).length);
  }
}
