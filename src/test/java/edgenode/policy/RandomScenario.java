package edgenode.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * Events for one engine, drawn from a seed: only answers depend on what the engine does. Covers odd
 * events too: ids that are not known, names twice in a list, endpoints that move.
 */
final class RandomScenario {
  private RandomScenario() {}

  private static EndpointInfo randomEndpoint(Random random, int number, double nowMs) {
    double startedAtMs = random.nextInt(3) == 0 ? Math.max(0, nowMs - random.nextInt(20_000)) : 0;
    int placeOf = random.nextInt(40) == 0 ? number + 2 : number; // another cell and zone
    EndpointInfo endpoint =
        FakeGateway.endpoint(
            placeOf, EndpointState.values()[Math.max(0, random.nextInt(6) - 3)], startedAtMs);
    return new EndpointInfo(
        "s" + number,
        endpoint.cell(),
        endpoint.zone(),
        endpoint.state(),
        endpoint.kind(),
        endpoint.startedAtMs(),
        endpoint.weight());
  }

  private static void sendRandomList(FakeGateway gateway, Random random, int endpoints) {
    List<EndpointInfo> list = new ArrayList<>();
    boolean isComplete = random.nextInt(6) == 0;
    int size = isComplete ? random.nextInt(endpoints) + endpoints / 2 : 1 + random.nextInt(4);
    for (int i = 0; i < size; i++) {
      list.add(randomEndpoint(random, random.nextInt(endpoints), gateway.nowMs));
    }
    gateway.engine.endpointsChanged(gateway.nowMs, list, isComplete);
  }

  /** Starts the engine and sends so many steps of events. */
  static FakeGateway run(FakeGateway gateway, long seed, int endpoints, int steps) {
    Random random = new Random(seed);
    String[] classNames = {"read", "all", "zone", "cell", "once"};
    String[] plans = {"rate", "open", "big", "big", "ceiling"};
    CallOutcome[] outcomes = CallOutcome.values();
    gateway.start().listEndpoints(endpoints);
    boolean isCalm = true;
    for (int i = 0; i < steps; i++) {
      gateway.advanceTo(gateway.nowMs + random.nextInt(random.nextInt(50) == 0 ? 2000 : 30));
      isCalm = random.nextInt(100) == 0 ? !isCalm : isCalm;
      switch (random.nextInt(40)) {
        case 0 -> sendRandomList(gateway, random, endpoints);
        case 1 ->
            gateway.engine.clientDisconnected(gateway.nowMs, Math.max(0, i - random.nextInt(20)));
        case 2 -> gateway.answerCounter(CallOutcome.TIMEOUT);
        default -> gateway.answerCounter(CallOutcome.OK);
      }
      String className = classNames[random.nextInt(classNames.length)];
      String planName = plans[random.nextInt(plans.length)];
      gateway.arrive(i, className, planName, "c" + random.nextInt(9));
      for (int k = 0; k < 6; k++) {
        long id = Math.max(0, i - random.nextInt(30));
        CallOutcome outcome =
            isCalm || random.nextBoolean()
                ? CallOutcome.OK
                : outcomes[random.nextInt(outcomes.length)];
        gateway.engine.attemptEnded(
            gateway.nowMs,
            id,
            (int) Math.max(0, gateway.actionCount("send " + id + " ") - 1),
            new AttemptResult(
                outcome, 10 + random.nextInt(random.nextInt(8) == 0 ? 590 : 60), 0, new double[0]),
            outcome == CallOutcome.OK);
      }
    }
    return gateway;
  }
}
