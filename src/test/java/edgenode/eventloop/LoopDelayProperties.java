package edgenode.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/**
 * The estimate beside a plain model that keeps every sample: the greatest of them, each decayed by
 * its age.
 */
class LoopDelayProperties {
  private record Sample(double at, double delay) {
    double by(double now) {
      return Math.max(0, delay) * Math.pow(0.5, (now - at) / LoopDelay.HALF_LIFE);
    }
  }

  @Property(tries = 500, seed = "1")
  void itIsTheGreatestOfAllSamplesEachDecayedByItsAge(@ForAll long seed) {
    Random random = new Random(seed);
    LoopDelay delay = new LoopDelay();
    List<Sample> samples = new ArrayList<>();
    double now = 1_700_000_000_000.0;
    assertEquals(0, delay.estimate(now));
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
          samples.stream().mapToDouble(s -> s.by(at)).max().orElse(0), delay.estimate(now), 1e-6);
    }
  }
}
