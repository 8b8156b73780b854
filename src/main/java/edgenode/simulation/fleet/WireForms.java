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

/** Messages as the connections write and read them, for their lengths (bytes) and what they say. */
final class WireForms {
  /** A chunk's length and line ends (RFC 9112 7.1): hex digits and two CRLF. */
  private static final int CHUNK = 4;

  /**
   * A list or change as told: its entries as the node's own reader has them, and its bytes on the
   * wire.
   */
  record Listed(long seq, boolean whole, List<DiscoveredEndpoint> entries, int bytes) {}

  private final EmbeddedChannel resp = new EmbeddedChannel();

  WireForms() {
    RespCodec.addCodec(resp.pipeline(), 4);
  }

  private int length(Object message) {
    resp.writeOutbound(message);
    int length = 0;
    for (ByteBuf out = resp.readOutbound(); out != null; out = resp.readOutbound()) {
      length += out.readableBytes();
      out.release();
    }
    return length;
  }

  /** {@code CNT.ADD} as the counter's client writes it. */
  int add(long name, double amount, double keepFor) {
    return length(RespCodec.command(resp.alloc(), CounterCodec.addCommand(name, amount, keepFor)));
  }

  /** Its answer. */
  int total(double total) {
    return length(RespCodec.bulkString(resp.alloc(), CounterCodec.formatAmount(total)));
  }

  /** A line of the watch, in its chunk. */
  static Listed listed(long seq, boolean whole, Iterable<DiscoveryAgentEmulator.Host> hosts) {
    StringJoiner all =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":" + whole + ",\"hosts\":[", "]}\n");
    hosts.forEach(h -> all.add(h.json()));
    byte[] text = all.toString().getBytes(StandardCharsets.US_ASCII);
    try {
      EndpointListJson read =
          EndpointListJson.parse(
              text,
              text.length,
              bad -> {
                throw new IllegalStateException(bad);
              });
      return new Listed(
          read.version(),
          read.isComplete(),
          read.endpoints(),
          text.length + CHUNK + Integer.toHexString(text.length).length());
    } catch (IOException e) {
      throw new IllegalStateException(e); // it is a text of ours
    }
  }

  void close() {
    resp.finishAndReleaseAll();
  }
}
