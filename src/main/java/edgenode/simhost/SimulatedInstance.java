package edgenode.simhost;

import edgenode.config.PolicySettingsReader;
import edgenode.policy.AttemptResult;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** One model node: parses its events, hands them to its policy engine and collects its actions. */
final class SimulatedInstance {
  private static final Map<String, CallOutcome> OUTCOMES =
      Map.of(
          "S",
          CallOutcome.OK,
          "E",
          CallOutcome.ERROR,
          "F",
          CallOutcome.FULL,
          "T",
          CallOutcome.TIMEOUT,
          "C",
          CallOutcome.NO_CONNECTION,
          "R",
          CallOutcome.RESET,
          "X",
          CallOutcome.CANCELLED,
          "N",
          CallOutcome.NOT_SENT);

  private static final String LIST_CHANGES = "diff";
  private static final String LIST_ERROR = "error";
  private static final List<String> LIST_KINDS =
      List.of(LIST_CHANGES, "snapshot", "disk", LIST_ERROR);

  private static final int FIRST_SETTING_INDEX = 2;

  private final int number;
  private final ActionWriter actions = new ActionWriter();

  /** Null while the instance is not started. */
  private PolicyEvents policy;

  /**
   * @param number of the instance on the wire
   */
  SimulatedInstance(int number) {
    this.number = number;
  }

  /** Appends the actions since the last call to the reply. */
  void moveActionsTo(StringBuilder reply) {
    actions.moveTo(reply, number);
  }

  /** Handles the event that begins with the current line; reads on where it has several lines. */
  void handleEvent(LineReader in, double nowMs) throws IOException {
    switch (in.message()) {
      case "UP" -> {
        actions.clear();
        policy = new PolicyEngine(readSettings(in), in.integer(1, "entropy"), nowMs, actions);
      }
      case "DESTROY" -> {
        policy = null;
        actions.clear();
      }
      default -> {
        if (policy == null) {
          throw in.malformed("instance", "instance " + number + " has not been started");
        }
        handlePolicyEvent(in, nowMs);
      }
    }
  }

  private void handlePolicyEvent(LineReader in, double nowMs) throws IOException {
    switch (in.message()) {
      case "MEMBERSHIP" -> readEndpointList(in, nowMs);
      case "ARRIVAL" -> policy.requestArrived(nowMs, readRequest(in));
      case "ACK_FIRST" ->
          policy.responseStarted(nowMs, in.integer(1, "tid"), (int) in.integer(4, "round_no"));
      case "ENDED" -> attemptEnded(in, nowMs);
      case "CANCELLED_BY_CLIENT" -> policy.clientDisconnected(nowMs, in.integer(1, "tid"));
      case "REMINDER" -> policy.timerFired(nowMs, in.integer(1, "ctx"));
      case "PROBE_RESULT" ->
          policy.healthCheckEnded(
              nowMs,
              in.field(1, "server"),
              outcome(in, 2),
              in.number(3, "cost_time"),
              in.numbers(4, "health_info"));
      case "COUNTER_REPLY" -> counterCallEnded(in, nowMs);
      case "DATAGRAM" -> in.integer(1, "src"); // checked only: instances exchange no messages
      default -> throw in.malformed("message", "unknown event " + LineReader.quoted(in.message()));
    }
  }

  private static IncomingRequest readRequest(LineReader in) {
    return new IncomingRequest(
        in.integer(1, "tid"),
        in.field(2, "band"),
        in.field(3, "tariff"),
        in.field(4, "holder"),
        in.number(5, "remaining"),
        (int) in.integer(6, "units"),
        (int) in.integer(7, "spread"),
        (int) in.integer(8, "first_door"),
        in.flag(9, "again_by_client"));
  }

  private void attemptEnded(LineReader in, double nowMs) {
    policy.attemptEnded(
        nowMs,
        in.integer(1, "tid"),
        (int) in.integer(4, "round_no"),
        new AttemptResult(
            outcome(in, 5),
            in.number(6, "cost_time"),
            (int) in.integerOrZero(8, "actual"),
            in.numbers(9, "health_info")),
        in.flag(3, "settled"));
  }

  private void counterCallEnded(LineReader in, double nowMs) {
    policy.counterCallEnded(
        nowMs,
        in.integer(2, "counter"),
        outcome(in, 1),
        in.number(3, "cost_time"),
        in.numberOrZero(4, "result_value"));
  }

  private static CallOutcome outcome(LineReader in, int index) {
    String code = in.field(index, "outcome");
    CallOutcome outcome = OUTCOMES.get(code);
    if (outcome == null) {
      throw in.malformed("outcome", "unknown outcome " + LineReader.quoted(code));
    }
    return outcome;
  }

  private void readEndpointList(LineReader in, double nowMs) throws IOException {
    String kind = in.field(1, "kind");
    if (!LIST_KINDS.contains(kind)) {
      throw in.malformed("kind", "unknown list kind " + LineReader.quoted(kind));
    }
    in.integerOrZero(2, "seq_no"); // checked only
    long count = in.integerOrZero(3, "items");
    List<EndpointInfo> endpoints = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      if (!in.next()) {
        throw in.malformed("items", "the input ends inside a list");
      }
      endpoints.add(readEndpoint(in));
    }
    if (kind.equals(LIST_ERROR)) {
      policy.discoveryFailed(nowMs);
    } else {
      policy.endpointsChanged(nowMs, endpoints, !kind.equals(LIST_CHANGES));
    }
  }

  private static EndpointInfo readEndpoint(LineReader in) {
    if (!in.message().equals("ITEM")) {
      throw in.malformed("message", "ITEM expected, found " + LineReader.quoted(in.message()));
    }
    String condition = in.field(4, "condition");
    EndpointState state =
        switch (condition) {
          case "on" -> EndpointState.UP;
          case "fading" -> EndpointState.DRAINING;
          case "off" -> EndpointState.REMOVED;
          default ->
              throw in.malformed("condition", "unknown condition " + LineReader.quoted(condition));
        };
    return new EndpointInfo(
        in.field(3, "server"),
        (int) in.integerOrZero(1, "pack"),
        in.field(2, "region_part"),
        state,
        in.field(5, "kind"),
        in.numberOrZero(6, "start_time"),
        in.numberOrZero(7, "units"));
  }

  /** The settings of an UP line; unknown keys are skipped. */
  private static PolicySettings readSettings(LineReader in) {
    Map<String, String> valuesByKey = new HashMap<>();
    for (int index = FIRST_SETTING_INDEX; index < in.fieldCount(); index++) {
      String setting = in.rawField(index);
      int equalsAt = setting.indexOf('=');
      if (equalsAt < 1) {
        throw in.malformed("env", "path=value expected, found " + LineReader.quoted(setting));
      }
      valuesByKey.put(setting.substring(0, equalsAt), setting.substring(equalsAt + 1));
    }
    try {
      return PolicySettingsReader.read(valuesByKey);
    } catch (PolicySettingsReader.InvalidPolicySettingException invalid) {
      throw in.malformed(invalid.field(), invalid.problem());
    }
  }
}
