package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import edgenode.config.JsonValue;
import edgenode.config.NodeConfig;
import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.IncomingRequest;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The warm-up must run ordinary requests to their end: otherwise little code is compiled. */
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
    Set<String> arrivedClasses = new TreeSet<>();
    int[] ended = {0};
    JitWarmUp.run(
        config.settings(),
        (settings, seed, nowMs, actions) ->
            new NoOpPolicyEvents() {
              @Override
              public void requestArrived(double arrivedAtMs, IncomingRequest request) {
                arrivedClasses.add(request.className() + " " + request.planName());
                actions.send(request.id(), "w0", 0);
              }

              @Override
              public void attemptEnded(
                  double endedAtMs,
                  long requestId,
                  int attempt,
                  AttemptResult result,
                  boolean isRequestOver) {
                assertEquals(CallOutcome.OK, result.outcome());
                ended[0]++;
              }
            });
    assertEquals(Set.of("r p", "w p"), arrivedClasses);
    assertTrue(ended[0] >= 90, "most rounds end: " + ended[0]);
  }
}
