package edgenode.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Days of one instance, drawn from a seed: what comes does not depend on what it does, but for
 * answers.
 */
final class RandomScenario {
  private RandomScenario() {}

  private static EndpointInfo randomEndpoint(Random random, int i, double now) {
    double started = random.nextInt(3) == 0 ? Math.max(0, now - random.nextInt(20_000)) : 0;
    int of = random.nextInt(40) == 0 ? i + 2 : i; // now and then one moves to another cell and zone
    EndpointInfo endpoint =
        FakeGateway.endpoint(
            of, EndpointState.values()[Math.max(0, random.nextInt(6) - 3)], started);
    return new EndpointInfo(
        "s" + i,
        endpoint.cell(),
        endpoint.zone(),
        endpoint.state(),
        endpoint.kind(),
        endpoint.startedAtMs(),
        endpoint.weight());
  }

  private static void sendRandomList(FakeGateway gateway, Random random, int servers) {
    List<EndpointInfo> list = new ArrayList<>();
    boolean whole = random.nextInt(6) == 0;
    for (int n = whole ? random.nextInt(servers) + servers / 2 : 1 + random.nextInt(4);
        n > 0;
        n--) {
      list.add(
          randomEndpoint(
              random, random.nextInt(servers), gateway.nowMs)); // names twice in a list too
    }
    gateway.engine.endpointsChanged(gateway.nowMs, list, whole);
  }

  /** Plays so many steps of a day; what the instance did stands in the log. */
  static FakeGateway run(FakeGateway gateway, long seed, int servers, int steps) {
    Random random = new Random(seed);
    String[] types = {"read", "all", "zone", "cell", "once"};
    String[] plans = {"rate", "open", "big", "big", "ceiling"};
    CallOutcome[] outcomes = CallOutcome.values();
    gateway.start().listEndpoints(servers);
    boolean calm = true;
    for (int i = 0; i < steps; i++) {
      gateway.advanceTo(gateway.nowMs + random.nextInt(random.nextInt(50) == 0 ? 2000 : 30));
      calm = random.nextInt(100) == 0 ? !calm : calm;
      switch (random.nextInt(40)) {
        case 0 -> sendRandomList(gateway, random, servers);
        case 1 ->
            gateway.engine.clientDisconnected(gateway.nowMs, Math.max(0, i - random.nextInt(20)));
        case 2 -> gateway.answerCounter(CallOutcome.TIMEOUT);
        default -> gateway.answerCounter(CallOutcome.OK);
      }
      int type = random.nextInt(types.length);
      gateway.arrive(i, types[type], plans[random.nextInt(plans.length)], "c" + random.nextInt(9));
      for (int k = 0; k < 6; k++) {
        long id = Math.max(0, i - random.nextInt(30));
        CallOutcome outcome =
            calm || random.nextBoolean()
                ? CallOutcome.OK
                : outcomes[random.nextInt(outcomes.length)];
        gateway.engine.attemptEnded(
            gateway.nowMs,
            id,
            (int) Math.max(0, gateway.count("send " + id + " ") - 1),
            outcome,
            10 + random.nextInt(random.nextInt(8) == 0 ? 590 : 60),
            outcome == CallOutcome.OK,
            0,
            new double[0]);
      }
    }
    return gateway;
  }
}
