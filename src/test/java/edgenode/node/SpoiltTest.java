package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Answers of app servers and of the counter that are spoilt, or bring more than belongs to them.
 */
class SpoiltTest extends NodeFixture {
  private Peer.Line next(Peer.Line client, int id) throws Exception {
    get(client, "0" + id, "read", 5000);
    arrived(id, "read");
    Peer.Line line = app.accept();
    assertEquals("0" + id, line.message().get(2));
    return line;
  }

  /** A second copy, or half a message, right behind an answer is not the next request's value. */
  @Test
  void whatComesBehindAnAnswerEndsTheConnection() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 5000);
    arrived(1, "read");
    server.message();
    String[] behind = {"*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n", "*3\r\n$3", "noise"};
    Peer.Line line = server;
    for (int i = 1; i <= behind.length; i++) {
      line.write("*3\r\n$3\r\none\r\n$-1\r\n$-1\r\n" + behind[i - 1]);
      assertEquals(List.of("one"), client.message());
      expect("ended " + i + " 0 OK true");
      assertTrue(line.ended(), behind[i - 1]);
      line = next(client, i + 1);
    }
    line.value("own");
    assertEquals(List.of("own"), client.message());
  }

  /**
   * A second answer some milliseconds late was taken for the next request's, which went out on the
   * connection 2 ms after the first. A round counts in which this machine was quick enough to have
   * it come within 8 ms.
   */
  @Test
  void aSecondAnswerThatComesLateIsNotTheNextRequests() throws Exception {
    start();
    Peer.Line client = client();
    Peer.Line line = server;
    get(client, "01", "read", 5000);
    line.message();
    int counted = 0;
    for (int id = 2; counted < 3 && id < 100; id++) {
      long from = System.nanoTime();
      line.value("one");
      assertEquals(List.of("one"), client.message());
      get(client, "0" + id, "read", 5000);
      Thread.sleep(5); // it is late by so much: that is what is tested
      line.value("one");
      if (System.nanoTime() - from >= 8_000_000) { // the next may have gone out on it: begin anew
        line.close();
        client = client();
        get(client, "x" + id, "read", 5000);
        line = of("x" + id);
        continue;
      }
      counted++;
      line = of("0" + id);
    }
    line.value("own");
    assertEquals(List.of("own"), client.message());
    assertEquals(3, counted, "this machine is too slow to tell");
  }

  /** The connection on which this request comes. */
  private Peer.Line of(String id) throws Exception {
    while (true) {
      Peer.Line line = app.accept();
      if (id.equals(line.message().get(2))) {
        return line;
      }
    }
  }

  /** Also when nothing is asked on the connection: the decoder keeps half a message to itself. */
  @Test
  void bytesOnAnIdleConnectionEndIt() throws Exception {
    start();
    server.write("*3\r\n$5\r\nst");
    assertTrue(server.ended());
    Peer.Line line = next(client(), 1);
    line.value("v");
    expect("ended 1 0 OK true");
  }

  /** It may have run, and what comes next on the connection belongs to nobody. */
  @Test
  void anAnswerInNoFormIsAnErrorAndEndsTheConnection() throws Exception {
    start();
    server.close();
    Peer.Line client = client();
    String[] forms = {
      "*-1\r\n",
      "*3\r\n$-1\r\n$-1\r\n$-1\r\n",
      "+OK\r\n",
      ":1\r\n",
      "$3\r\nabc\r\n",
      "*4\r\n$1\r\na\r\n$-1\r\n$-1\r\n$-1\r\n",
      "*2\r\n$1\r\na\r\n$-1\r\n",
      "-BUSYNESS\r\n",
      "noise\r\n",
      "*3\r\n$3\r\nabcde\r\n$-1\r\n$-1\r\n",
      "*3\r\n$3000000000\r\nabc",
      "*3\r\n$-7\r\n"
    };
    for (int i = 1; i <= forms.length; i++) {
      Peer.Line line = next(client, i);
      line.write(forms[i - 1]);
      expect("ended " + i + " 0 ERROR false");
      assertEquals(List.of("-ERR failed"), client.message());
      assertTrue(line.ended(), forms[i - 1]);
    }
  }

  /**
   * A value whose length is longer than what comes kept its request until the client's time was up.
   */
  @Test
  void halfAnAnswerIsNotWaitedForToTheEnd() throws Exception {
    start();
    Peer.Line client = client();
    get(client, "01", "read", 60_000);
    arrived(1, "read");
    server.message();
    server.write("*3\r\n$50\r\nabc\r\n$-1\r\n$-1\r\n");
    expect("ended 1 0 ERROR false");
    assertEquals(List.of("-ERR failed"), client.message());
    assertTrue(server.ended());
  }

  /** A report that cannot be read spoils no value, and the connection is as good as before. */
  @Test
  void aBadReportSpoilsNoValue() throws Exception {
    start();
    Peer.Line client = client();
    for (int i = 1; i <= 2; i++) {
      get(client, "0" + i, "read", 5000);
      arrived(i, "read");
      server.message();
      server.write("*3\r\n$1\r\nv\r\n$2\r\n?%\r\n$12\r\nutil=x,=,,ab\r\n");
      expect("ended " + i + " 0 OK true");
      assertEquals(List.of("v"), client.message());
    }
  }

  /**
   * No number in it: the amount was added; the line is of no use, and NaN would stay in all sums.
   */
  @Test
  void aCounterAnswerWithoutANumberEndsItsLine() throws Exception {
    start();
    List<Peer.Line> lines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      lines.add(counter.accept());
    }
    Peer.Line client = client();
    Peer.Line line = lines.get((int) Math.floorMod(77L, 4L));
    String[] spoilt = {
      "$3\r\nNaN\r\n",
      "$8\r\nInfinity\r\n",
      "$3\r\n3x4\r\n",
      "$-1\r\n",
      ":5\r\n",
      "+OK\r\n",
      "noise\r\n",
      "$4\r\n0x1p\r\n",
      "$9\r\n12"
    };
    for (int i = 1; i <= spoilt.length; i++) {
      get(client, "0" + i, "count", 5000);
      arrived(i, "count");
      for (List<String> words = line.message();
          words.get(0).equals("PING");
          words = line.message()) {
        line.write("+PONG\r\n");
      }
      line.write(spoilt[i - 1]);
      expect("counted 77 ERROR 0.0");
      expect("counted 77 RESET 0.0"); // the second call was behind it
      line = counter.accept();
    }
  }

  /**
   * The library tells of half an array behind the end of its line: no exception may leave the
   * handler.
   */
  @Test
  void halfAnArrayAtTheEndOfALineHarmsNothingElse() throws Exception {
    List<String> warned = new java.util.concurrent.CopyOnWriteArrayList<>();
    java.util.logging.Logger library = java.util.logging.Logger.getLogger("io.netty");
    java.util.logging.Handler noting =
        new java.util.logging.Handler() {
          @Override
          public void publish(java.util.logging.LogRecord record) {
            warned.add(record.getMessage());
          }

          @Override
          public void flush() {}

          @Override
          public void close() {}
        };
    library.addHandler(noting);
    try {
      start();
      List<Peer.Line> lines = new ArrayList<>();
      for (int i = 0; i < 4; i++) {
        lines.add(counter.accept());
      }
      Peer.Line client = client();
      get(client, "01", "count", 5000);
      arrived(1, "count");
      Peer.Line line = lines.get((int) Math.floorMod(77L, 4L));
      line.message();
      line.message();
      line.write("*2\r\n$1\r\n5\r\n");
      line.close();
      expect("counted 77 RESET 0.0");
      expect("counted 77 RESET 0.0");
      get(client, "02", "count", 5000);
      arrived(2, "count");
      line = counter.accept();
      assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), line.message());
      line.message();
      line.write("$1\r\n5\r\n$1\r\n6\r\n");
      expect("counted 77 OK 5.0");
      expect("counted 77 OK 6.0");
      assertEquals(List.of(), warned);
    } finally {
      library.removeHandler(noting);
    }
  }

  /** A line that was reset was down for 100 ms, and all calls of its names were lost. */
  @Test
  void aBrokenCounterLineIsBackAtOnce() throws Exception {
    start();
    List<Peer.Line> lines = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      lines.add(counter.accept());
    }
    Peer.Line client = client();
    get(client, "01", "count", 5000);
    arrived(1, "count");
    lines.get((int) Math.floorMod(77L, 4L)).close();
    expect("counted 77 RESET 0.0");
    expect("counted 77 RESET 0.0");
    get(client, "02", "count", 5000);
    arrived(2, "count");
    Peer.Line line = counter.accept();
    assertEquals(List.of("CNT.ADD", "77", "-2.5", "4000"), line.message());
    line.message();
    line.write("$1\r\n5\r\n$1\r\n6\r\n");
    expect("counted 77 OK 5.0");
    expect("counted 77 OK 6.0");
  }
}
