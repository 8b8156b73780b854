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
 * A stand-in for discovery's agent, from its protocol page: the whole list, and a watch in chunks.
 * It keeps the list with a version, and can be told to fail: to stall the sentByteCount that it
 * sends on some connections at an offset, to say nothing at all, to lag, to answer with given
 * sentByteCount. Each connection has a thread of its own; for tests and rehearsals, not for load.
 */
public final class DiscoveryAgentEmulator implements Closeable {
  /** One server in the list; site and block tell its rack. */
  public record Host(String id, String dial, String health, double bornMs, String site, int block) {
    public Host(String id, String dial, String health, double bornMs) {
      this(id, dial, health, bornMs, "a", 3);
    }

    /** As the list has it. */
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

  /** Which of the connections a fault is for. */
  public enum ConnectionKind {
    LIST,
    WATCH
  }

  /** A line every so often (ms) while nothing changes, as the protocol has it. */
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

  public DiscoveryAgentEmulator(long seq) throws IOException {
    this("127.0.0.1", seq);
  }

  public DiscoveryAgentEmulator(String address, long seq) throws IOException {
    this(address, 0, seq);
  }

  /**
   * @param port 0 for any; one that was in use a moment ago is taken again, as by a restart
   */
  public DiscoveryAgentEmulator(String address, int port, long seq) throws IOException {
    this.seq = seq;
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(InetAddress.getByName(address), port), 128);
    startThread("stand-in discovery", this::accept);
  }

  public String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  // ---- the list ----

  /**
   * Changes an entry, under a new version, and tells those that watch. Health: active, leaving or
   * left.
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

  /** Goes on from another version with another list, as one that lost its state. */
  public synchronized void restart(long firstSeq, List<Host> list) {
    seq = firstSeq;
    changes.clear();
    hosts.clear();
    list.forEach(host -> hosts.put(host.id(), host));
    notifyAll();
  }

  public synchronized long seq() {
    return seq;
  }

  // ---- faults ----

  /**
   * The next so many connections of this kind send so many sentByteCount of their answer and then
   * nothing more, while they stay open. For a watch the sentByteCount count from the head of its
   * chunked answer on.
   */
  public synchronized void stall(ConnectionKind kind, long offset, int connections) {
    stalledKind = kind;
    stallAfterBytes = offset;
    stallsLeft = connections;
  }

  /** Whether the connections that were to stall have been asked. */
  public synchronized boolean hasStalled() {
    return stallsLeft == 0;
  }

  /** Stops what is sent on the standing connections of this kind right where it is. */
  public synchronized void stallNow(ConnectionKind kind) {
    for (Connection connection : connections) {
      if (connection.kind == kind) {
        connection.limitBytes = connection.sentBytes;
      }
    }
  }

  /** Sends this line on the standing watchCount, whatever it is. */
  public synchronized void sendMalformedLine(String text) {
    malformedLine = text;
    malformedLineCount++;
    notifyAll();
  }

  /**
   * The next watch that is asked for gets a line of so many sentByteCount, in chunks and without an
   * end.
   */
  public synchronized void sendOversizedLine(long length) {
    oversizedLineBytes = length;
  }

  /**
   * From here on nothing is sent on any connection, until silence ends. What was to be told is told
   * then.
   */
  public synchronized void setSilent(boolean on) {
    isSilent = on;
    notifyAll();
  }

  /** Closes the standing connections. */
  public synchronized void reset() {
    for (Connection connection : connections.toArray(new Connection[0])) {
      connection.close();
    }
  }

  /** Watches that have begun, so far. */
  public synchronized int watchCount() {
    return watchCount;
  }

  public synchronized int requestCount() {
    return requestCount;
  }

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
        startThread("stand-in discovery, a connection", connection::serve);
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
        // it is gone
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
        // the other side has gone
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

    /**
     * The changes after a version, or the whole list where those are not known; then what comes.
     */
    private void watch(long since) throws IOException, InterruptedException {
      write(
          "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n");
      long at = since;
      boolean first = true;
      int garbledBefore;
      long floods;
      synchronized (DiscoveryAgentEmulator.this) {
        garbledBefore = malformedLineCount;
        floods = oversizedLineBytes;
        oversizedLineBytes = 0;
      }
      synchronized (DiscoveryAgentEmulator.this) {
        watchCount++;
      }
      String some = "x".repeat(1 << 16);
      for (long flooded = 0; flooded < floods; flooded += some.length()) {
        write("10000\r\n" + some + "\r\n");
      }
      while (true) {
        String text;
        synchronized (DiscoveryAgentEmulator.this) {
          long until = System.nanoTime() / 1_000_000 + HEARTBEAT_MS;
          while (!first
              && !isClosed
              && seq == at
              && malformedLineCount == garbledBefore
              && System.nanoTime() / 1_000_000 < until) {
            DiscoveryAgentEmulator.this.wait(Math.max(1, until - System.nanoTime() / 1_000_000));
          }
          if (isClosed) {
            return;
          }
          if (malformedLineCount != garbledBefore) {
            garbledBefore = malformedLineCount;
            text = malformedLine + "\n";
          } else if (seq == at) {
            text = "\n";
          } else if (seq < at
              || !changes.isEmpty() && changes.get(0).seq > at + 1
              || changes.isEmpty()) {
            text = fullListJson();
          } else {
            StringJoiner all =
                new StringJoiner(",", "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[", "]}\n");
            Map<String, Host> last = new LinkedHashMap<>();
            for (Change c : changes) {
              if (c.seq > at) {
                last.put(c.host.id(), c.host);
              }
            }
            last.values().forEach(h -> all.add(h.json()));
            text = all.toString();
          }
          at = text.startsWith("{\"seq\":" + seq + ",") ? seq : at;
          first = false;
        }
        write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
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
