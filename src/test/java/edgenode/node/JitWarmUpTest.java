package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.policy.CallOutcome;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyEvents;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * The warm-up must go the ordinary path to its end: a module that is never answered warms little.
 */
class JitWarmUpTest {
  @Test
  void eachRequestClassArrivesAndEnds() throws Exception {
    NodeConfig config =
        NodeConfig.parse(
            JsonValue.parse(
                """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","name":"n",
             "settings":{"rank":0,"group_size":1,
              "request_classes":[{"name":"r","effect":"read_like","aim":6,"hard_limit":2000},
               {"name":"w","effect":"idempotency_key","aim":6,"hard_limit":2000}],
              "tariffs":[{"name":"p","per_second":8,"depth":8}]}}"""),
            Map.of());
    Set<String> seen = new TreeSet<>();
    int[] ended = {0};
    JitWarmUp.run(
        config.settings(),
        (settings, seed, now, act) ->
            (PolicyEvents)
                java.lang.reflect.Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {PolicyEvents.class},
                    (self, method, args) -> {
                      if (method.getName().equals("arrived")) {
                        IncomingRequest r = (IncomingRequest) args[1];
                        seen.add(r.className() + " " + r.planName());
                        act.send(r.id(), "w0", 0);
                      } else if (method.getName().equals("ended")) {
                        assertEquals(CallOutcome.OK, args[3]);
                        ended[0]++;
                      }
                      return null;
                    }));
    assertEquals(Set.of("r p", "w p"), seen);
    assertTrue(ended[0] >= 90, "most rounds end: " + ended[0]);
  }
}
