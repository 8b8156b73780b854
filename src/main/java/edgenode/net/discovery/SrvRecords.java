package edgenode.net.discovery;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.dns.DefaultDnsRecordDecoder;
import io.netty.handler.codec.dns.DnsRawRecord;
import io.netty.handler.codec.dns.DnsRecord;
import io.netty.handler.codec.dns.DnsRecordType;
import io.netty.handler.codec.dns.DnsResponse;
import io.netty.handler.codec.dns.DnsSection;
import io.netty.util.NetUtil;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What a DNS response says of a service: its targets of the lowest priority (RFC 2782), the
 * addresses that the additional section has for them, and how long this is valid.
 *
 * @param targets the targets in the order of the response
 * @param addresses numeric addresses by lower-case name; more may be added
 * @param ttlMs the shortest time to live of the records used (ms)
 */
record SrvRecords(List<Target> targets, Map<String, String> addresses, double ttlMs) {
  /** More records than this in a section are not read. */
  private static final int MAX_RECORDS = 4096;

  /** The fixed part of an SRV record (priority, weight, port) and the shortest name. */
  private static final int MIN_SRV_BYTES = 7;

  private static final double MS_PER_SECOND = 1000;
  private static final int IPV4_BYTES = 4;
  private static final int IPV6_BYTES = 16;

  /** One SRV record; the name is in lower case and ends with a dot. */
  record Target(String name, int priority, int weight, int port) {}

  /**
   * Reads a response.
   *
   * @param maxTtlMs the time to live where no record has a shorter one (ms)
   * @throws IllegalStateException where a record is malformed
   */
  static SrvRecords read(DnsResponse response, double maxTtlMs) {
    List<Target> targets = new ArrayList<>();
    Map<String, String> addresses = new HashMap<>();
    double ttlMs = maxTtlMs;
    for (DnsSection section : List.of(DnsSection.ANSWER, DnsSection.ADDITIONAL)) {
      int count = Math.min(MAX_RECORDS, response.count(section));
      for (int i = 0; i < count; i++) {
        DnsRecord record = response.recordAt(section, i);
        if (record instanceof DnsRawRecord raw
            && (isTarget(raw, section) && addTarget(raw, targets)
                || isAddress(raw) && addAddress(raw, addresses))) {
          ttlMs = Math.min(ttlMs, record.timeToLive() * MS_PER_SECOND);
        }
      }
    }
    int lowest = targets.stream().mapToInt(Target::priority).min().orElse(0);
    targets.removeIf(target -> target.priority != lowest);
    return new SrvRecords(targets, addresses, ttlMs);
  }

  private static boolean isTarget(DnsRecord record, DnsSection section) {
    return record.type().equals(DnsRecordType.SRV) && section == DnsSection.ANSWER;
  }

  private static boolean isAddress(DnsRecord record) {
    return record.type().equals(DnsRecordType.A) || record.type().equals(DnsRecordType.AAAA);
  }

  private static boolean addTarget(DnsRawRecord raw, List<Target> targets) {
    ByteBuf data = raw.content().duplicate();
    if (data.readableBytes() < MIN_SRV_BYTES) {
      throw new IllegalStateException("an SRV record is too short");
    }
    int priority = data.readUnsignedShort();
    int weight = data.readUnsignedShort();
    int port = data.readUnsignedShort();
    String name = lowerCase(DefaultDnsRecordDecoder.decodeName(data));
    if (!name.equals(".")) { // RFC 2782: the service is decidedly not available
      targets.add(new Target(name, priority, weight, port));
    }
    return true;
  }

  /** Returns false where the data is no address. */
  private static boolean addAddress(DnsRawRecord raw, Map<String, String> addresses) {
    byte[] bytes = new byte[raw.content().readableBytes()];
    raw.content().getBytes(raw.content().readerIndex(), bytes);
    if (bytes.length != IPV4_BYTES && bytes.length != IPV6_BYTES) {
      return false;
    }
    addresses.putIfAbsent(lowerCase(raw.name()), NetUtil.bytesToIpAddress(bytes));
    return true;
  }

  private static String lowerCase(String name) {
    return name.toLowerCase(Locale.ROOT);
  }
}
