package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.ConfigFileWatcher;
import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** SIGHUP and new configurations while the edge node runs. */
class ReloadTest extends EdgeNodeFixture {
  @TempDir Path folder;

  private NodeConfig configWithAddresses(FakePeer toDiscovery, FakePeer toCounter)
      throws IOException {
    return NodeConfig.parse(
        JsonValue.parse(
            config()
                .replace(discovery.address(), toDiscovery.address())
                .replace(counter.address(), toCounter.address())),
        Map.of());
  }

  private static void answerListRequest(FakePeer.Connection connection, String list)
      throws IOException {
    assertEquals(
        "GET /catalog/members HTTP/1.1",
        connection.readLine()); // versions are of one place: all of it
    while (!connection.readLine().isEmpty()) {
      assertTrue(connection.socket.isConnected());
    }
    connection.write("HTTP/1.1 200 OK\r\ncontent-length: " + list.length() + "\r\n\r\n" + list);
  }

  /** The old watch counts until the new place has told its list; then it is left. */
  @Test
  void discoveryAddressChanges() throws Exception {
    start();
    try (FakePeer next = new FakePeer()) {
      node.reload(configWithAddresses(next, counter));
      FakePeer.Connection connection = next.accept();
      pushToWatch(endpointListJson(42, false, endpointJson("s0", appServer.address(), "leaving")));
      expectPolicyEvent("changes s0 DRAINING");
      answerListRequest(
          connection, endpointListJson(7, true, endpointJson("s9", appServer.address(), "active")));
      expectPolicyEvent("changes s9 UP s0 REMOVED");
      assertTrue(watchConnection.isClosedByPeer());
      assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", connection.readLine());
    }
  }

  /**
   * Calls go to the new counter once it is up, and the old lines end once nothing is owed on them.
   */
  @Test
  void counterAddressChanges() throws Exception {
    start();
    FakePeer.Connection[] oldConnections = new FakePeer.Connection[4];
    for (int i = 0; i < 4; i++) {
      oldConnections[i] = counter.accept();
    }
    try (FakePeer next = new FakePeer()) {
      node.reload(configWithAddresses(discovery, next));
      FakePeer.Connection[] connections = new FakePeer.Connection[4];
      for (int i = 0; i < 4; i++) {
        connections[i] = next.accept();
      }
      for (FakePeer.Connection connection : oldConnections) {
        assertTrue(connection.isClosedByPeer()); // nothing is owed on it
      }
      FakePeer.Connection client = connectClient();
      sendGet(client, "01", "count", 900);
      expectArrival(1, "count");
      expectPolicyEvent("counted 77 OVERDUE 0.0");
      expectPolicyEvent("counted 77 OVERDUE 0.0");
      int called = 0;
      for (FakePeer.Connection connection : connections) {
        List<String> words = connection.readMessage();
        called += words.get(0).equals("CNT.ADD") ? 1 : 0;
      }
      assertEquals(1, called);
    }
  }

  /** The variables are those of the start: the file's discovery wins when it is read again. */
  @Test
  void reloadedFileOverridesEnvironmentVariable() throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), config());
    Map<String, String> env =
        Map.of("EDGE_CONFIG", file.toString(), "EDGE_DISCOVERY", "127.0.0.9:1");
    assertEquals(
        "127.0.0.9:1", NodeConfig.fromEnvironment(env).discoveryAddress().toString().substring(1));
    assertEquals(
        discovery.port(),
        NodeConfig.reload(Files.readAllBytes(file), env).discoveryAddress().getPort());
  }

  /** An address that refuses everything: the file is read again, though no signal came. */
  @Test
  void rejectedDiscoveryConnectionsReloadTheFile() throws Exception {
    start();
    Path file = Files.writeString(folder.resolve("config.json"), config());
    try (FakePeer next = new FakePeer()) {
      node.onDiscoveryRejected(
          new ConfigFileWatcher(
                  Map.of("EDGE_CONFIG", file.toString()), node::reload, policyEvents::add)
              ::reloadAfterFault);
      Files.writeString(file, config().replace(discovery.address(), next.address()));
      discovery.close();
      watchConnection.close();
      answerListRequest(
          next.accept(),
          endpointListJson(7, true, endpointJson("s9", appServer.address(), "active")));
      for (String each = policyEvents.take();
          !each.equals("changes s9 UP s0 REMOVED");
          each = policyEvents.take()) {
        assertEquals("discovery failed", each);
      }
    }
  }

  private Process startProcess(Path file, String... before) throws IOException {
    List<String> command = new ArrayList<>(List.of(before));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            "edgenode.Main",
            "serve"));
    ProcessBuilder start = new ProcessBuilder(command);
    start.environment().put("EDGE_CONFIG", file.toString());
    return start.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile()).start();
  }

  /**
   * Told after the configuration was read and before the node is up: the file is read again when it
   * is.
   */
  @Test
  void hangupDuringStartIsNotLost() throws Exception {
    String unknowing = config().replaceFirst("\"known\":.*\n", "\"known\":null,\n");
    Path file = Files.writeString(folder.resolve("config.json"), unknowing);
    Process process = startProcess(file);
    try (FakePeer next = new FakePeer()) {
      FakePeer.Connection asked =
          discovery.accept(); // not answered: with no list known the start waits for it
      counter.accept();
      Files.writeString(file, unknowing.replace(discovery.address(), next.address()));
      assertEquals(
          0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
      assertTrue(next.poll(300) == null, "there is nothing to move yet");
      answerListRequest(
          asked, endpointListJson(41, true, endpointJson("s0", appServer.address(), "active")));
      answerListRequest(
          next.accept(),
          endpointListJson(7, true, endpointJson("s9", appServer.address(), "active")));
    } finally {
      process.destroy();
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    }
  }

  /**
   * As under nohup: ignored by the parent, the signal cannot be caught, and used to be lost for
   * ever.
   */
  @Test
  void reloadWorksWhereHangupIsIgnored() throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), config());
    Process process = startProcess(file, "/bin/sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
    try (FakePeer next = new FakePeer()) {
      answerWatch();
      counter.accept();
      appServer.accept();
      Path other =
          Files.writeString(
              folder.resolve("other.json"), config().replace(discovery.address(), next.address()));
      Files.move(other, file, StandardCopyOption.ATOMIC_MOVE);
      assertEquals(
          0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
      answerListRequest(
          next.accept(),
          endpointListJson(7, true, endpointJson("s9", appServer.address(), "active")));
      assertTrue(process.isAlive());
      long said =
          Files.readAllLines(folder.resolve("log")).stream()
              .filter(l -> l.startsWith("SIGHUP is ignored"))
              .count();
      assertEquals(1, said);
    } finally {
      process.destroy();
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    }
  }

  /** A JVM without a handler ends with 129 at SIGHUP. Here a child process of its own gets one. */
  @Test
  void hangupDoesNotEndTheProcess() throws Exception {
    Path file = Files.writeString(folder.resolve("config.json"), config());
    Process process = startProcess(file);
    try (FakePeer next = new FakePeer()) {
      answerWatch(); // it runs, and has caught the signal before
      counter.accept();
      appServer.accept();
      Files.writeString(file, config().replace(discovery.address(), next.address()));
      FakePeer.Connection connection = null;
      for (int i = 0;
          i < 50 && connection == null;
          i++) { // asked before it is up it has nothing to move
        assertEquals(
            0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
        connection = next.poll(200);
        assertTrue(process.isAlive(), () -> "ended with " + process.exitValue());
      }
      answerListRequest(
          connection, endpointListJson(7, true, endpointJson("s9", appServer.address(), "active")));
      assertEquals("GET /catalog/members?follow=1&since=7 HTTP/1.1", connection.readLine());
    } finally {
      process.destroy();
      assertTrue(process.waitFor(10, TimeUnit.SECONDS));
    }
  }
}
