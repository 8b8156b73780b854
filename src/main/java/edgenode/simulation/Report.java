package edgenode.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import edgenode.emulator.CustomerClients;
import edgenode.simulation.invariants.Event;
import edgenode.simulation.invariants.QuotaAudit;
import edgenode.simulation.invariants.Violation;
import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/**
 * A rehearsal's report: {@code report.json} for programs (its form is that of {@link #SCHEMA};
 * fields are only added within one), {@code report.html} for people, one file that needs no
 * network.
 */
final class Report {
  /** The version of report.json's form. */
  static final int SCHEMA = 1;

  private static final double BIN = 500;
  private static final long LONGEST = 60_000_000;
  private static final int WIDTH = 900;
  private static final int HEIGHT = 260;
  private static final int WORST = 6;
  private static final int STORY = 200;

  /** How wide (s) a fault is drawn that has no length. */
  private static final double STROKE = 0.1;

  private static final Color BAND = new Color(200, 60, 40, 45);

  private final ScenarioRun day;
  private final int bins;
  private final Map<String, Event.Asked> asked = new TreeMap<>();

  /** Answers a second, by class. */
  private final Map<String, double[]> served = new TreeMap<>();

  private final double[] offered;
  private final double[] refused;
  private final Histogram[] latency;
  private final Histogram whole = new Histogram(LONGEST, 3);

  /** Requests at each server, and what it can hold at work. */
  private final Map<String, double[]> inFlight = new TreeMap<>();

  private Report(ScenarioRun day) {
    this.day = day;
    bins = Math.max(2, (int) Math.ceil(day.lengthMs() / BIN));
    offered = new double[bins];
    refused = new double[bins];
    latency = new Histogram[bins];
    for (int i = 0; i < bins; i++) {
      latency[i] = new Histogram(LONGEST, 2);
    }
    gather();
  }

  /**
   * Writes both files there.
   *
   * @throws IOException where they cannot be written; none is left half written
   */
  static void write(ScenarioRun day, Path dir) throws IOException {
    Files.createDirectories(dir);
    Report report = new Report(day);
    put(dir.resolve("report.json"), report.json());
    put(dir.resolve("report.html"), report.html());
  }

  private static void put(Path file, String text) throws IOException {
    Path part = file.resolveSibling(file.getFileName() + ".part");
    Files.writeString(part, text);
    Files.move(part, file, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
  }

  private int bin(double at) {
    return Math.max(0, Math.min(bins - 1, (int) (at / BIN)));
  }

  private void gather() {
    Map<String, List<double[]>> open = new TreeMap<>();
    Map<String, Integer> held = new TreeMap<>();
    for (Event e : day.invariants().events()) {
      if (e instanceof Event.Asked asked) {
        this.asked.put(asked.id(), asked);
        offered[bin(asked.at())] += 1000 / BIN;
      } else if (e instanceof Event.Heard response && this.asked.containsKey(response.id())) {
        Event.Asked asked = this.asked.get(response.id());
        if (response.answer() == Event.Answer.VALUE) {
          served.computeIfAbsent(asked.type(), t -> new double[bins])[bin(response.at())] +=
              1000 / BIN;
          long us = Math.min(LONGEST, Math.max(1, Math.round((response.at() - asked.at()) * 1000)));
          latency[bin(response.at())].recordValue(us);
          whole.recordValue(us);
        } else if (response.answer() == Event.Answer.BUSY) {
          refused[bin(response.at())] += 1000 / BIN;
        }
      } else if (e instanceof Event.Came arrival && arrival.ran()) {
        step(open, held, arrival.server(), arrival.at(), 1);
      } else if (e instanceof Event.Replied reply && !reply.kind().equals("BUSY")) {
        step(open, held, reply.server(), reply.at(), -1);
      } else if (e instanceof Event.Died done) {
        step(open, held, done.server(), done.at(), -held.getOrDefault(done.server(), 0));
      }
    }
    open.forEach((server, steps) -> inFlight.put(server, mean(steps)));
  }

  private static void step(
      Map<String, List<double[]>> open,
      Map<String, Integer> held,
      String server,
      double at,
      int by) {
    int now = Math.max(0, held.merge(server, by, Integer::sum));
    held.put(server, now);
    open.computeIfAbsent(server, s -> new ArrayList<>()).add(new double[] {at, now});
  }

  /** Of a step function, its mean in each bin. */
  private double[] mean(List<double[]> steps) {
    double[] all = new double[bins];
    double at = 0;
    double value = 0;
    for (double[] step : steps) {
      add(all, at, step[0], value);
      at = step[0];
      value = step[1];
    }
    add(all, at, bins * BIN, value);
    return all;
  }

  private void add(double[] all, double from, double to, double value) {
    for (double at = from; at < to; ) {
      double end = Math.min(to, (bin(at) + 1) * BIN);
      if (end <= at) {
        return;
      }
      all[bin(at)] += value * (end - at) / BIN;
      at = end;
    }
  }

  private double percentile(int bin, double percentile) {
    return latency[bin].getTotalCount() == 0
        ? 0
        : latency[bin].getValueAtPercentile(percentile) / 1000.0;
  }

  private List<QuotaAudit.Figures> worstFirst() {
    return day.invariants().quotas().stream()
        .sorted(
            Comparator.comparingDouble((QuotaAudit.Figures f) -> f.overQuota())
                .thenComparingDouble(QuotaAudit.Figures::rejectedWithinQuota)
                .reversed())
        .toList();
  }

  // ---- for programs ----

  private String json() throws IOException {
    java.io.StringWriter text = new java.io.StringWriter();
    try (JsonGenerator json = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
      json.writeStartObject();
      json.writeNumberField("schema", SCHEMA);
      json.writeStringField("scenario", day.scenario().name());
      json.writeStringField("title", day.scenario().title());
      json.writeNumberField("seed", day.seed());
      json.writeNumberField("nodes", day.scenario().nodes());
      json.writeNumberField("servers", day.scenario().servers());
      json.writeBooleanField("kept", day.hasNoViolation());
      json.writeStringField("sha256", day.sha256());
      json.writeNumberField("events", day.events());
      json.writeNumberField("length_ms", day.lengthMs());
      json.writeObjectFieldStart("tries");
      for (CustomerClients.Fate fate : CustomerClients.Fate.values()) {
        json.writeNumberField(
            fate.name().toLowerCase(Locale.ROOT), day.fates().getOrDefault(fate, 0));
      }
      json.writeEndObject();
      json.writeObjectFieldStart("latency_ms");
      for (double percentile : new double[] {50, 90, 99, 99.9}) {
        json.writeNumberField(
            "p" + String.valueOf(percentile).replaceAll("\\.0$", ""),
            whole.getTotalCount() == 0 ? 0 : whole.getValueAtPercentile(percentile) / 1000.0);
      }
      json.writeEndObject();
      json.writeArrayFieldStart("rules");
      for (String rule : day.invariants().rules()) {
        json.writeStartObject();
        json.writeStringField("rule", rule);
        json.writeNumberField(
            "broken",
            day.violations().stream().filter(violation -> violation.rule().equals(rule)).count());
        json.writeEndObject();
      }
      json.writeEndArray();
      quotas(json);
      series(json);
      json.writeArrayFieldStart("breaches");
      for (Violation violation : day.violations()) {
        breach(json, violation);
      }
      json.writeEndArray();
      json.writeEndObject();
    }
    return text.toString();
  }

  private void quotas(JsonGenerator json) throws IOException {
    json.writeArrayFieldStart("quotas");
    for (QuotaAudit.Figures f : worstFirst()) {
      json.writeStartObject();
      json.writeStringField("customer", f.customer());
      json.writeStringField("plan", f.plan());
      json.writeNumberField("units_inside", f.withinQuota());
      json.writeNumberField("units_beyond", f.overQuota());
      json.writeNumberField("units_refused_with_room", f.rejectedWithinQuota());
      json.writeNumberField("worst_minute_share", f.maxOverQuotaShare());
      array(
          json,
          "beyond_at_ms",
          QuotaAudit.overQuotaTimesMs(
              EmulatedWorld.plan(f.plan()), day.invariants().forwardedUnits(f.customer())));
      json.writeEndObject();
    }
    json.writeEndArray();
  }

  private void series(JsonGenerator json) throws IOException {
    json.writeObjectFieldStart("series");
    json.writeNumberField("bin_ms", BIN);
    array(json, "offered_per_s", offered);
    array(json, "refused_per_s", refused);
    for (Map.Entry<String, double[]> e : served.entrySet()) {
      array(json, "served_per_s_" + e.getKey(), e.getValue());
    }
    for (Map.Entry<String, double[]> e : inFlight.entrySet()) {
      array(json, "in_flight_" + e.getKey(), e.getValue());
    }
    json.writeEndObject();
  }

  private static void array(JsonGenerator json, String name, double[] values) throws IOException {
    json.writeFieldName(name);
    json.writeArray(values, 0, values.length);
  }

  private void breach(JsonGenerator json, Violation violation) throws IOException {
    json.writeStartObject();
    json.writeStringField("rule", violation.rule());
    json.writeNumberField("at_ms", violation.at());
    json.writeStringField("request", violation.id());
    json.writeStringField("what", violation.what());
    json.writeArrayFieldStart("story");
    for (Event e : day.invariants().trace(violation).stream().limit(STORY).toList()) {
      json.writeString(String.format(Locale.ROOT, "%.3f %s", e.at(), e));
    }
    json.writeEndArray();
    json.writeEndObject();
  }

  // ---- for people ----

  private double[] times() {
    double[] all = new double[bins];
    for (int i = 0; i < bins; i++) {
      all[i] = (i + 0.5) * BIN / 1000;
    }
    return all;
  }

  private XYChart chart(String title, String unit) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle("s")
            .yAxisTitle(unit)
            .build();
    chart
        .getStyler()
        .setLegendPosition(Styler.LegendPosition.OutsideE)
        .setChartBackgroundColor(Color.WHITE)
        .setChartTitleBoxVisible(false);
    chart.getStyler().setXAxisMin(0.0).setXAxisMax(day.lengthMs() / 1000).setYAxisMin(0.0);
    return chart;
  }

  private void add(XYChart chart, String name, double[] values) {
    XYSeries series = chart.addSeries(name, times(), values);
    series.setMarker(SeriesMarkers.NONE);
    series.setLineWidth(1.5f);
  }

  /** The faults, as bands behind the lines; one without a length is a stroke. */
  private void bands(XYChart chart) {
    double top =
        chart.getSeriesMap().values().stream().mapToDouble(XYSeries::getYMax).max().orElse(1);
    int count = 0;
    for (Scenario.Fault f : day.scenario().faults()) {
      double from = f.atMs() / 1000;
      double to = from + Math.max(STROKE, f.durationMs() / 1000);
      XYSeries band =
          chart.addSeries(
              ++count + " " + f.kind().word(),
              new double[] {from, from, to, to},
              new double[] {0, Math.max(1, top), Math.max(1, top), 0});
      band.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area);
      band.setMarker(SeriesMarkers.NONE);
      band.setLineColor(BAND);
      band.setFillColor(BAND);
    }
  }

  private String image(XYChart chart) {
    bands(chart);
    try {
      return "<img alt=\""
          + escape(chart.getTitle())
          + "\" src=\"data:image/png;base64,"
          + Base64.getEncoder()
              .encodeToString(BitmapEncoder.getBitmapBytes(chart, BitmapEncoder.BitmapFormat.PNG))
          + "\">\n";
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private String charts() {
    XYChart rates = chart("Requests a second", "1/s");
    add(rates, "asked", offered);
    served.forEach((type, values) -> add(rates, "served " + type, values));
    add(rates, "refused", refused);
    XYChart times = chart("From asked to answered, what was served", "ms");
    for (double percentile : new double[] {50, 90, 99}) {
      double[] values = new double[bins];
      for (int i = 0; i < bins; i++) {
        values[i] = percentile(i, percentile);
      }
      add(times, "p" + Math.round(percentile), values);
    }
    XYChart open =
        chart(
            "At work or waiting at each server ("
                + day.scenario().size().slots()
                + " at work, "
                + day.scenario().size().room()
                + " waiting at most)",
            "requests");
    inFlight.entrySet().stream().limit(WORST).forEach(e -> add(open, e.getKey(), e.getValue()));
    return image(rates) + image(times) + (inFlight.isEmpty() ? "" : image(open)) + image(stores());
  }

  /** The exact store of those customers that were worst off, over time. */
  private XYChart stores() {
    XYChart chart = chart("Units in the quota's store, the customers that were worst off", "units");
    worstFirst().stream()
        .limit(WORST)
        .forEach(
            f -> {
              double[] values = new double[bins];
              double[][] sends = day.invariants().forwardedUnits(f.customer());
              for (int i = 0; i < bins; i++) {
                values[i] = QuotaAudit.unitsAt(EmulatedWorld.plan(f.plan()), sends, (i + 1) * BIN);
              }
              add(chart, f.customer().substring(8) + " " + f.plan(), values);
            });
    return chart;
  }

  private static String escape(String text) {
    return String.valueOf(text)
        .replace("&", "&amp;")
        .replace("<", "&lt;")
        .replace(">", "&gt;")
        .replace("\"", "&quot;");
  }

  private String html() {
    StringBuilder html = new StringBuilder(1 << 18);
    html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
        .append(escape(day.scenario().name()))
        .append(", seed ")
        .append(day.seed())
        .append(
            "</title>\n<style>body{font:15px/1.4 "
                + "sans-serif;margin:2em auto;max-width:940px}table{border-collapse:collapse}td,th{padding:2px 12px 2px 0;"
                + "text-align:left}.bad{color:#b00}.good{color:#070}pre{background:#f4f4f4;padding:8px;overflow:auto}"
                + "</style></head><body>\n<h1>")
        .append(escape(day.scenario().title()))
        .append("</h1>\n<p>Seed ")
        .append(day.seed())
        .append(", ")
        .append(day.scenario().nodes())
        .append(" edge nodes, ")
        .append(day.scenario().servers())
        .append(" servers. SHA-256 of all that passed: <code>")
        .append(day.sha256())
        .append("</code></p>\n<p class=\"")
        .append(
            day.hasNoViolation()
                ? "good\">All rules kept."
                : "bad\">Rules broken: " + escape(String.join(", ", day.violatedRules())) + ".")
        .append("</p>\n<table><tr>" + "<th>rule</th><th>broken</th></tr>\n");
    for (String rule : day.invariants().rules()) {
      html.append("<tr><td>")
          .append(rule)
          .append("</td><td>")
          .append(
              day.violations().stream().filter(violation -> violation.rule().equals(rule)).count())
          .append("</td></tr>\n");
    }
    html.append("</table>\n<p>Red bands are faults, numbered in their order.</p>\n")
        .append(charts());
    html.append("<h2>What went wrong on purpose</h2>\n<table>");
    for (Event e : day.invariants().events()) {
      if (e instanceof Event.Done done) {
        html.append(
            String.format(
                Locale.ROOT,
                "<tr><td>%.1f s</td><td>%s</td></tr>%n",
                done.at() / 1000,
                escape(done.what())));
      }
    }
    html.append(
        "</table>\n<h2>Quotas</h2>\n<table><tr><th>customer</th><th>plan</th><th>inside</th><th>beyond</th>"
            + "<th>refused with room</th><th>worst minute beyond</th></tr>\n");
    for (QuotaAudit.Figures f : worstFirst()) {
      html.append(
          String.format(
              Locale.ROOT,
              "<tr><td>%s</td><td>%s</td><td>%.0f</td><td>%.0f</td><td>%.0f</td>"
                  + "<td>%.1f%%</td></tr>%n",
              f.customer(),
              escape(f.plan()),
              f.withinQuota(),
              f.overQuota(),
              f.rejectedWithinQuota(),
              100 * f.maxOverQuotaShare()));
    }
    html.append("</table>\n");
    for (Violation violation : day.violations()) {
      html.append(
          String.format(
              Locale.ROOT,
              "<h3 class=\"bad\">%.3f s, %s</h3>%n<p>%s</p>%n<pre>",
              violation.at() / 1000,
              violation.rule(),
              escape(violation.what())));
      day.invariants().trace(violation).stream()
          .limit(STORY)
          .forEach(
              e ->
                  html.append(
                      String.format(
                          Locale.ROOT, "%9.3f  %s%n", e.at() / 1000, escape(e.toString()))));
      html.append("</pre>\n");
    }
    if (!day.log().isEmpty()) {
      html.append("<h2>What the edge nodes logged</h2>\n<pre>");
      day.log().forEach(line -> html.append(escape(line)).append('\n'));
      html.append("</pre>\n");
    }
    return html.append("</body></html>\n").toString();
  }
}
