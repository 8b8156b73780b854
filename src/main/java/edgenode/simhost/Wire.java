package edgenode.simhost;

import edgenode.config.SettingsReader;
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
public final class Wire {
  /** A line of input that cannot be understood; the message names line and field. */
  public static final class Malformed extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Malformed(String message) {
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
  private static final double[] NO_LOAD = new double[0];

  /** One instance with its reply in the making. */
  private static final class Host implements PolicyActions {
    private final StringBuilder out = new StringBuilder();
    private PolicyEvents events;

    /** A number to the microsecond, never in exponent form. */
    private static String plain(double value) {
      return java.math.BigDecimal.valueOf(Math.rint(value * 1000) / 1000).toPlainString();
    }

    private StringBuilder word(String word) {
      return out.append(word);
    }

    @Override
    public void send(long id, String server, double until) {
      word("PLACE\t")
          .append(id)
          .append('\t')
          .append(server)
          .append('\t')
          .append(plain(until))
          .append('\n');
    }

    @Override
    public void cancel(long id, int attempt) {
      word("DROP_ATTEMPT\t").append(id).append('\t').append(attempt).append('\n');
    }

    @Override
    public void reject(long id, double retryAfter) {
      word("PUSH_BACK\t").append(id).append('\t').append(plain(retryAfter)).append('\n');
    }

    @Override
    public void fail(long id) {
      word("GIVE_UP\t").append(id).append('\n');
    }

    @Override
    public void setTimer(double delay, long token) {
      word("WAKE_AT\t").append(plain(delay)).append('\t').append(token).append('\n');
    }

    @Override
    public void checkHealth(String server) {
      word("ASK_LOAD\t").append(server).append('\n');
    }

    @Override
    public void addToCounter(long name, double amount, double keepFor) {
      word("ADD_TO\t")
          .append(plain(amount))
          .append('\t')
          .append(plain(keepFor))
          .append('\t')
          .append(name)
          .append('\n');
    }

    @Override
    public void subscribe() {
      word("WATCH\t1\n");
    }
  }

  private final Map<Integer, Host> hosts = new TreeMap<>();
  private long lineNo;
  private String[] part = new String[0];
  private BufferedReader in;
  private double now;
  private Integer current;

  /** Reads batches until the input ends. */
  public void run(BufferedReader input, PrintStream out) throws IOException {
    in = input;
    for (String line = next(); line != null; line = next()) {
      if (line.isEmpty()) {
        continue;
      }
      split(line);
      if (!part[0].equals("TURN")) {
        throw bad("message", "TURN expected, found " + shown(part[0]));
      }
      now = number(1, "clock");
      batch();
      StringBuilder reply = new StringBuilder();
      for (Map.Entry<Integer, Host> host : hosts.entrySet()) {
        if (host.getValue().out.length() > 0) {
          reply.append("AS\t").append(host.getKey()).append('\n').append(host.getValue().out);
          host.getValue().out.setLength(0);
        }
      }
      out.write(reply.append("END\n").toString().getBytes(StandardCharsets.UTF_8));
      out.flush();
    }
  }

  private void batch() throws IOException {
    current = null;
    while (true) {
      String line = next();
      if (line == null) {
        throw bad("message", "the input ends inside a batch");
      }
      split(line);
      if (part[0].equals("GO")) {
        return;
      }
      if (part[0].equals("INSTANCE")) {
        current = (int) whole(1, "instance");
      } else if (current == null) {
        throw bad("message", "INSTANCE expected before " + shown(part[0]));
      } else {
        event(hosts.computeIfAbsent(current, k -> new Host()));
      }
    }
  }

  private void event(Host host) throws IOException {
    if (part[0].equals("UP")) {
      host.out.setLength(0);
      host.events = new PolicyEngine(settings(), whole(1, "entropy"), now, host);
      return;
    }
    if (part[0].equals("DESTROY")) {
      host.events = null;
      host.out.setLength(0);
      return;
    }
    if (host.events == null) {
      throw bad("instance", "instance " + current + " has not been started");
    }
    PolicyEvents to = host.events;
    switch (part[0]) {
      case "MEMBERSHIP" -> list(to);
      case "ARRIVAL" ->
          to.requestArrived(
              now,
              new IncomingRequest(
                  whole(1, "tid"),
                  field(2, "band"),
                  field(3, "tariff"),
                  field(4, "holder"),
                  number(5, "remaining"),
                  (int) whole(6, "units"),
                  (int) whole(7, "spread"),
                  (int) whole(8, "first_door"),
                  flag(9, "again_by_client")));
      case "ACK_FIRST" -> to.responseStarted(now, whole(1, "tid"), (int) whole(4, "round_no"));
      case "ENDED" ->
          to.attemptEnded(
              now,
              whole(1, "tid"),
              (int) whole(4, "round_no"),
              outcome(5),
              number(6, "cost_time"),
              flag(3, "settled"),
              (int) wholeOr(8, "actual"),
              load(9));
      case "CANCELLED_BY_CLIENT" -> to.clientDisconnected(now, whole(1, "tid"));
      case "REMINDER" -> to.timerFired(now, whole(1, "ctx"));
      case "PROBE_RESULT" ->
          to.healthCheckEnded(now, field(1, "server"), outcome(2), number(3, "cost_time"), load(4));
      case "COUNTER_REPLY" ->
          to.counterCallEnded(
              now,
              whole(2, "counter"),
              outcome(1),
              number(3, "cost_time"),
              numberOr(4, "result_value"));
      case "DATAGRAM" -> whole(1, "src");
      default -> throw bad("message", "unknown event " + shown(part[0]));
    }
  }

  private void list(PolicyEvents to) throws IOException {
    String kind = field(1, "kind");
    if (!List.of("diff", "snapshot", "disk", "error").contains(kind)) {
      throw bad("kind", "unknown list kind " + shown(kind));
    }
    wholeOr(2, "seq_no");
    long count = wholeOr(3, "items");
    List<EndpointInfo> list = new ArrayList<>();
    for (long i = 0; i < count; i++) {
      String line = next();
      if (line == null) {
        throw bad("items", "the input ends inside a list");
      }
      split(line);
      if (!part[0].equals("ITEM")) {
        throw bad("message", "ITEM expected, found " + shown(part[0]));
      }
      EndpointState state =
          switch (field(4, "condition")) {
            case "on" -> EndpointState.UP;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default -> throw bad("condition", "unknown condition " + shown(part[4]));
          };
      list.add(
          new EndpointInfo(
              field(3, "server"),
              (int) wholeOr(1, "pack"),
              field(2, "region_part"),
              state,
              field(5, "kind"),
              numberOr(6, "start_time"),
              numberOr(7, "units")));
    }
    if (kind.equals("error")) {
      to.discoveryFailed(now);
    } else {
      to.endpointsChanged(now, list, !kind.equals("diff"));
    }
  }

  /** The settings of an UP line; a key that is not known here is skipped. */
  private PolicySettings settings() {
    Map<String, String> keys = new HashMap<>();
    for (int i = 2; i < part.length; i++) {
      int eq = part[i].indexOf('=');
      if (eq < 1) {
        throw bad("env", "path=value expected, found " + shown(part[i]));
      }
      keys.put(part[i].substring(0, eq), part[i].substring(eq + 1));
    }
    try {
      return SettingsReader.read(keys);
    } catch (SettingsReader.Bad bad) {
      throw bad(bad.field(), bad.what());
    }
  }

  private double[] load(int i) {
    if (i >= part.length || part[i].equals("-") || part[i].isEmpty()) {
      return NO_LOAD;
    }
    String[] words = part[i].split(",");
    double[] values = new double[words.length];
    for (int j = 0; j < words.length; j++) {
      values[j] = words[j].equals("-") ? Double.NaN : parse(words[j], "health_info");
    }
    return values;
  }

  private CallOutcome outcome(int i) {
    CallOutcome outcome = OUTCOMES.get(field(i, "outcome"));
    if (outcome == null) {
      throw bad("outcome", "unknown outcome " + shown(part[i]));
    }
    return outcome;
  }

  private String next() throws IOException {
    lineNo++;
    return in.readLine();
  }

  private void split(String line) {
    List<String> words = new ArrayList<>(12);
    int from = 0;
    for (int tab = line.indexOf('\t'); tab >= 0; tab = line.indexOf('\t', from)) {
      words.add(line.substring(from, tab));
      from = tab + 1;
    }
    words.add(line.substring(from));
    part = words.toArray(new String[0]);
  }

  private String field(int i, String name) {
    if (i >= part.length || part[i].isEmpty()) {
      throw bad(name, "missing");
    }
    return part[i];
  }

  private boolean flag(int i, String name) {
    String value = field(i, name);
    if (!value.equals("1") && !value.equals("0") && !value.equals("-")) {
      throw bad(name, "1 or 0 expected, found " + shown(value));
    }
    return value.equals("1");
  }

  private long whole(int i, String name) {
    String value = field(i, name);
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw bad(name, "whole number expected, found " + shown(value));
    }
  }

  private long wholeOr(int i, String name) {
    return i >= part.length || part[i].equals("-") ? 0 : whole(i, name);
  }

  private double number(int i, String name) {
    return parse(field(i, name), name);
  }

  private double numberOr(int i, String name) {
    return i >= part.length || part[i].equals("-") ? 0 : number(i, name);
  }

  private double parse(String value, String name) {
    try {
      double parsed = Double.parseDouble(value);
      if (Double.isFinite(parsed)) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // told below, with the line
    }
    throw bad(name, "number expected, found " + shown(value));
  }

  private static String shown(String value) {
    return "'" + (value.length() > 40 ? value.substring(0, 40) + "..." : value) + "'";
  }

  private Malformed bad(String field, String what) {
    return new Malformed("line " + lineNo + ", field " + field + ": " + what);
  }
}
