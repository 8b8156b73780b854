package edgenode.simhost;

import edgenode.config.PolicySettingsReader;
import edgenode.policy.CallOutcome;
import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import edgenode.policy.IncomingRequest;
import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEngine;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The text wire: parses batches into events, prints actions, hosts many instances. It decides
 * nothing.
 */
public final class SimulatorWire {
  /** A line of input that cannot be understood; the message names line and field. */
  public static final class MalformedInputException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    MalformedInputException(String message) {
      super(message);
    }
  }

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
  private static final double[] NO_LOAD_REPORT = new double[0];

  /** One instance with its reply in the making. */
  private static final class Instance implements PolicyActions {
    private final StringBuilder actions = new StringBuilder();
    private PolicyEvents events;

    /** A number to the microsecond, never in exponent form. */
    private static String format(double value) {
      return java.math.BigDecimal.valueOf(Math.rint(value * 1000) / 1000).toPlainString();
    }

    private StringBuilder append(String text) {
      return actions.append(text);
    }

    @Override
    public void send(long requestId, String endpointId, double deadlineMs) {
      append("PLACE\t")
          .append(requestId)
          .append('\t')
          .append(endpointId)
          .append('\t')
          .append(format(deadlineMs))
          .append('\n');
    }

    @Override
    public void cancel(long requestId, int attempt) {
      append("DROP_ATTEMPT\t").append(requestId).append('\t').append(attempt).append('\n');
    }

    @Override
    public void reject(long requestId, double retryAfterMs) {
      append("PUSH_BACK\t")
          .append(requestId)
          .append('\t')
          .append(format(retryAfterMs))
          .append('\n');
    }

    @Override
    public void fail(long requestId) {
      append("GIVE_UP\t").append(requestId).append('\n');
    }

    @Override
    public void setTimer(double delayMs, long token) {
      append("WAKE_AT\t").append(format(delayMs)).append('\t').append(token).append('\n');
    }

    @Override
    public void checkHealth(String endpointId) {
      append("ASK_LOAD\t").append(endpointId).append('\n');
    }

    @Override
    public void addToCounter(long counterName, double amount, double timeToLiveMs) {
      append("ADD_TO\t")
          .append(format(amount))
          .append('\t')
          .append(format(timeToLiveMs))
          .append('\t')
          .append(counterName)
          .append('\n');
    }

    @Override
    public void subscribe() {
      append("WATCH\t1\n");
    }
  }

  private final Map<Integer, Instance> instances = new TreeMap<>();
  private long lineNumber;
  private String[] fields = new String[0];
  private BufferedReader input;
  private double nowMs;
  private Integer currentInstance;

  /** Reads batches until the input ends. */
  public void run(BufferedReader source, PrintStream out) throws IOException {
    input = source;
    for (String line = nextLine(); line != null; line = nextLine()) {
      if (line.isEmpty()) {
        continue;
      }
      split(line);
      if (!fields[0].equals("TURN")) {
        throw malformed("message", "TURN expected, found " + quoted(fields[0]));
      }
      nowMs = number(1, "clock");
      readBatch();
      StringBuilder reply = new StringBuilder();
      for (Map.Entry<Integer, Instance> instance : instances.entrySet()) {
        if (instance.getValue().actions.length() > 0) {
          reply
              .append("AS\t")
              .append(instance.getKey())
              .append('\n')
              .append(instance.getValue().actions);
          instance.getValue().actions.setLength(0);
        }
      }
      out.write(reply.append("END\n").toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  private void readBatch() throws IOException {
    currentInstance = null;
    while (true) {
      String line = nextLine();
      if (line == null) {
        throw malformed("message", "the input ends inside a batch");
      }
      split(line);
      if (fields[0].equals("GO")) {
        return;
      }
      if (fields[0].equals("INSTANCE")) {
        currentInstance = (int) integer(1, "instance");
      } else if (currentInstance == null) {
        throw malformed("message", "INSTANCE expected before " + quoted(fields[0]));
      } else {
        handleEvent(instances.computeIfAbsent(currentInstance, k -> new Instance()));
      }
    }
  }

  private void handleEvent(Instance instance) throws IOException {
    if (fields[0].equals("UP")) {
      instance.actions.setLength(0);
      instance.events = new PolicyEngine(readSettings(), integer(1, "entropy"), nowMs, instance);
      return;
    }
    if (fields[0].equals("DESTROY")) {
      instance.events = null;
      instance.actions.setLength(0);
      return;
    }
    if (instance.events == null) {
      throw malformed("instance", "instance " + currentInstance + " has not been started");
    }
    PolicyEvents events = instance.events;
    switch (fields[0]) {
      case "MEMBERSHIP" -> readEndpointList(events);
      case "ARRIVAL" ->
          events.requestArrived(
              nowMs,
              new IncomingRequest(
                  integer(1, "tid"),
                  field(2, "band"),
                  field(3, "tariff"),
                  field(4, "holder"),
                  number(5, "remaining"),
                  (int) integer(6, "units"),
                  (int) integer(7, "spread"),
                  (int) integer(8, "first_door"),
                  flag(9, "again_by_client")));
      case "ACK_FIRST" ->
          events.responseStarted(nowMs, integer(1, "tid"), (int) integer(4, "round_no"));
      case "ENDED" ->
          events.attemptEnded(
              nowMs,
              integer(1, "tid"),
              (int) integer(4, "round_no"),
              outcome(5),
              number(6, "cost_time"),
              flag(3, "settled"),
              (int) integerOrZero(8, "actual"),
              loadReport(9));
      case "CANCELLED_BY_CLIENT" -> events.clientDisconnected(nowMs, integer(1, "tid"));
      case "REMINDER" -> events.timerFired(nowMs, integer(1, "ctx"));
      case "PROBE_RESULT" ->
          events.healthCheckEnded(
              nowMs, field(1, "server"), outcome(2), number(3, "cost_time"), loadReport(4));
      case "COUNTER_REPLY" ->
          events.counterCallEnded(
              nowMs,
              integer(2, "counter"),
              outcome(1),
              number(3, "cost_time"),
              numberOrZero(4, "result_value"));
      case "DATAGRAM" -> integer(1, "src");
      default -> throw malformed("message", "unknown event " + quoted(fields[0]));
    }
  }

  private void readEndpointList(PolicyEvents events) throws IOException {
    String kind = field(1, "kind");
    if (!List.of("diff", "snapshot", "disk", "error").contains(kind)) {
      throw malformed("kind", "unknown list kind " + quoted(kind));
    }
    integerOrZero(2, "seq_no");
    long count = integerOrZero(3, "items");
    List<EndpointInfo> endpoints = new ArrayList<>();
    for (long index = 0; index < count; index++) {
      String line = nextLine();
      if (line == null) {
        throw malformed("items", "the input ends inside a list");
      }
      split(line);
      if (!fields[0].equals("ITEM")) {
        throw malformed("message", "ITEM expected, found " + quoted(fields[0]));
      }
      EndpointState state =
          switch (field(4, "condition")) {
            case "on" -> EndpointState.UP;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default -> throw malformed("condition", "unknown condition " + quoted(fields[4]));
          };
      endpoints.add(
          new EndpointInfo(
              field(3, "server"),
              (int) integerOrZero(1, "pack"),
              field(2, "region_part"),
              state,
              field(5, "kind"),
              numberOrZero(6, "start_time"),
              numberOrZero(7, "units")));
    }
    if (kind.equals("error")) {
      events.discoveryFailed(nowMs);
    } else {
      events.endpointsChanged(nowMs, endpoints, !kind.equals("diff"));
    }
  }

  /** The settings of an UP line; a key that is not known here is skipped. */
  private PolicySettings readSettings() {
    Map<String, String> keys = new HashMap<>();
    for (int index = 2; index < fields.length; index++) {
      int equalsAt = fields[index].indexOf('=');
      if (equalsAt < 1) {
        throw malformed("env", "path=value expected, found " + quoted(fields[index]));
      }
      keys.put(fields[index].substring(0, equalsAt), fields[index].substring(equalsAt + 1));
    }
    try {
      return PolicySettingsReader.read(keys);
    } catch (PolicySettingsReader.InvalidSettingException invalid) {
      throw malformed(invalid.field(), invalid.problem());
    }
  }

  private double[] loadReport(int index) {
    if (index >= fields.length || fields[index].equals("-") || fields[index].isEmpty()) {
      return NO_LOAD_REPORT;
    }
    String[] items = fields[index].split(",");
    double[] values = new double[items.length];
    for (int item = 0; item < items.length; item++) {
      values[item] = items[item].equals("-") ? Double.NaN : parseNumber(items[item], "health_info");
    }
    return values;
  }

  private CallOutcome outcome(int index) {
    CallOutcome outcome = OUTCOMES.get(field(index, "outcome"));
    if (outcome == null) {
      throw malformed("outcome", "unknown outcome " + quoted(fields[index]));
    }
    return outcome;
  }

  private String nextLine() throws IOException {
    lineNumber++;
    return input.readLine();
  }

  private void split(String line) {
    List<String> parts = new ArrayList<>(12);
    int from = 0;
    for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', from)) {
      parts.add(line.substring(from, tab));
      from = tab + 1;
    }
    parts.add(line.substring(from));
    fields = parts.toArray(new String[0]);
  }

  private String field(int index, String name) {
    if (index >= fields.length || fields[index].isEmpty()) {
      throw malformed(name, "missing");
    }
    return fields[index];
  }

  private boolean flag(int index, String name) {
    String value = field(index, name);
    if (!value.equals("1") && !value.equals("0") && !value.equals("-")) {
      throw malformed(name, "1 or 0 expected, found " + quoted(value));
    }
    return value.equals("1");
  }

  private long integer(int index, String name) {
    String value = field(index, name);
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw malformed(name, "whole number expected, found " + quoted(value));
    }
  }

  private long integerOrZero(int index, String name) {
    return index >= fields.length || fields[index].equals("-") ? 0 : integer(index, name);
  }

  private double number(int index, String name) {
    return parseNumber(field(index, name), name);
  }

  private double numberOrZero(int index, String name) {
    return index >= fields.length || fields[index].equals("-") ? 0 : number(index, name);
  }

  private double parseNumber(String value, String name) {
    try {
      double parsed = Double.parseDouble(value);
      if (Double.isFinite(parsed)) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // told below, with the line
    }
    throw malformed(name, "number expected, found " + quoted(value));
  }

  private static String quoted(String value) {
    return "'" + (value.length() > 40 ? value.substring(0, 40) + "..." : value) + "'";
  }

  private MalformedInputException malformed(String field, String problem) {
    return new MalformedInputException("line " + lineNumber + ", field " + field + ": " + problem);
  }
}
