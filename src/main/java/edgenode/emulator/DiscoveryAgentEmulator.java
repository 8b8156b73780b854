package edgenode.emulator;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;

/**
 * Emulates discovery's agent, from its protocol page: the full list, and a watch in chunks. Faults:
 * responses that stall at an offset, silence, malformed and oversized lines, lost state. Each
 * connection has a thread of its own: for tests, not for load. Safe for use by several threads;
 * owns its sockets until {@link #close}.
 */
public final class DiscoveryAgentEmulator implements Closeable {
  /**
   * An entry of the endpoint list; site and block name its idempotency group.
   *
   * @param dial address and port
   * @param health active, leaving or left
   * @param bornMs start of the server in Unix ms
   */
  public record Host(String id, String dial, String health, double bornMs, String site, int block) {
    /** An entry in a default idempotency group. */
    public Host(String id, String dial, String health, double bornMs) {
      this(id, dial, health, bornMs, "a", 3);
    }

    /** The entry as it stands in the list. */
    public String json() {
      return "{\"host\":\""
          + id
          + "\",\"dial\":\""
          + dial
          + "\",\"site\":\""
          + site
          + "\",\"class\":\"m\",\"block\":"
          + block
          + ","
          + "\"health\":\""
          + health
          + "\",\"share\":1.0,\"born_ms\":"
          + Math.round(bornMs)
          + "}";
    }
  }

  /** Which of the connections a fault is for: those that poll the list, or watches. */
  public enum ConnectionKind {
    LIST,
    WATCH
  }

  /** Interval of empty lines on a watch without changes. */
  private static final long HEARTBEAT_MS = 2000;

  private final ServerSocket socket;
  private final List<Connection> connections = new ArrayList<>();
  private final Map<String, Host> hosts = new LinkedHashMap<>();
  private final List<Change> changes = new ArrayList<>();
  private long seq;
  private boolean isSilent;
  private boolean isClosed;
  private ConnectionKind stalledKind;
  private long stallAfterBytes = -1;
  private int stallsLeft;
  private long sentByteCount;
  private String malformedLine = "";
  private int malformedLineCount;
  private int watchCount;
  private long oversizedLineBytes;
  private int requestCount;

  private record Change(long seq, Host host) {}

  /** Listens on 127.0.0.1 at any free port, with an empty list at this version. */
  public DiscoveryAgentEmulator(long seq) throws IOException {
    this("127.0.0.1", seq);
  }

  /** Listens on this address at any free port. */
  public DiscoveryAgentEmulator(String address, long seq) throws IOException {
    this(address, 0, seq);
  }

  /**
   * Listens on this address.
   *
   * @param port 0 for any; one that was in use a moment ago can be bound again, as by a restart
   */
  public DiscoveryAgentEmulator(String address, int port, long seq) throws IOException {
    this.seq = seq;
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 128);
    startThread("emulated discovery agent", this::accept);
  }

  /** Address and port. */
  public String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  // ---- the list ----

  /**
   * Changes an entry, under a new version that it returns, and notifies the watches. Health:
   * active, leaving or left.
   */
  public synchronized long set(Host host) {
    seq++;
    if (host.health().equals("left")) {
      hosts.remove(host.id());
    } else {
      hosts.put(host.id(), host);
    }
    changes.add(new Change(seq, host));
    notifyAll();
    return seq;
  }

  /** Continues from another version with another list, as after a loss of its state. */
  public synchronized void restart(long firstSeq, List<Host> list) {
    seq = firstSeq;
    changes.clear();
    hosts.clear();
    list.forEach(host -> hosts.put(host.id(), host));
    notifyAll();
  }

  /** The current version of the list. */
  public synchronized long seq() {
    return seq;
  }

  // ---- faults ----

  /**
   * The next connections of this kind, so many, send {@code offset} bytes of their response and
   * then nothing, but stay open. On a watch the bytes count from the head of its response.
   */
  public synchronized void stall(ConnectionKind kind, long offset, int connections) {
    stalledKind = kind;
    stallAfterBytes = offset;
    stallsLeft = connections;
  }

  /** Whether all connections that were to stall have had their request. */
  public synchronized boolean hasStalled() {
    return stallsLeft == 0;
  }

  /** Sends no more byte on the open connections of this kind. */
  public synchronized void stallNow(ConnectionKind kind) {
    for (Connection connection : connections) {
      if (connection.kind == kind) {
        connection.limitBytes = connection.sentBytes;
      }
    }
  }

  /** Sends this line on the open watches, whatever it is. */
  public synchronized void sendMalformedLine(String text) {
    malformedLine = text;
    malformedLineCount++;
    notifyAll();
  }

  /** The next watch gets a line of so many bytes, in chunks and without an end. */
  public synchronized void sendOversizedLine(long length) {
    oversizedLineBytes = length;
  }

  /** Sends nothing on any connection while on; what is due is sent when it ends. */
  public synchronized void setSilent(boolean on) {
    isSilent = on;
    notifyAll();
  }

  /** Closes the open connections. */
  public synchronized void reset() {
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.close();
    }
  }

  /** Watches started so far. */
  public synchronized int watchCount() {
    return watchCount;
  }

  /** Requests received so far. */
  public synchronized int requestCount() {
    return requestCount;
  }

  /** Bytes sent so far. */
  public synchronized long sentByteCount() {
    return sentByteCount;
  }

  @Override
  public synchronized void close() throws IOException {
    isClosed = true;
    socket.close();
    reset();
    notifyAll();
  }

  // ---- connections ----

  private static void startThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Connection connection = new Connection(socket.accept());
        synchronized (this) {
          connections.add(connection);
        }
        startThread("emulated discovery agent, connection", connection::serve);
      }
    } catch (IOException e) {
      // closed
    }
  }

  private synchronized String fullListJson() {
    StringJoiner json =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":true,\"hosts\":[", "]}\n");
    hosts.values().forEach(host -> json.add(host.json()));
    return json.toString();
  }

  /** Waits, at most for a heartbeat, until there is something to send on a watch. */
  private synchronized void awaitChange(long version, int malformedLinesSeen)
      throws InterruptedException {
    long untilMs = System.nanoTime() / 1_000_000 + HEARTBEAT_MS;
    while (!isClosed
        && seq == version
        && malformedLineCount == malformedLinesSeen
        && System.nanoTime() / 1_000_000 < untilMs) {
      wait(Math.max(1, untilMs - System.nanoTime() / 1_000_000));
    }
  }

  private synchronized String changesSinceJson(long version) {
    if (seq < version
        || !changes.isEmpty() && changes.get(0).seq > version + 1
        || changes.isEmpty()) {
      return fullListJson();
    }
    Map<String, Host> latestById = new LinkedHashMap<>();
    for (Change change : changes) {
      if (change.seq > version) {
        latestById.put(change.host.id(), change.host);
      }
    }
    StringJoiner json =
        new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[", "]}\n");
    latestById.values().forEach(host -> json.add(host.json()));
    return json.toString();
  }

  private final class Connection {
    private final Socket socket;
    private ConnectionKind kind = ConnectionKind.LIST;
    private long sentBytes;
    private long limitBytes = Long.MAX_VALUE;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // already closed
      }
    }

    void serve() {
      try (socket) {
        socket.setTcpNoDelay(true);
        BufferedReader in =
            new BufferedReader(
                new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
        for (String request = in.readLine(); request != null; request = in.readLine()) {
          String header = in.readLine();
          while (header != null && !header.isEmpty()) {
            header = in.readLine();
          }
          answer(request);
        }
      } catch (IOException | InterruptedException e) {
        // closed by the peer
      } finally {
        synchronized (DiscoveryAgentEmulator.this) {
          connections.remove(this);
        }
      }
    }

    private void answer(String request) throws IOException, InterruptedException {
      int since = request.indexOf("since=");
      synchronized (DiscoveryAgentEmulator.this) {
        requestCount++;
        kind = request.contains("follow=1") ? ConnectionKind.WATCH : ConnectionKind.LIST;
        sentBytes = 0;
        limitBytes = Long.MAX_VALUE;
        if (kind == stalledKind && stallsLeft > 0) {
          stallsLeft--;
          limitBytes = stallAfterBytes;
        }
      }
      if (kind == ConnectionKind.LIST) {
        String list = fullListJson();
        write(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
                + list.length()
                + "\r\n\r\n"
                + list);
      } else {
        watch(Long.parseLong(request.substring(since + 6, request.indexOf(' ', since))));
      }
    }

    /** The changes since a version, or the full list where those are unknown; then what comes. */
    private void watch(long since) throws IOException, InterruptedException {
      write(
          "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");
      long at = since;
      boolean isFirst = true;
      int malformedLinesSeen;
      long oversizedBytes;
      synchronized (DiscoveryAgentEmulator.this) {
        malformedLinesSeen = malformedLineCount;
        oversizedBytes = oversizedLineBytes;
        oversizedLineBytes = 0;
        watchCount++;
      }
      writeOversizedLine(oversizedBytes);
      while (true) {
        String text;
        synchronized (DiscoveryAgentEmulator.this) {
          if (!isFirst) {
            awaitChange(at, malformedLinesSeen);
          }
          if (isClosed) {
            return;
          }
          if (malformedLineCount != malformedLinesSeen) {
            malformedLinesSeen = malformedLineCount;
            text = malformedLine + "\n";
          } else {
            text = seq == at ? "\n" : changesSinceJson(at);
          }
          at = text.startsWith("{\"seq\":" + seq + ",") ? seq : at;
          isFirst = false;
        }
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
      }
    }

    private void writeOversizedLine(long length) throws IOException, InterruptedException {
      String chunk = "x".repeat(1 << 16);
      for (long written = 0; written < length; written += chunk.length()) {
        write("10000\r\n" + chunk + "\r\n");
      }
    }

    private void write(String text) throws IOException, InterruptedException {
      byte[] data = text.getBytes(StandardCharsets.US_ASCII);
      int allowed;
      synchronized (DiscoveryAgentEmulator.this) {
        while (isSilent && !isClosed) {
          DiscoveryAgentEmulator.this.wait();
        }
        allowed = (int) Math.max(0, Math.min(data.length, limitBytes - sentBytes));
        sentBytes += allowed;
        sentByteCount += allowed;
      }
      OutputStream out = socket.getOutputStream();
      out.write(data, 0, allowed);
      out.flush();
    }
  }
}
