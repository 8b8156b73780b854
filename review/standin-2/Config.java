import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** The configuration that the platform gives an edge node, with figures of a small deployment. */
final class Config {
  String listen = "127.0.0.1:" + freePort();
  String admin;
  String discovery;
  String counter;
  String known = "null";
  int rank;
  int nodes = 2;
  int sockets = 1024;
  int memoryMb = 192;

  /** The plan: units a second and at once for each customer, within the brief's ranges. */
  private static final String PLAN =
      "{\"name\":\"sede-mayor\",\"per_second\":14.0,\"depth\":35.0,\"price\":1.4,\"over_cost\":0.8}";

  static int freePort() {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  String json(String name) {
    return "{\"name\":\"" + name + "\",\"listen\":\"" + listen + "\",\"discovery\":\"" + discovery + "\""
        + (counter == null ? "" : ",\"counter\":\"" + counter + "\"")
        + (admin == null ? "" : ",\"admin_addr\":\"" + admin + "\"")
        + ",\"seed\":\"" + Long.toHexString(System.nanoTime()) + "\""
        + ",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets + "}"
        + ",\"known\":" + known
        + ",\"settings\":{\"rank\":" + rank + ",\"group_size\":" + nodes + ",\"tick\":4.0"
        + ",\"my_zone\":\"san-jose-1\",\"azs\":[\"san-jose-1\"],\"discovery\":\"pushed\",\"family\":\"gate\""
        + ",\"family_info\":{\"shared_counter\":" + (counter != null)
        + ",\"count_limit\":80.0,\"counter_price\":0.02,\"most_units\":1,\"trued_up\":false}"
        + ",\"feedback\":{\"fields\":[\"utilization\",\"outstanding\"],\"via\":\"probe\"}"
        + ",\"contract\":{\"ask_within\":10000.0,\"cold_share\":0.16,\"drain_grace\":250.0"
        + ",\"grace_to_answer\":16.0,\"overload_factor\":3.0,\"overload_for\":2000.0,\"warm_after\":18000.0}"
        + ",\"limits\":{\"cancelling\":true,\"connect_timeout\":250.0,\"keepalive\":15000.0,\"max_open\":26687"
        + ",\"max_retry_after\":2000.0,\"parallel_tries\":true,\"probing\":true,\"retry_after\":true"
        + ",\"send_cap\":5,\"streams_per_conn\":32}"
        + ",\"prices\":{\"waste\":0.05,\"probe\":0.01,\"late_fail\":0.03}"
        + ",\"request_classes\":[{\"name\":\"seat-lookup\",\"effect\":\"read_like\",\"group\":\"all\""
        + ",\"aim\":600.0,\"hard_limit\":2000.0,\"worth\":1.0,\"late_share\":0.2,\"repeat_window\":5000.0"
        + ",\"stream\":false},{\"name\":\"enrol\",\"effect\":\"idempotency_key\",\"group\":\"cell\""
        + ",\"aim\":800.0,\"hard_limit\":3000.0,\"worth\":2.0,\"late_share\":0.0,\"repeat_window\":7500.0"
        + ",\"stream\":false}],\"tariffs\":[" + PLAN + "]}}";
  }
}
