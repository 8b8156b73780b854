package edgenode.store;

import java.util.ArrayList;
import java.util.List;

/** Chooses the segments whose compaction frees the most space for the bytes it copies. */
final class CompactionPolicy {
  /**
   * Bytes freed for each byte copied, at least. With it the closed segments take at most twice what
   * they hold.
   */
  private static final double MIN_FREED_PER_COPIED_BYTE = 1;

  private CompactionPolicy() {}

  /**
   * The neighbouring closed segments to compact, or none where no choice frees enough. O(n²).
   *
   * @param segments all of them, the oldest first; the last one is not considered
   * @param maxOutputBytes the most that a compaction may copy
   */
  static List<Segment> selectInputs(List<Segment> segments, long maxOutputBytes) {
    List<Segment> best = List.of();
    double bestGain = MIN_FREED_PER_COPIED_BYTE;
    for (int from = 0; from < segments.size() - 1; from++) {
      long totalBytes = 0;
      long copiedBytes = 0;
      for (int to = from; to < segments.size() - 1; to++) {
        totalBytes += segments.get(to).sizeBytes;
        copiedBytes += segments.get(to).bytesAfterCompaction(from == 0);
        double gain = (totalBytes - copiedBytes) / (double) Math.max(1, copiedBytes);
        if (copiedBytes <= maxOutputBytes && gain > bestGain) {
          bestGain = gain;
          best = new ArrayList<>(segments.subList(from, to + 1));
        }
      }
    }
    return best;
  }
}
