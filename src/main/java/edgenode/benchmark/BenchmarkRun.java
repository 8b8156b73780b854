package edgenode.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** One run of the command: its sizes and its budget, what it has measured, and what it has not. */
final class BenchmarkRun {
  /**
   * The sizes at which all is measured.
   *
   * @param plans entries of a configuration
   * @param fleets edge nodes that are played in virtual time
   */
  record Sizes(int[] servers, int[] customers, int[] fleets, int[] plans) {}

  /** Measures at one size. */
  interface PointMeasurement {
    CostCurve.Measurement at(int size) throws Exception;
  }

  private final Sizes sizes;
  private final CpuMeter meter;
  private final long deadlineNs;
  private final Consumer<String> progress;
  private final List<CostCurve> curves = new ArrayList<>();
  private String study = "";

  /**
   * @param progress hears a line for each point
   */
  BenchmarkRun(Sizes sizes, CpuMeter meter, double budgetSeconds, Consumer<String> progress) {
    this.sizes = sizes;
    this.meter = meter;
    deadlineNs = System.nanoTime() + (long) (budgetSeconds * 1e9);
    this.progress = progress;
  }

  Sizes sizes() {
    return sizes;
  }

  CpuMeter meter() {
    return meter;
  }

  List<CostCurve> curves() {
    return curves;
  }

  void beginStudy(String name) {
    study = name;
  }

  /** Measures a quantity at these sizes, as long as the budget lasts. */
  void measure(
      String quantity, String unit, String against, int[] sizes, PointMeasurement measurement)
      throws InterruptedException {
    List<CostCurve.Measurement> points = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (int size : sizes) {
      if (System.nanoTime() > deadlineNs) {
        missing.add(size + ": not run, --budget was over");
        continue;
      }
      try {
        CostCurve.Measurement point = measurement.at(size);
        points.add(point);
        progress.accept(
            String.format(
                Locale.ROOT,
                "%s, %s: %d %s: %.4g %s (%.4g to %.4g)",
                study,
                quantity,
                size,
                against,
                point.median(),
                unit,
                point.min(),
                point.max()));
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception | OutOfMemoryError e) {
        missing.add(size + ": " + e.getMessage());
        progress.accept(
            study + ", " + quantity + ": " + size + " " + against + ": " + e.getMessage());
      }
    }
    curves.add(
        new CostCurve(study, quantity, unit, against, List.copyOf(points), List.copyOf(missing)));
  }
}
