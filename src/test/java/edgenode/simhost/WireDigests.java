package edgenode.simhost;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Digests of the simulator's wire for seeds 1 to N. */
public final class WireDigests {
  private static final int TURNS = 6000;

  private WireDigests() {}

  /** One line a seed: {@code wire SEED LINES SHA-256}. */
  public static List<String> lines(int seeds) throws IOException {
    List<String> lines = new ArrayList<>();
    for (long seed = 1; seed <= seeds; seed++) {
      lines.add("wire " + seed + " " + WireDigest.play(seed, TURNS));
    }
    return lines;
  }
}
