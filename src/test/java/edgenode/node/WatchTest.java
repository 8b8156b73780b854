package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A watch that breaks off or stalls: what it had to tell may be a drain, and that has 250 ms. */
class WatchTest extends NodeFixture {
  /** Half a line, and no end of the connection either: 5 s passed before it was taken for dead. */
  @Test
  void halfALineThatStallsIsAskedForAnew() throws Exception {
    start();
    String line = list(42, false, entry("s0", app.address(), "leaving"));
    watch.write(
        Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
    nextWatch(discovery, 41);
    assertTrue(watch.ended());
  }

  /**
   * After a watch that worked the next comes at once, not after the wait for one that cannot be
   * had.
   */
  @Test
  void aWatchThatBreaksOffIsBackAtOnce() throws Exception {
    start();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) { // the least of three: a busy machine only adds
      long ended = System.nanoTime();
      watch.close();
      answerWatch(41 + i);
      least = Math.min(least, (System.nanoTime() - ended) / 1_000_000);
      expect("discovery failed");
      push(list(42 + i, false, entry("s" + i, app.address(), i == 0 ? "leaving" : "active")));
      // it works: the next is the first
      expect(i == 0 ? "changes s0 DRAINING" : "changes s" + i + " UP");
    }
    assertTrue(least < 190, "took " + least + " ms; 200 and more before");
  }

  /**
   * Indented, an object comes in many lines: each was taken for a list by itself, and the watch
   * broke off.
   */
  @Test
  void anIndentedListOnTheWatchIsTaken() throws Exception {
    start();
    String indented =
        list(42, false, entry("s0", app.address(), "leaving"))
            .replace(",", ",\n  ")
            .replace("{", "{\n")
            .replace("\"m\"", "\"m} \\\" {\"");
    push(indented);
    expect("changes s0 DRAINING");
    push(list(43, false, entry("s1", app.address(), "active")));
    expect("changes s1 UP");
  }
}
