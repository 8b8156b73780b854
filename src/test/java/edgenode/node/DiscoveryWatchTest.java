package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A watch that breaks or stalls: it may have a draining endpoint to report, which has 250 ms. */
class DiscoveryWatchTest extends EdgeNodeFixture {
  /**
   * Guards against 5 s in which a watch with a partial line and an open connection was not renewed.
   */
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
   * After a working watch the next one is requested at once, without the backoff after failures.
   */
  @Test
  void brokenWatchIsRenewedAtOnce() throws Exception {
    start();
    long least = Long.MAX_VALUE;
    for (int i = 0; i < 3; i++) { // the minimum of three: a busy machine only adds
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
      // a working watch resets the backoff
      expectPolicyEvent(i == 0 ? "changes s0 DRAINING" : "changes s" + i + " UP");
    }
    assertTrue(least < 190, "took " + least + " ms; 200 and more before");
  }

  /**
   * Guards against taking each line of an indented object for a list of its own, which broke the
   * watch.
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
