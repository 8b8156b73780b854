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
  private static final double BYTES = 10_000;

  private static final double MEMORY = 256e6;
  private static final double CORE = 0.014;
  private static final double IN_FORCE = 4000;

  /**
   * The longest list that the node's own sources take (bytes): {@code AgentSource}, {@code *
   * HttpSource}.
   */
  private static final double LONGEST = 8 << 20;

  /**
   * {@code AgentSource} asks for a list this long at most so often (bytes, times a second), on its
   * own machine.
   */
  private static final int LOOKED = 48 << 10;

  private static final double LOOKS = 8;

  /** How a figure came about. */
  enum Kind {
    MEASURED,
    TIMED,
    COMPUTED
  }

  /** One line of the table; {@code budget} is NaN where the issue names none. */
  record Line(String name, double value, String unit, Kind kind, double budget) {}

  private FleetReport() {}

  static List<Line> lines(FleetVerdicts.Run run) {
    Tally t = run.tally();
    Shape s = run.shape();
    List<Line> all = new ArrayList<>();
    double seconds = Math.max(1, t.nodeSeconds);
    double told = t.counterBytes + t.wholeBytes + t.changeBytes + t.beatBytes;
    add(all, "requests decided a node and second", t.arrived / seconds, "1/s");
    add(all, "served", (double) t.served / t.arrived, "of requests");
    add(all, "refused", (double) t.refused / t.arrived, "of requests");
    add(all, "failed", (double) t.failed / t.arrived, "of requests");
    add(all, "units beyond quotas", (double) t.beyond / Math.max(1, t.units), "of those sent");
    add(all, "sends a request", (double) t.sends / t.arrived, "");
    add(all, "new connections a node and second", t.connects / seconds, "1/s");
    add(all, "servers that a node has sent to", t.usedServers, "");
    add(all, "entries on a node's list", t.listEntries, "");
    add(all, "connect tries of dead and held servers a node and second", t.tries / seconds, "1/s");
    add(all, "counter calls a node and second", t.counterCalls / seconds, "1/s");
    add(
        all,
        "counter calls turned away or late",
        (double) (t.counterTurnedAway + t.counterLate) / Math.max(1, t.counterCalls),
        "of calls");
    add(all, "counter bytes a node and second, both ways", t.counterBytes / seconds, "B/s");
    add(all, "changes made at discovery", t.changesMade, "");
    add(all, "changes told a node", (double) t.changes / s.detail(), "");
    add(all, "bytes a change told", (double) t.changeBytes / Math.max(1, t.changesDue), "B");
    add(all, "whole lists a node", (double) t.wholeLists / s.detail(), "");
    all.add(new Line("bytes of a whole list", t.listBytes, "B", Kind.MEASURED, LONGEST));
    all.add(
        new Line(
            "control bytes a node and second, churn pressed together",
            told / seconds,
            "B/s",
            Kind.MEASURED,
            BYTES));
    if (s.hours() > 0) { // so that the churn of hours is not held against a budget of each second
      all.add(
          new Line(
              "the same at the day's own pace",
              (t.counterBytes + t.beatBytes) / seconds
                  + (t.wholeBytes + t.changeBytes) / (s.hours() * 3600 * s.detail()),
              "B/s",
              Kind.COMPUTED,
              BYTES));
    }
    if (t.listBytes <= LOOKED) {
      all.add(
          new Line(
              "looks at the agent on the node's own machine",
              LOOKS * t.listBytes,
              "B/s",
              Kind.COMPUTED,
              Double.NaN));
    }
    all.add(
        new Line(
            "change in force, 99 in 100",
            t.applied.getValueAtPercentile(99) / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            IN_FORCE));
    all.add(
        new Line(
            "change in force, last",
            t.applied.getMaxValue() / 1000.0,
            "ms virtual",
            Kind.MEASURED,
            IN_FORCE));
    all.add(
        new Line(
            "decision CPU a request", t.cpuNs / 1e3 / t.arrived, "us", Kind.TIMED, Double.NaN));
    all.add(
        new Line(
            "decision CPU a node", t.cpuNs / 1e9 / seconds, "of a core", Kind.TIMED, Double.NaN));
    all.add(
        new Line(
            "membership CPU a node", t.memberNs / 1e9 / seconds, "of a core", Kind.TIMED, CORE));
    if (t.stateBytes >= 0) {
      all.add(new Line("state of the cores a node", t.stateBytes, "B", Kind.TIMED, MEMORY));
    }
    return all;
  }

  private static void add(List<Line> all, String name, double value, String unit) {
    all.add(new Line(name, value, unit, Kind.MEASURED, Double.NaN));
  }

  static String title(FleetVerdicts.Run run) {
    Shape s = run.shape();
    return String.format(
        Locale.ROOT,
        "%d edge nodes, %d app servers, %d services, %d tenants, %.0f requests/s; %s,"
            + " %d s, seed %d%n  %s",
        s.nodes(),
        s.servers(),
        s.services(),
        s.tenants(),
        s.rate(),
        s.flat() ? "one list for all" : "a list for each service",
        s.seconds(),
        s.seed(),
        s.sampled()
            ? "SAMPLE: "
                + s.detail()
                + " nodes and "
                + s.modelled()
                + " servers are run, the others' load is modelled"
            : "all nodes and " + s.modelled() + " servers are run");
  }

  static String text(FleetVerdicts.Run run) {
    StringBuilder out = new StringBuilder(title(run)).append('\n');
    for (Line l : lines(run)) {
      out.append(
          String.format(
              Locale.ROOT,
              "  %-58s %14s %-13s %s%s%n",
              l.name,
              figure(l.value),
              l.unit,
              l.kind == Kind.MEASURED ? "" : l.kind.name().toLowerCase(Locale.ROOT),
              Double.isNaN(l.budget)
                  ? ""
                  : String.format(Locale.ROOT, "  need/budget %.3g", l.value / l.budget)));
    }
    out.append(
        String.format(
            Locale.ROOT,
            "  run         %d events in %.1f s, digest %s%n",
            run.tally().events,
            run.tookMs() / 1000,
            run.tally().digest()));
    return out.toString();
  }

  private static String figure(double value) {
    return value >= 1000
        ? String.format(Locale.ROOT, "%.0f", value)
        : String.format(Locale.ROOT, "%.4g", value);
  }

  /**
   * Writes {@code scale.json} there.
   *
   * @throws IOException where it cannot be written; none is left half written
   */
  static void write(Path dir, List<FleetVerdicts.Run> runs, List<FleetVerdicts.Verdict> slopes)
      throws IOException {
    Files.createDirectories(dir);
    Path file = dir.resolve("scale.json");
    Path part = dir.resolve("scale.json.part");
    Files.writeString(part, json(runs, slopes));
    Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  static String json(List<FleetVerdicts.Run> runs, List<FleetVerdicts.Verdict> slopes)
      throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
      out.writeStartObject();
      out.writeNumberField("schema", SCHEMA);
      out.writeArrayFieldStart("assumed");
      for (String line : Assumed.lines()) {
        out.writeString(line);
      }
      out.writeEndArray();
      out.writeArrayFieldStart("runs");
      for (FleetVerdicts.Run run : runs) {
        run(out, run);
      }
      out.writeEndArray();
      verdicts(out, "slopes", slopes);
      out.writeEndObject();
    }
    return text.toString();
  }

  private static void run(JsonGenerator out, FleetVerdicts.Run run) throws IOException {
    Shape s = run.shape();
    out.writeStartObject();
    out.writeNumberField("nodes", s.nodes());
    out.writeNumberField("servers", s.servers());
    out.writeNumberField("services", s.services());
    out.writeNumberField("tenants", s.tenants());
    out.writeNumberField("rate", s.rate());
    out.writeNumberField("seconds", s.seconds());
    out.writeNumberField("hours", s.hours());
    out.writeNumberField("seed", s.seed());
    out.writeBooleanField("flat", s.flat());
    out.writeBooleanField("sampled", s.sampled());
    out.writeNumberField("nodes_run", s.detail());
    out.writeNumberField("servers_run", s.modelled());
    out.writeStringField("digest", run.tally().digest());
    out.writeNumberField("events", run.tally().events);
    out.writeNumberField("took_ms", run.tookMs());
    out.writeArrayFieldStart("figures");
    for (Line l : lines(run)) {
      out.writeStartObject();
      out.writeStringField("name", l.name);
      out.writeNumberField("value", l.value);
      out.writeStringField("unit", l.unit);
      out.writeStringField("kind", l.kind.name().toLowerCase(Locale.ROOT));
      if (!Double.isNaN(l.budget)) {
        out.writeNumberField("budget", l.budget);
      }
      out.writeEndObject();
    }
    out.writeEndArray();
    verdicts(out, "verdicts", FleetVerdicts.of(run));
    out.writeEndObject();
  }

  private static void verdicts(JsonGenerator out, String name, List<FleetVerdicts.Verdict> all)
      throws IOException {
    out.writeArrayFieldStart(name);
    for (FleetVerdicts.Verdict v : all) {
      out.writeStartObject();
      out.writeStringField("name", v.name());
      out.writeStringField("verdict", v.word().name().toLowerCase(Locale.ROOT));
      out.writeStringField("figures", v.figures());
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
