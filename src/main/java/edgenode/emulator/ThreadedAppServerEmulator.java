package edgenode.emulator;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A stand-in for an app server, from the protocol page: answers each command at once with a value,
 * and tells when one came. It can die, which resets its connections and refuses new ones, and come
 * back at the same address. A thread for each connection; for tests and rehearsals, not for load.
 */
public final class ThreadedAppServerEmulator implements Closeable {
  private static final byte[] PONG = "+PONG\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] REPORT = "$9\r\nutil=0.10\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] VALUE =
      "*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n".getBytes(StandardCharsets.US_ASCII);

  /** A command has no more words, and a word no more bytes, than these. */
  private static final int WORDS = 16;

  private static final int LONGEST = 64 << 10;

  private final InetSocketAddress address;
  private final Consumer<Long> came;
  private final Set<Socket> peers = ConcurrentHashMap.newKeySet();
  private ServerSocket socket;

  /**
   * @param came hears {@link System#nanoTime} for each command that has come whole, on the
   *     connection's thread
   */
  public ThreadedAppServerEmulator(Consumer<Long> came) throws IOException {
    this.came = came;
    ServerSocket first = listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
    socket = first;
    address = (InetSocketAddress) first.getLocalSocketAddress();
  }

  public String address() {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** The process dies. */
  public synchronized void die() throws IOException {
    socket.close();
    for (Socket peer : peers) {
      reset(peer);
    }
  }

  /** Ends a connection with a reset; its reader may have closed it by itself at this moment. */
  private static void reset(Socket peer) throws IOException {
    try {
      peer.setSoLinger(true, 0);
    } catch (SocketException alreadyClosed) {
      return;
    }
    peer.close();
  }

  /** It starts again at its address. */
  public synchronized void back() throws IOException {
    socket = listen(address);
  }

  @Override
  public void close() throws IOException {
    die();
  }

  private ServerSocket listen(InetSocketAddress at) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(at, 128);
    thread(
        () -> {
          try {
            while (true) {
              Socket peer = server.accept();
              peers.add(peer);
              thread(() -> serve(peer));
            }
          } catch (IOException e) {
            // it has died
          }
        });
    return server;
  }

  private static void thread(Runnable what) {
    Thread thread = new Thread(what, "stand-in app server");
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket peer) {
    try (peer) {
      peer.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(peer.getInputStream());
      while (true) {
        List<String> words = command(in);
        if (words.get(0).startsWith("CALL.")) {
          came.accept(System.nanoTime());
          peer.getOutputStream().write(VALUE);
        } else {
          peer.getOutputStream().write(words.get(0).equals("INFO") ? REPORT : PONG);
        }
      }
    } catch (IOException e) {
      // the other side has gone, or this one has
    } finally {
      peers.remove(peer);
    }
  }

  private static List<String> command(InputStream in) throws IOException {
    List<String> words = new ArrayList<>();
    int n = number(in, '*', WORDS);
    for (int i = 0; i < n; i++) {
      byte[] word = in.readNBytes(number(in, '$', LONGEST) + 2);
      words.add(new String(word, 0, Math.max(0, word.length - 2), StandardCharsets.ISO_8859_1));
    }
    return words;
  }

  private static int number(InputStream in, char kind, int most) throws IOException {
    int c = in.read();
    if (c < 0) {
      throw new EOFException();
    }
    int n = 0;
    for (int d = in.read(); d != '\r'; d = in.read()) {
      if (c != kind || d < '0' || d > '9' || n > most) {
        throw new IOException("no command");
      }
      n = 10 * n + d - '0';
    }
    in.read();
    return n;
  }
}
