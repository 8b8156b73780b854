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
 * @param admin where operators call, or null
 */
public record Config(
    String name,
    InetSocketAddress listen,
    InetSocketAddress admin,
    InetSocketAddress discovery,
    InetSocketAddress counter,
    long seed,
    int sockets,
    Json known,
    PolicySettings settings,
    double keepAlive,
    double connectTimeout) {

  /** Where the settings say nothing of connections. */
  private static final double KEEP_ALIVE = 15_000;

  private static final double CONNECT_TIMEOUT = 250;
  private static final int SOCKETS = 1024;
  private static final int PORTS = 65_535;

  /** So much of a bad address is told. */
  private static final int SHOWN = 64;

  /** Reads the file that EDGE_CONFIG names; the other variables win over it. */
  public static Config fromEnvironment(Map<String, String> env) throws IOException {
    String file = env.get("EDGE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new IllegalArgumentException("EDGE_CONFIG is not set");
    }
    return of(Json.read(Files.readAllBytes(Path.of(file))), env);
  }

  /**
   * The file as it is now, for a running edge node: the variables are those of its start, but
   * discovery's.
   */
  public static Config again(byte[] file, Map<String, String> env) throws IOException {
    Map<String, String> rest = new HashMap<>(env);
    rest.remove("EDGE_DISCOVERY");
    return of(Json.read(file), rest);
  }

  public static Config of(Json root, Map<String, String> env) {
    Map<String, String> keys = new HashMap<>();
    flatten("", root.get("settings"), keys);
    double idle = SettingsReader.number(keys, "limits.keepalive");
    double connect = SettingsReader.number(keys, "limits.connect_timeout");
    String counter = root.get("counter").text("");
    String admin = env.getOrDefault("EDGE_ADMIN_ADDR", root.get("admin_addr").text(""));
    return new Config(
        text(env, "EDGE_NAME", root, "name"),
        address(text(env, "EDGE_LISTEN", root, "listen")),
        admin.isEmpty() ? null : address(admin),
        address(text(env, "EDGE_DISCOVERY", root, "discovery")),
        counter.isEmpty() ? null : address(counter),
        seed(root.get("seed").text("0")),
        (int) root.get("limits").get("sockets").number(SOCKETS),
        root.get("known").isNull() ? null : root.get("known"),
        SettingsReader.read(keys),
        idle > 0 ? idle : KEEP_ALIVE,
        connect > 0 ? connect : CONNECT_TIMEOUT);
  }

  private static String text(Map<String, String> env, String variable, Json root, String key) {
    String value = env.getOrDefault(variable, root.get(key).text(""));
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
  public static InetSocketAddress address(String text) {
    int colon = text.lastIndexOf(':');
    byte[] address =
        colon < 1 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (address != null && port >= 0 && port <= PORTS) {
        return new InetSocketAddress(InetAddress.getByAddress(address), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // told below
    }
    throw new IllegalArgumentException(
        "address:port expected, found '"
            + (text.length() > SHOWN ? text.substring(0, SHOWN) + "..." : text)
            + "'");
  }

  /**
   * The settings as the simulator's wire writes them: a path a value, lists of plain values by
   * commas.
   */
  private static void flatten(String path, Json node, Map<String, String> keys) {
    String at = path.isEmpty() ? "" : path + ".";
    if (node.isObject()) {
      node.members().forEach((name, value) -> flatten(at + name, value, keys));
    } else if (node.elements().stream().anyMatch(v -> v.isObject() || v.isArray())) {
      keys.put(at + "count", Integer.toString(node.elements().size()));
      for (int i = 0; i < node.elements().size(); i++) {
        flatten(at + i, node.elements().get(i), keys);
      }
    } else if (node.isArray()) {
      StringJoiner values = new StringJoiner(",");
      node.elements().forEach(v -> values.add(v.text("")));
      keys.put(path, values.toString());
    } else if (!node.isNull()) {
      keys.put(path, node.text(""));
    }
  }
}
