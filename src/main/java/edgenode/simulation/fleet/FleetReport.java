package edgenode.simulation.fleet;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Locale;

/**
 * The results of runs: a table for people, {@code scale.json} for programs. Within one {@link
 * #SCHEMA} fields are only added to the file.
 */
final class FleetReport {
  static final int SCHEMA = 1;

  private FleetReport() {}

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
    for (FleetFigures.Figure line : FleetFigures.of(run)) {
      out.append(
          String.format(
              Locale.ROOT,
              "  %-58s %14s %-13s %s%s%n",
              line.name(),
              format(line.value()),
              line.unit(),
              line.kind() == FleetFigures.Kind.MEASURED
                  ? ""
                  : line.kind().name().toLowerCase(Locale.ROOT),
              Double.isNaN(line.budget())
                  ? ""
                  : String.format(
                      Locale.ROOT, "  need/budget %.3g", line.value() / line.budget())));
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
      for (String line : FleetAssumptions.describe()) {
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
    for (FleetFigures.Figure line : FleetFigures.of(run)) {
      out.writeStartObject();
      out.writeStringField("name", line.name());
      out.writeNumberField("value", line.value());
      out.writeStringField("unit", line.unit());
      out.writeStringField("kind", line.kind().name().toLowerCase(Locale.ROOT));
      if (!Double.isNaN(line.budget())) {
        out.writeNumberField("budget", line.budget());
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
