package edgenode.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;

/** One run of the command: its sizes and its budget, what it has measured, and what it has not. */
final class Run {
  /**
   * The sizes at which all is measured.
   *
   * @param plans entries of a configuration
   * @param fleets edge nodes that are played in virtual time
   */
  record Sizes(int[] servers, int[] customers, int[] fleets, int[] plans) {}

  /** Measures at one size. */
  interface At {
    Slope.Point at(int size) throws Exception;
  }

  private final Sizes sizes;
  private final Meter meter;
  private final long until;
  private final Consumer<String> progress;
  private final List<Slope> slopes = new ArrayList<>();
  private String study = "";

  /**
   * @param progress hears a line for each point
   */
  Run(Sizes sizes, Meter meter, double budgetSeconds, Consumer<String> progress) {
    this.sizes = sizes;
    this.meter = meter;
    until = System.nanoTime() + (long) (budgetSeconds * 1e9);
    this.progress = progress;
  }

  Sizes sizes() {
    return sizes;
  }

  Meter meter() {
    return meter;
  }

  List<Slope> slopes() {
    return slopes;
  }

  void begin(String name) {
    study = name;
  }

  /** Measures a quantity at these sizes, as long as the budget lasts. */
  void slope(String quantity, String unit, String against, int[] at, At measure)
      throws InterruptedException {
    List<Slope.Point> points = new ArrayList<>();
    List<String> missing = new ArrayList<>();
    for (int size : at) {
      if (System.nanoTime() > until) {
        missing.add(size + ": not run, --budget was over");
        continue;
      }
      try {
        Slope.Point p = measure.at(size);
        points.add(p);
        progress.accept(
            String.format(
                Locale.ROOT,
                "%s, %s: %d %s: %.4g %s (%.4g to %.4g)",
                study,
                quantity,
                size,
                against,
                p.median(),
                unit,
                p.least(),
                p.most()));
      } catch (InterruptedException e) {
        throw e;
      } catch (Exception | OutOfMemoryError e) {
        missing.add(size + ": " + e.getMessage());
        progress.accept(
            study + ", " + quantity + ": " + size + " " + against + ": " + e.getMessage());
      }
    }
    slopes.add(
        new Slope(study, quantity, unit, against, List.copyOf(points), List.copyOf(missing)));
  }
}
