package edgenode.simulation.fleet;

import edgenode.emulator.DiscoveryAgentEmulator;
import edgenode.membership.DiscoveredEndpoint;
import edgenode.net.counter.CounterCodec;
import edgenode.net.discovery.EndpointListJson;
import edgenode.net.resp.RespCodec;
import io.netty.buffer.ByteBuf;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.StringJoiner;

/**
 * Messages in the form that the node's connections write and read, for their length and content.
 * One owner, {@link FleetSimulation}, closes it.
 */
final class WireFormats {
  /** A chunk's length and line ends (RFC 9112 7.1): hex digits and two CRLF. */
  private static final int CHUNK_OVERHEAD_BYTES = 4;

  /**
   * A complete list or a change of discovery.
   *
   * @param entries as the node's own reader parses them
   * @param bytes length on the wire
   */
  record ListMessage(
      long version, boolean isComplete, List<DiscoveredEndpoint> entries, int bytes) {}

  private final EmbeddedChannel respChannel = new EmbeddedChannel();

  WireFormats() {
    RespCodec.addCodec(respChannel.pipeline(), 4);
  }

  private int encodedBytes(Object message) {
    respChannel.writeOutbound(message);
    int length = 0;
    for (ByteBuf buffer = respChannel.readOutbound();
        buffer != null;
        buffer = respChannel.readOutbound()) {
      length += buffer.readableBytes();
      buffer.release();
    }
    return length;
  }

  /** Length of {@code CNT.ADD} as the counter's client writes it (bytes). */
  int addBytes(long name, double amount, double ttlMs) {
    return encodedBytes(
        RespCodec.command(respChannel.alloc(), CounterCodec.addCommand(name, amount, ttlMs)));
  }

  /** Length of the answer to {@code CNT.ADD} (bytes). */
  int totalBytes(double total) {
    return encodedBytes(
        RespCodec.bulkString(respChannel.alloc(), CounterCodec.formatAmount(total)));
  }

  /** A message of a watch: one line in a chunk of its own. */
  static ListMessage listMessage(
      long version, boolean isComplete, Iterable<DiscoveryAgentEmulator.Host> hosts) {
    StringJoiner json =
        new StringJoiner(
            ",", "{\"seq\":" + version + ",\"whole\":" + isComplete + ",\"hosts\":[", "]}\n");
    hosts.forEach(host -> json.add(host.json()));
    byte[] text = json.toString().getBytes(StandardCharsets.US_ASCII);
    try {
      EndpointListJson parsed =
          EndpointListJson.parse(
              text,
              text.length,
              problem -> {
                throw new IllegalStateException(problem);
              });
      return new ListMessage(
          parsed.version(),
          parsed.isComplete(),
          parsed.endpoints(),
          text.length + CHUNK_OVERHEAD_BYTES + Integer.toHexString(text.length).length());
    } catch (IOException e) {
      throw new IllegalStateException("text of this class", e);
    }
  }

  void close() {
    respChannel.finishAndReleaseAll();
  }
}
