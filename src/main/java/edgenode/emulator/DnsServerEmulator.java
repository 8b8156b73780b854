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
 * Emulates a name server over UDP on loopback that knows SRV and A records (RFC 1035, RFC 2782).
 * One thread of its own; safe for use by several threads.
 */
public final class DnsServerEmulator implements Closeable {
  /** The data of an SRV record; {@code ttl} in seconds. */
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

  /** Listens on 127.0.0.1 at any free port. */
  public DnsServerEmulator() throws IOException {
    Thread thread = new Thread(this::serve, "emulated name server");
    thread.setDaemon(true);
    thread.start();
  }

  /** Address and port. */
  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Sets the SRV records of a name, which ends with a dot. */
  public synchronized void addService(String name, Srv... records) {
    srvRecordsByName.put(name, List.of(records));
  }

  /** Sets the A record of a name, which ends with a dot. */
  public synchronized void addHost(String name, String address) {
    addressesByName.put(name, address);
  }

  /** Sets the faults: no answer, SERVFAIL, SRV data that is malformed. */
  public synchronized void setFaults(boolean isSilent, boolean isFailing, boolean isMalformed) {
    this.isSilent = isSilent;
    this.isFailing = isFailing;
    this.isMalformed = isMalformed;
  }

  /** Whether answers bring the addresses of targets as additional records. */
  public synchronized void setSendsAdditional(boolean on) {
    sendsAdditional = on;
  }

  /** Queries received so far. */
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
      for (Srv srv : srvRecordsByName.get(name.toString())) {
        records.add(encodeSrv(name.toString(), srv));
        if (sendsAdditional && addressesByName.containsKey(srv.target)) {
          more.add(encodeAddress(srv.target, srv.ttl));
        }
      }
    } else if (!isFailing && type == TYPE_A && addressesByName.containsKey(name.toString())) {
      records.add(encodeAddress(name.toString(), 1));
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

  private byte[] encodeSrv(String name, Srv srv) throws IOException {
    ByteArrayOutputStream data = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(data);
    out.writeShort(srv.priority);
    out.writeShort(srv.weight);
    out.writeShort(srv.port);
    out.write(encodeName(srv.target));
    byte[] content = isMalformed ? new byte[] {1, 2} : data.toByteArray();
    return encodeRecord(name, TYPE_SRV, srv.ttl, content);
  }

  private byte[] encodeAddress(String name, int ttlSeconds) throws IOException {
    byte[] address = InetAddress.getByName(addressesByName.get(name)).getAddress();
    return encodeRecord(name, TYPE_A, ttlSeconds, address);
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
