package edgenode.emulator;

import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A small HTTP/1.1 server on loopback whose answers can be spoilt. A thread a connection; for tests
 * and rehearsals.
 */
public abstract class HttpEmulatorServer implements Closeable {
  /** What becomes of the next answer. */
  public enum Fault {
    /** As it should be. */
    NONE,
    /** The question is read and nothing is said, the connection stays open. */
    STALL,
    /** Half the answer, and the end of the connection. */
    TRUNCATE,
    /** The connection is reset. */
    RESET,
    /** Status 500. */
    ERROR,
    /** A body that never ends. */
    ENDLESS,
    /** Bytes that are no HTTP. */
    NOISE
  }

  /** A question: method, path with its query, headers by lower-case name, body. */
  protected record Question(String method, String path, Map<String, String> headers, String body) {}

  /** An answer: status, further header lines (each with CRLF), body. */
  protected record Answer(int status, String headers, String body) {}

  private static final int LONGEST = 1 << 20;
  private static final int ENDLESS = 64 << 20;
  private final ServerSocket socket;
  private final Set<Socket> peers = ConcurrentHashMap.newKeySet();
  private Fault fault = Fault.NONE;
  private int faults;
  private int questions;

  protected HttpEmulatorServer() throws IOException {
    socket = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    thread(
        () -> {
          try {
            while (true) {
              Socket peer = socket.accept();
              peers.add(peer);
              thread(() -> serve(peer));
            }
          } catch (IOException e) {
            // closed
          }
        });
  }

  /** Answers a question; may wait. */
  protected abstract Answer answer(Question question) throws InterruptedException;

  public final String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** So many answers from now on are spoilt. */
  public final synchronized void spoil(Fault how, int answers) {
    fault = how;
    faults = answers;
  }

  /** Questions so far. */
  public final synchronized int questions() {
    return questions;
  }

  private synchronized Fault next() {
    questions++;
    return faults-- > 0 ? fault : Fault.NONE;
  }

  @Override
  public void close() throws IOException {
    socket.close();
    for (Socket peer : peers) {
      peer.close();
    }
  }

  private static void thread(Runnable what) {
    Thread thread = new Thread(what, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket peer) {
    try (peer) {
      InputStream in = new java.io.BufferedInputStream(peer.getInputStream());
      for (Question q = question(in); q != null; q = question(in)) {
        Fault spoilt = next();
        if (spoilt == Fault.STALL) {
          continue;
        }
        Answer a = spoilt == Fault.ERROR ? new Answer(500, "", "no") : answer(q);
        byte[] body = a.body.getBytes(StandardCharsets.UTF_8);
        byte[] head =
            ("HTTP/1.1 "
                    + a.status
                    + " Told\r\ncontent-type: application/json\r\n"
                    + a.headers
                    + "content-length: "
                    + (spoilt == Fault.ENDLESS ? ENDLESS : body.length)
                    + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
        OutputStream out = peer.getOutputStream();
        switch (spoilt) {
          case TRUNCATE -> {
            out.write(head);
            out.write(body, 0, body.length / 2);
            return;
          }
          case RESET -> {
            peer.setSoLinger(true, 0);
            return;
          }
          case NOISE -> out.write("\u0001\u0002 what\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          case ENDLESS -> {
            out.write(head);
            byte[] some = "[ ".repeat(1 << 15).getBytes(StandardCharsets.US_ASCII);
            for (int sent = 0; sent < ENDLESS; sent += some.length) {
              out.write(some);
            }
          }
          default -> {
            out.write(head);
            out.write(body);
          }
        }
        out.flush();
      }
    } catch (IOException | InterruptedException e) {
      // the other side has gone
    } finally {
      peers.remove(peer);
    }
  }

  private static Question question(InputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
      int colon = each.indexOf(':');
      headers.put(
          each.substring(0, colon).toLowerCase(Locale.ROOT), each.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    String[] words = first.split(" ");
    return new Question(
        words[0],
        words[1],
        headers,
        new String(in.readNBytes(Math.min(length, LONGEST)), StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0 || text.size() > LONGEST) {
        return null;
      }
      text.write(c);
    }
    return text.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
  }
}
