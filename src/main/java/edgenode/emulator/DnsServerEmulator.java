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

  private static final int A = 1;
  private static final int SRV = 33;
  private static final int NXDOMAIN = 3;
  private static final int SERVFAIL = 2;
  private static final int PACKET = 4096;
  private final DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
  private final Map<String, List<Srv>> services = new HashMap<>();
  private final Map<String, String> hosts = new HashMap<>();
  private boolean silent;
  private boolean failing;
  private boolean noise;
  private boolean additional;
  private int questions;

  public DnsServerEmulator() throws IOException {
    Thread thread = new Thread(this::serve, "stand-in name server");
    thread.setDaemon(true);
    thread.start();
  }

  public String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  public synchronized void service(String name, Srv... records) {
    services.put(name, List.of(records));
  }

  public synchronized void host(String name, String address) {
    hosts.put(name, address);
  }

  /** Says nothing; answers SERVFAIL; answers what is no message. */
  public synchronized void fail(boolean saysNothing, boolean servfail, boolean isNoise) {
    silent = saysNothing;
    failing = servfail;
    noise = isNoise;
  }

  /** Whether the addresses of targets come along. */
  public synchronized void additional(boolean on) {
    additional = on;
  }

  public synchronized int questions() {
    return questions;
  }

  @Override
  public void close() {
    socket.close();
  }

  private void serve() {
    byte[] buffer = new byte[PACKET];
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
    questions++;
    if (silent) {
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
    int code = failing ? SERVFAIL : 0;
    if (!failing && type == SRV && services.containsKey(name.toString())) {
      for (Srv s : services.get(name.toString())) {
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(data);
        out.writeShort(s.priority);
        out.writeShort(s.weight);
        out.writeShort(s.port);
        out.write(encoded(s.target));
        records.add(
            record(name.toString(), SRV, s.ttl, noise ? new byte[] {1, 2} : data.toByteArray()));
        if (additional && hosts.containsKey(s.target)) {
          more.add(
              record(s.target, A, s.ttl, InetAddress.getByName(hosts.get(s.target)).getAddress()));
        }
      }
    } else if (!failing && type == A && hosts.containsKey(name.toString())) {
      records.add(
          record(
              name.toString(),
              A,
              1,
              InetAddress.getByName(hosts.get(name.toString())).getAddress()));
    } else if (!failing && !hosts.containsKey(name.toString())) {
      code = NXDOMAIN;
    }
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(all);
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
    return all.toByteArray();
  }

  private static byte[] record(String name, int type, int ttl, byte[] data) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(all);
    out.write(encoded(name));
    out.writeShort(type);
    out.writeShort(1);
    out.writeInt(ttl);
    out.writeShort(data.length);
    out.write(data);
    return all.toByteArray();
  }

  private static byte[] encoded(String name) throws IOException {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (String label : name.split("\\.")) {
      if (!label.isEmpty()) {
        byte[] text = label.getBytes(StandardCharsets.US_ASCII);
        all.write(text.length);
        all.write(text);
      }
    }
    all.write(0);
    return all.toByteArray();
  }
}
