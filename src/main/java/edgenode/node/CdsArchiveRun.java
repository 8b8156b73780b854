package edgenode.node;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/**
 * One start and end of an edge node at build time, among emulated services on loopback, so that the
 * JVM can write the archive of classes (class data sharing, CDS) that such a start loads. Only that
 * archive remains.
 */
public final class CdsArchiveRun implements AutoCloseable {
  private static final String CONFIG =
      """
        {"name":"prime","listen":"127.0.0.1:0","admin_addr":"127.0.0.1:0",
         "discovery":"127.0.0.1:%1$d","counter":"127.0.0.1:%1$d",
         "seed":"1","known":%2$s,
         "settings":{"rank":0,"group_size":2,"tick":4,"feedback":{"fields":["utilization"]},
          "limits":{"probing":true,"cancelling":true,"retry_after":true,"send_cap":5,"max_retry_after":2000},
          "family_info":{"shared_counter":true,"most_units":2,"count_limit":80},
          "contract":{"drain_grace":250,"cold_share":0.2,"warm_after":18000,"overload_factor":3,
           "overload_for":2000},
          "request_classes":[{"name":"read","effect":"read_like","aim":600,"hard_limit":200,"worth":1},
           {"name":"write","effect":"idempotency_key","group":"cell","aim":800,"hard_limit":200,"worth":2,
            "repeat_window":7500}],
          "tariffs":[{"name":"plan","per_second":8,"depth":8,"price":1}]}}""";
  private static final String ENDPOINT_LIST =
      """
        {"seq":1,"whole":true,"hosts":[{"host":"s","dial":"127.0.0.1:%d","site":"a","class":"m","block":1,\
        "health":"active","share":1.0,"born_ms":0}]}
        """;

  private static final int BUFFER_BYTES = 1024;
  private static final int BACKLOG = 50;

  private final ServerSocket emulatedServices =
      new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
  private final Path configFile = Files.createTempFile("prime", ".json");

  /** Writes the configuration file and starts the emulated services. */
  public CdsArchiveRun() throws IOException {
    String list = String.format(ENDPOINT_LIST, emulatedServices.getLocalPort());
    Files.writeString(configFile, String.format(CONFIG, emulatedServices.getLocalPort(), list));
    Thread answering = new Thread(() -> answer(emulatedServices, list), "emulated services");
    answering.setDaemon(true);
    answering.start();
  }

  /** The environment variables for the node. */
  public Map<String, String> environment() {
    return Map.of("EDGE_CONFIG", configFile.toString());
  }

  /**
   * Runs one command of a client and two calls of operators, and deletes the configuration file.
   */
  public void exercise(EdgeNode node) throws IOException {
    InetSocketAddress address = (InetSocketAddress) node.address();
    try (Socket client = new Socket(address.getAddress(), address.getPort())) {
      client.getOutputStream().write("*1\r\n$4\r\nPING\r\n".getBytes(StandardCharsets.US_ASCII));
      client.getInputStream().read();
    }
    call((InetSocketAddress) node.adminAddress(), "GET /api/ready");
    call((InetSocketAddress) node.adminAddress(), "GET /api/telemetry");
    Files.delete(configFile);
  }

  private static void call(InetSocketAddress address, String requestLine) throws IOException {
    try (Socket connection = new Socket(address.getAddress(), address.getPort())) {
      connection
          .getOutputStream()
          .write(
              (requestLine + " HTTP/1.1\r\nHost: prime\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      connection.getInputStream().readAllBytes();
    }
  }

  @Override
  public void close() throws IOException {
    emulatedServices.close();
  }

  /** Answers HTTP requests as discovery does; other connections are accepted and get nothing. */
  private static void answer(ServerSocket listener, String list) {
    String response = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list;
    try {
      while (true) {
        Socket connection = listener.accept();
        Thread reading = new Thread(() -> answer(connection, response));
        reading.setDaemon(true);
        reading.start();
      }
    } catch (IOException e) {
      // the listener is closed
    }
  }

  private static void answer(Socket connection, String response) {
    try (connection) {
      InputStream input = connection.getInputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
        if (new String(buffer, 0, length, StandardCharsets.US_ASCII).startsWith("GET")) {
          connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
        }
      }
    } catch (IOException e) {
      // the node has closed it
    }
  }
}
