package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A watch that breaks off or stalls: what it had to tell may be a drain, and that has 250 ms. */
class DiscoveryWatchTest extends EdgeNodeFixture {
  /** Half a line, and no end of the connection either: 5 s passed before it was taken for dead. */
  @Test
  void stalledPartialLineRenewsTheWatch() throws Exception {
    start();
    String line = endpointListJson(42, false, endpointJson("s0", appServer.address(), "leaving"));
    watchConnection.write(
        Integer.toHexString(line.length() + 1) + "\r\n" + line.substring(0, line.length() / 2));
    acceptWatch(discovery, 41);
    assertTrue(watchConnection.isClosedByPeer());
  }

  /**
   * After a watch that worked the next comes at once, not after the wait for one that cannot be
   * had.
   */
  @Test
  void brokenWatchIsRenewedAtOnce() throws Exception {
    start();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) { // the least of three: a busy machine only adds
      long ended = System.nanoTime();
      watchConnection.close();
      answerWatch(41 + i);
      least = Math.min(least, (System.nanoTime() - ended) / 1_000_000);
      expectPolicyEvent("discovery failed");
      pushToWatch(
          endpointListJson(
              42 + i,
              false,
              endpointJson("s" + i, appServer.address(), i == 0 ? "leaving" : "active")));
      // it works: the next is the first
      expectPolicyEvent(i == 0 ? "changes s0 DRAINING" : "changes s" + i + " UP");
    }
    assertTrue(least < 190, "took " + least + " ms; 200 and more before");
  }

  /**
   * Indented, an object comes in many lines: each was taken for a list by itself, and the watch
   * broke off.
   */
  @Test
  void indentedListOnTheWatchIsAccepted() throws Exception {
    start();
    String indented =
        endpointListJson(42, false, endpointJson("s0", appServer.address(), "leaving"))
            .replace(",", ",\n  ")
            .replace("{", "{\n")
            .replace("\"m\"", "\"m} \\\" {\"");
    pushToWatch(indented);
    expectPolicyEvent("changes s0 DRAINING");
    pushToWatch(endpointListJson(43, false, endpointJson("s1", appServer.address(), "active")));
    expectPolicyEvent("changes s1 UP");
  }
}
