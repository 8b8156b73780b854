package edgenode.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** The estimate against a model that keeps all samples and takes the greatest, decayed by age. */
class QueueingDelayEstimatorProperties {
  private record Sample(double atMs, double delayMs) {
    double decayedMs(double nowMs) {
      return Math.max(0, delayMs)
          * Math.pow(0.5, (nowMs - atMs) / QueueingDelayEstimator.HALF_LIFE_MS);
    }
  }

  @Property(tries = 500, seed = "1")
  void theEstimateIsTheGreatestSampleDecayedByItsAge(@ForAll long seed) {
    Random random = new Random(seed);
    QueueingDelayEstimator delay = new QueueingDelayEstimator();
    List<Sample> samples = new ArrayList<>();
    double now = 1_700_000_000_000.0;
    assertEquals(0, delay.estimateMs(now));
    for (int i = 0; i < 100; i++) {
      now += random.nextInt(4) == 0 ? random.nextInt(2000) : random.nextInt(20);
      if (random.nextBoolean()) {
        double late =
            random.nextInt(5) == 0 ? random.nextDouble() * 200 : random.nextDouble() * 2 - 0.1;
        delay.sample(now, late);
        samples.add(new Sample(now, late));
      }
      double at = now;
      assertEquals(
          samples.stream().mapToDouble(s -> s.decayedMs(at)).max().orElse(0),
          delay.estimateMs(now),
          1e-6);
    }
  }
}
