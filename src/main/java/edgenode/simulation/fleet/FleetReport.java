package edgenode.simulation.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What runs came to: a table for people, {@code scale.json} for programs. Fields are only added to
 * it within one {@link #SCHEMA}.
 */
final class FleetReport {
  static final int SCHEMA = 1;

  /**
   * What the issue on size allows a node for control: bytes a second, bytes of memory, share of a
   * core; ms.
   */
  private static final double CONTROL_BYTES_PER_SECOND_BUDGET = 10_000;

  private static final double MEMORY_BYTES_BUDGET = 256e6;
  private static final double CORE_SHARE_BUDGET = 0.014;
  private static final double CHANGE_LATENCY_MS_BUDGET = 4000;

  /**
   * The longest list that the node's own sources take (bytes): {@code AgentSource}, {@code *
   * HttpSource}.
   */
  private static final double MAX_LIST_BYTES = 8 << 20;

  /**
   * {@code AgentSource} asks for a list this long at most so often (bytes, times a second), on its
   * own machine.
   */
  private static final int MAX_POLLED_LIST_BYTES = 48 << 10;

  private static final double POLLS_PER_SECOND = 8;

  /** How a figure came about. */
  enum Kind {
    MEASURED,
    TIMED,
    COMPUTED
  }

  /** One line of the table; {@code budget} is NaN where the issue names none. */
  record ReportLine(String name, double value, String unit, Kind kind, double budget) {}

  private FleetReport() {}

  static List<ReportLine> lines(FleetVerdicts.Run run) {
    FleetCounters counters = run.counters();
    FleetShape shape = run.shape();
    List<ReportLine> lines = new ArrayList<>();
    double seconds = Math.max(1, counters.nodeSeconds);
    double controlBytes =
        counters.counterBytes
            + counters.completeListBytes
            + counters.changeBytes
            + counters.heartbeatBytes;
    add(lines, "requests decided a node and second", counters.arrived / seconds, "1/s");
    add(lines, "served", (double) counters.served / counters.arrived, "of requests");
    add(lines, "refused", (double) counters.rejected / counters.arrived, "of requests");
    add(lines, "failed", (double) counters.failed / counters.arrived, "of requests");
    add(
        lines,
        "units beyond quotas",
        (double) counters.unitsOverQuota / Math.max(1, counters.units),
        "of those sent");
    add(lines, "sends a request", (double) counters.sends / counters.arrived, "");
    add(lines, "new connections a node and second", counters.connects / seconds, "1/s");
    add(lines, "servers that a node has sent to", counters.usedServers, "");
    add(lines, "entries on a node's list", counters.listEntries, "");
    add(
        lines,
        "connect tries of dead and held servers a node and second",
        counters.probes / seconds,
        "1/s");
    add(lines, "counter calls a node and second", counters.counterCalls / seconds, "1/s");
    add(
        lines,
        "counter calls turned away or late",
        (double) (counters.counterRejected + counters.counterLate)
            / Math.max(1, counters.counterCalls),
        "of calls");
    add(
        lines,
        "counter bytes a node and second, both ways",
        counters.counterBytes / seconds,
        "B/s");
    add(lines, "changes made at discovery", counters.changesMade, "");
    add(lines, "changes told a node", (double) counters.changesSent / shape.modelledNodes(), "");
    add(
        lines,
        "bytes a change told",
        (double) counters.changeBytes / Math.max(1, counters.changesDue),
        "B");
    add(lines, "whole lists a node", (double) counters.completeLists / shape.modelledNodes(), "");
    lines.add(
        new ReportLine(
            "bytes of a whole list", counters.listBytes, "B", Kind.MEASURED, MAX_LIST_BYTES));
    lines.add(
        new ReportLine(
            "control bytes a node and second, churn pressed together",
            controlBytes / seconds,
            "B/s",
            Kind.MEASURED,
            CONTROL_BYTES_PER_SECOND_BUDGET));
    if (shape.hours()
        > 0) { // so that the churn of hours is not held against a budget of each second
      lines.add(
          new ReportLine(
              "the same at the day's own pace",
              (counters.counterBytes + counters.heartbeatBytes) / seconds
                  + (counters.completeListBytes + counters.changeBytes)
                      / (shape.hours() * 3600 * shape.modelledNodes()),
              "B/s",
              Kind.COMPUTED,
              CONTROL_BYTES_PER_SECOND_BUDGET));
    }
    if (counters.listBytes <= MAX_POLLED_LIST_BYTES) {
      lines.add(
          new ReportLine(
              "looks at the agent on the node's own machine",
              POLLS_PER_SECOND * counters.listBytes,
              "B/s",
              Kind.COMPUTED,
              Double.NaN));
    }
    lines.add(
        new ReportLine(
            "change in force, 99 in 100",
            counters.changeLatencyUs.getValueAtPercentile(99) / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            CHANGE_LATENCY_MS_BUDGET));
    lines.add(
        new ReportLine(
            "change in force, last",
            counters.changeLatencyUs.getMaxValue() / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            CHANGE_LATENCY_MS_BUDGET));
    lines.add(
        new ReportLine(
            "decision CPU a request",
            counters.policyCpuNs / 1e3 / counters.arrived,
            "us",
            Kind.TIMED,
            Double.NaN));
    lines.add(
        new ReportLine(
            "decision CPU a node",
            counters.policyCpuNs / 1e9 / seconds,
            "of a core",
            Kind.TIMED,
            Double.NaN));
    lines.add(
        new ReportLine(
            "membership CPU a node",
            counters.membershipCpuNs / 1e9 / seconds,
            "of a core",
            Kind.TIMED,
            CORE_SHARE_BUDGET));
    if (counters.stateBytes >= 0) {
      lines.add(
          new ReportLine(
              "state of the cores a node",
              counters.stateBytes,
              "B",
              Kind.TIMED,
              MEMORY_BYTES_BUDGET));
    }
    return lines;
  }

  private static void add(List<ReportLine> lines, String name, double value, String unit) {
    lines.add(new ReportLine(name, value, unit, Kind.MEASURED, Double.NaN));
  }

  static String title(FleetVerdicts.Run run) {
    FleetShape shape = run.shape();
    return String.format(
        Locale.ROOT,
        "%d edge nodes, %d app servers, %d services, %d tenants, %.0f requests/s; %s,"
            + " %d s, seed %d%n  %s",
        shape.nodes(),
        shape.servers(),
        shape.services(),
        shape.tenants(),
        shape.requestsPerSecond(),
        shape.isFlat() ? "one list for all" : "a list for each service",
        shape.seconds(),
        shape.seed(),
        shape.isSampled()
            ? "SAMPLE: "
                + shape.modelledNodes()
                + " nodes and "
                + shape.modelledServers()
                + " servers are run, the others' load is modelled"
            : "all nodes and " + shape.modelledServers() + " servers are run");
  }

  static String text(FleetVerdicts.Run run) {
    StringBuilder out = new StringBuilder(title(run)).append('\n');
    for (ReportLine line : lines(run)) {
      out.append(
          String.format(
              Locale.ROOT,
              "  %-58s %14s %-13s %s%s%n",
              line.name,
              format(line.value),
              line.unit,
              line.kind == Kind.MEASURED ? "" : line.kind.name().toLowerCase(Locale.ROOT),
              Double.isNaN(line.budget)
                  ? ""
                  : String.format(Locale.ROOT, "  need/budget %.3g", line.value / line.budget)));
    }
    out.append(
        String.format(
            Locale.ROOT,
            "  run         %d events in %.1f s, digest %s%n",
            run.counters().events,
            run.tookMs() / 1000,
            run.counters().digest()));
    return out.toString();
  }

  private static String format(double value) {
    return value >= 1000
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.4g", value);
  }

  /**
   * Writes {@code scale.json} there.
   *
   * @throws IOException where it cannot be written; none is left half written
   */
  static void write(Path folder, List<FleetVerdicts.Run> runs, List<FleetVerdicts.Verdict> growth)
      throws IOException {
    Files.createDirectories(folder);
    Path file = folder.resolve("scale.json");
    Path partial = folder.resolve("scale.json.part");
    Files.writeString(partial, json(runs, growth));
    Files.move(partial, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  static String json(List<FleetVerdicts.Run> runs, List<FleetVerdicts.Verdict> growth)
      throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
      out.writeStartObject();
      out.writeNumberField("schema", SCHEMA);
      out.writeArrayFieldStart("assumed");
      for (String line : Assumptions.describe()) {
        out.writeString(line);
      }
      out.writeEndArray();
      out.writeArrayFieldStart("runs");
      for (FleetVerdicts.Run run : runs) {
        run(out, run);
      }
      out.writeEndArray();
      verdicts(out, "slopes", growth);
      out.writeEndObject();
    }
    return text.toString();
  }

  private static void run(JsonGenerator out, FleetVerdicts.Run run) throws IOException {
    FleetShape shape = run.shape();
    out.writeStartObject();
    out.writeNumberField("nodes", shape.nodes());
    out.writeNumberField("servers", shape.servers());
    out.writeNumberField("services", shape.services());
    out.writeNumberField("tenants", shape.tenants());
    out.writeNumberField("rate", shape.requestsPerSecond());
    out.writeNumberField("seconds", shape.seconds());
    out.writeNumberField("hours", shape.hours());
    out.writeNumberField("seed", shape.seed());
    out.writeBooleanField("flat", shape.isFlat());
    out.writeBooleanField("sampled", shape.isSampled());
    out.writeNumberField("nodes_run", shape.modelledNodes());
    out.writeNumberField("servers_run", shape.modelledServers());
    out.writeStringField("digest", run.counters().digest());
    out.writeNumberField("events", run.counters().events);
    out.writeNumberField("took_ms", run.tookMs());
    out.writeArrayFieldStart("figures");
    for (ReportLine line : lines(run)) {
      out.writeStartObject();
      out.writeStringField("name", line.name);
      out.writeNumberField("value", line.value);
      out.writeStringField("unit", line.unit);
      out.writeStringField("kind", line.kind.name().toLowerCase(Locale.ROOT));
      if (!Double.isNaN(line.budget)) {
        out.writeNumberField("budget", line.budget);
      }
      out.writeEndObject();
    }
    out.writeEndArray();
    verdicts(out, "verdicts", FleetVerdicts.evaluate(run));
    out.writeEndObject();
  }

  private static void verdicts(JsonGenerator out, String name, List<FleetVerdicts.Verdict> verdicts)
      throws IOException {
    out.writeArrayFieldStart(name);
    for (FleetVerdicts.Verdict verdict : verdicts) {
      out.writeStartObject();
      out.writeStringField("name", verdict.name());
      out.writeStringField("verdict", verdict.outcome().name().toLowerCase(Locale.ROOT));
      out.writeStringField("figures", verdict.figures());
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
