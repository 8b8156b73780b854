package edgenode.config;

import edgenode.policy.PolicySettings;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.StringJoiner;

/**
 * What this edge node is told at its start. The times are milliseconds; admin, counter and known
 * are null where nothing names them.
 *
 * @param adminAddress where operators call, or null
 */
public record NodeConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress discoveryAddress,
    InetSocketAddress counterAddress,
    long seed,
    int maxSockets,
    JsonValue initialEndpoints,
    PolicySettings settings,
    double keepAliveMs,
    double connectTimeoutMs) {

  /** Where the settings say nothing of connections. */
  private static final double DEFAULT_KEEP_ALIVE_MS = 15_000;

  private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final int MAX_PORT = 65_535;

  /** So much of a bad address is told. */
  private static final int MAX_QUOTED_CHARS = 64;

  /** Reads the file that EDGE_CONFIG names; the other variables win over it. */
  public static NodeConfig fromEnvironment(Map<String, String> environment) throws IOException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new IllegalArgumentException("EDGE_CONFIG is not set");
    }
    return parse(JsonValue.parse(Files.readAllBytes(Path.of(file))), environment);
  }

  /**
   * The file as it is now, for a running edge node: the variables are those of its start, but
   * discovery's.
   */
  public static NodeConfig reload(byte[] file, Map<String, String> environment) throws IOException {
    Map<String, String> variables = new HashMap<>(environment);
    variables.remove("EDGE_DISCOVERY");
    return parse(JsonValue.parse(file), variables);
  }

  public static NodeConfig parse(JsonValue root, Map<String, String> environment) {
    Map<String, String> keys = new HashMap<>();
    flatten("", root.get("settings"), keys);
    double keepAliveMs = PolicySettingsReader.number(keys, "limits.keepalive");
    double connectTimeoutMs = PolicySettingsReader.number(keys, "limits.connect_timeout");
    String counter = root.get("counter").textOr("");
    String admin = environment.getOrDefault("EDGE_ADMIN_ADDR", root.get("admin_addr").textOr(""));
    return new NodeConfig(
        required(environment, "EDGE_NAME", root, "name"),
        parseAddress(required(environment, "EDGE_LISTEN", root, "listen")),
        admin.isEmpty() ? null : parseAddress(admin),
        parseAddress(required(environment, "EDGE_DISCOVERY", root, "discovery")),
        counter.isEmpty() ? null : parseAddress(counter),
        seed(root.get("seed").textOr("0")),
        (int) root.get("limits").get("sockets").numberOr(DEFAULT_MAX_SOCKETS),
        root.get("known").isNull() ? null : root.get("known"),
        PolicySettingsReader.read(keys),
        keepAliveMs > 0 ? keepAliveMs : DEFAULT_KEEP_ALIVE_MS,
        connectTimeoutMs > 0 ? connectTimeoutMs : DEFAULT_CONNECT_TIMEOUT_MS);
  }

  private static String required(
      Map<String, String> environment, String variable, JsonValue root, String key) {
    String value = environment.getOrDefault(variable, root.get(key).textOr(""));
    if (value.isEmpty()) {
      throw new IllegalArgumentException("neither " + variable + " nor '" + key + "' is set");
    }
    return value;
  }

  private static long seed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      return hex.hashCode();
    }
  }

  /**
   * Addresses are numbers: there is no DNS, and a name would be looked up where nothing may block.
   *
   * @throws IllegalArgumentException where it is not {@code address:port} with a numeric address
   */
  public static InetSocketAddress parseAddress(String text) {
    int colon = text.lastIndexOf(':');
    byte[] address =
        colon < 1 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (address != null && port >= 0 && port <= MAX_PORT) {
        return new InetSocketAddress(InetAddress.getByAddress(address), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // told below
    }
    throw new IllegalArgumentException(
        "address:port expected, found '"
            + (text.length() > MAX_QUOTED_CHARS
                ? text.substring(0, MAX_QUOTED_CHARS) + "..."
                : text)
            + "'");
  }

  /**
   * The settings as the simulator's wire writes them: a path a value, lists of plain values by
   * commas.
   */
  private static void flatten(String path, JsonValue node, Map<String, String> keys) {
    String prefix = path.isEmpty() ? "" : path + ".";
    if (node.isObject()) {
      node.members().forEach((name, value) -> flatten(prefix + name, value, keys));
    } else if (node.elements().stream().anyMatch(v -> v.isObject() || v.isArray())) {
      keys.put(prefix + "count", Integer.toString(node.elements().size()));
      for (int index = 0; index < node.elements().size(); index++) {
        flatten(prefix + index, node.elements().get(index), keys);
      }
    } else if (node.isArray()) {
      StringJoiner values = new StringJoiner(",");
      node.elements().forEach(v -> values.add(v.textOr("")));
      keys.put(path, values.toString());
    } else if (!node.isNull()) {
      keys.put(path, node.textOr(""));
    }
  }
}
