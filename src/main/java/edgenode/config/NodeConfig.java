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
 * The platform's configuration of this node, as it was at one reading of its file.
 *
 * @param listenAddress where clients connect
 * @param adminAddress where operators connect, or null
 * @param discoveryAddress of the discovery service
 * @param counterAddress of the shared counter, or null where there is none
 * @param seed of the node's random numbers: hexadecimal in the file; other text is hashed
 * @param maxSockets limit of open connections
 * @param initialEndpoints the endpoint list as it was known when the file was written, or null
 * @param settings the policy's settings
 * @param keepAliveMs time after which endpoints close idle connections
 * @param connectTimeoutMs after which a connect to an endpoint has failed
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

  private static final double DEFAULT_KEEP_ALIVE_MS = 15_000;

  private static final double DEFAULT_CONNECT_TIMEOUT_MS = 250;
  private static final int DEFAULT_MAX_SOCKETS = 1024;
  private static final int MAX_PORT = 65_535;

  /** What an error message quotes of a malformed address. */
  private static final int MAX_QUOTED_CHARS = 64;

  /**
   * Reads the file that EDGE_CONFIG names; the other environment variables take precedence over it.
   *
   * @throws IOException where the file cannot be read or is no JSON
   * @throws IllegalArgumentException which names what is missing or malformed
   * @throws PolicySettingsReader.InvalidPolicySettingException at the first setting of the policy
   *     that is missing or malformed
   */
  public static NodeConfig fromEnvironment(Map<String, String> environment) throws IOException {
    String file = environment.get("EDGE_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new IllegalArgumentException("EDGE_CONFIG is not set");
    }
    return parse(JsonValue.parse(Files.readAllBytes(Path.of(file))), environment);
  }

  /**
   * Parses the file's content for a running node. The environment is that of its start, but the
   * address of the discovery service comes from the file: it may have moved.
   *
   * @throws IOException where the content is no JSON
   * @throws IllegalArgumentException which names what is missing or malformed
   * @throws PolicySettingsReader.InvalidPolicySettingException at the first setting of the policy
   *     that is missing or malformed
   */
  public static NodeConfig reload(byte[] file, Map<String, String> environment) throws IOException {
    Map<String, String> variables = new HashMap<>(environment);
    variables.remove("EDGE_DISCOVERY");
    return parse(JsonValue.parse(file), variables);
  }

  /**
   * The configuration of a parsed file.
   *
   * @throws IllegalArgumentException which names what is missing or malformed
   * @throws PolicySettingsReader.InvalidPolicySettingException at the first setting of the policy
   *     that is missing or malformed
   */
  public static NodeConfig parse(JsonValue root, Map<String, String> environment) {
    Map<String, String> valuesByKey = new HashMap<>();
    flatten("", root.get("settings"), valuesByKey);
    double keepAliveMs = PolicySettingsReader.number(valuesByKey, "limits.keepalive");
    double connectTimeoutMs = PolicySettingsReader.number(valuesByKey, "limits.connect_timeout");
    String counter = root.get("counter").textOr("");
    String admin = environment.getOrDefault("EDGE_ADMIN_ADDR", root.get("admin_addr").textOr(""));
    return new NodeConfig(
        required(environment, "EDGE_NAME", root, "name"),
        parseAddress(required(environment, "EDGE_LISTEN", root, "listen")),
        admin.isEmpty() ? null : parseAddress(admin),
        parseAddress(required(environment, "EDGE_DISCOVERY", root, "discovery")),
        counter.isEmpty() ? null : parseAddress(counter),
        parseSeed(root.get("seed").textOr("0")),
        (int) root.get("limits").get("sockets").numberOr(DEFAULT_MAX_SOCKETS),
        root.get("known").isNull() ? null : root.get("known"),
        PolicySettingsReader.read(valuesByKey),
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

  /** A seed that is no hexadecimal number is hashed. */
  private static long parseSeed(String hex) {
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException e) {
      return hex.hashCode();
    }
  }

  /**
   * Parses an address. Only numeric ones: looking up a name would block.
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
      // reported below
    }
    boolean isLong = text.length() > MAX_QUOTED_CHARS;
    String quoted = isLong ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
    throw new IllegalArgumentException("address:port expected, found '" + quoted + "'");
  }

  /**
   * Lists all settings below a path in the form of {@link PolicySettingsReader}: a value for each
   * path, lists of plain values separated by commas, other lists with their length and indexes.
   */
  private static void flatten(String path, JsonValue node, Map<String, String> valuesByKey) {
    String prefix = path.isEmpty() ? "" : path + ".";
    if (node.isObject()) {
      node.members().forEach((name, value) -> flatten(prefix + name, value, valuesByKey));
    } else if (node.elements().stream().anyMatch(v -> v.isObject() || v.isArray())) {
      valuesByKey.put(prefix + "count", Integer.toString(node.elements().size()));
      for (int index = 0; index < node.elements().size(); index++) {
        flatten(prefix + index, node.elements().get(index), valuesByKey);
      }
    } else if (node.isArray()) {
      StringJoiner values = new StringJoiner(",");
      node.elements().forEach(v -> values.add(v.textOr("")));
      valuesByKey.put(path, values.toString());
    } else if (!node.isNull()) {
      valuesByKey.put(path, node.textOr(""));
    }
  }
}
