package edgenode.emulator;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in name server over UDP on loopback that knows SRV and A records (RFC 1035, RFC 2782).
 */
public final class DnsServerEmulator implements Closeable {
  /** An SRV record's data; ttl in seconds. */
  public record Srv(int ttl, int priority, int weight, int port, String target) {}

  private static final int TYPE_A = 1;
  private static final int TYPE_SRV = 33;
  private static final int NXDOMAIN = 3;
  private static final int SERVFAIL = 2;
  private static final int MAX_PACKET_BYTES = 4096;
  private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
  private final Map<String, List<Srv>> srvRecordsByName = new HashMap<>();
  private final Map<String, String> addressesByName = new HashMap<>();
  private boolean isSilent;
  private boolean isFailing;
  private boolean isMalformed;
  private boolean sendsAdditional;
  private int queryCount;

  public DnsServerEmulator() throws IOException {
    Thread thread = new Thread(this::serve, "stand-in name server");
    thread.setDaemon(true);
    thread.start();
  }

  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  public synchronized void addService(String name, Srv... records) {
    srvRecordsByName.put(name, List.of(records));
  }

  public synchronized void addHost(String name, String address) {
    addressesByName.put(name, address);
  }

  /** Says nothing; answers SERVFAIL; answers what is no message. */
  public synchronized void setFaults(boolean isSilent, boolean isFailing, boolean isMalformed) {
    this.isSilent = isSilent;
    this.isFailing = isFailing;
    this.isMalformed = isMalformed;
  }

  /** Whether the addresses of targets come along. */
  public synchronized void setSendsAdditional(boolean on) {
    sendsAdditional = on;
  }

  public synchronized int queryCount() {
    return queryCount;
  }

  @Override
  public void close() {
    socket.close();
  }

  private void serve() {
    byte[] buffer = new byte[MAX_PACKET_BYTES];
    try {
      while (true) {
        DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
        socket.receive(packet);
        byte[] answer = answer(buffer, packet.getLength());
        if (answer != null) {
          socket.send(new DatagramPacket(answer, answer.length, packet.getSocketAddress()));
        }
      }
    } catch (IOException e) {
      // closed
    }
  }

  private synchronized byte[] answer(byte[] in, int length) throws IOException {
    queryCount++;
    if (isSilent) {
      return null;
    }
    StringBuilder name = new StringBuilder();
    int at = 12;
    while (at < length && in[at] != 0) {
      name.append(new String(in, at + 1, in[at], StandardCharsets.US_ASCII)).append('.');
      at += 1 + in[at];
    }
    int type = (in[at + 1] & 0xff) << 8 | in[at + 2] & 0xff;
    int end = at + 5;
    List<byte[]> records = new ArrayList<>();
    List<byte[]> more = new ArrayList<>();
    int code = isFailing ? SERVFAIL : 0;
    if (!isFailing && type == TYPE_SRV && srvRecordsByName.containsKey(name.toString())) {
      for (Srv s : srvRecordsByName.get(name.toString())) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(data);
        out.writeShort(s.priority);
        out.writeShort(s.weight);
        out.writeShort(s.port);
        out.write(encodeName(s.target));
        records.add(
            encodeRecord(
                name.toString(),
                TYPE_SRV,
                s.ttl,
                isMalformed ? new byte[] {1, 2} : data.toByteArray()));
        if (sendsAdditional && addressesByName.containsKey(s.target)) {
          more.add(
              encodeRecord(
                  s.target,
                  TYPE_A,
                  s.ttl,
                  InetAddress.getByName(addressesByName.get(s.target)).getAddress()));
        }
      }
    } else if (!isFailing && type == TYPE_A && addressesByName.containsKey(name.toString())) {
      records.add(
          encodeRecord(
              name.toString(),
              TYPE_A,
              1,
              InetAddress.getByName(addressesByName.get(name.toString())).getAddress()));
    } else if (!isFailing && !addressesByName.containsKey(name.toString())) {
      code = NXDOMAIN;
    }
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(output);
    out.write(in, 0, 2);
    out.writeShort(0x8580 | code);
    out.writeShort(1);
    out.writeShort(records.size());
    out.writeShort(0);
    out.writeShort(more.size());
    out.write(in, 12, end - 12);
    for (byte[] record : records) {
      out.write(record);
    }
    for (byte[] record : more) {
      out.write(record);
    }
    return output.toByteArray();
  }

  private static byte[] encodeRecord(String name, int type, int ttl, byte[] data)
      throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(output);
    out.write(encodeName(name));
    out.writeShort(type);
    out.writeShort(1);
    out.writeInt(ttl);
    out.writeShort(data.length);
    out.write(data);
    return output.toByteArray();
  }

  private static byte[] encodeName(String name) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    for (String label : name.split("\\.")) {
      if (!label.isEmpty()) {
        byte[] labelBytes = label.getBytes(StandardCharsets.US_ASCII);
        output.write(labelBytes.length);
        output.write(labelBytes);
      }
    }
    output.write(0);
    return output.toByteArray();
  }
}
