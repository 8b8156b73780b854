package edgenode.simhost;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import org.junit.jupiter.api.Test;

class SimulatorWireTest {
  private static final String UP =
      "INSTANCE\t3\nUP\t42\trank=0\tgroup_size=2\ttick=4.0\tunheard_of=x"
          + "\trequest_classes.count=1\trequest_classes.0.name=read\trequest_classes.0.effect=read_like"
          + "\trequest_classes.0.aim=600.0\trequest_classes.0.hard_limit=2000.0\ttariffs.count=1"
          + "\ttariffs.0.name=p\ttariffs.0.per_second=8\ttariffs.0.depth=8\tlimits.send_cap=5\n"
          + "MEMBERSHIP\tdisk\t41\t1\nITEM\t0\tz\t10.0.0.1:80\ton\tk\t-\t1\n";
  private static final String ARRIVAL = "ARRIVAL\t7\tread\tp\t91f0\t500.0\t1\t2\t0\t0\t0\n";

  private static String run(String input) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorWire()
        .run(new BufferedReader(new StringReader(input)), new PrintStream(out, true));
    return out.toString();
  }

  private static String error(String input) {
    return assertThrows(MalformedInputException.class, () -> run(input)).getMessage();
  }

  @Test
  void anEmptyBatchGetsAnEmptyReply() throws Exception {
    assertEquals("END\n", run("TURN\t8412.25\nGO\n"));
  }

  @Test
  void aRequestIsSentAndTheSameInputGivesTheSameOutput() throws Exception {
    String input =
        "TURN\t10\n"
            + UP
            + ARRIVAL
            + "GO\nTURN\t30\nINSTANCE\t3\n"
            + "ENDED\t7\t0\t1\t0\tS\t18.5\t10.0.0.1:80\t0\t-\nGO\n";
    String output = run(input);
    assertTrue(output.startsWith("AS\t3\n") && output.contains("PLACE\t7\t10.0.0.1:80\t"), output);
    assertEquals(output, run(input));
  }

  @Test
  void anInstanceIsDestroyedAndStartedInOneBatch() throws Exception {
    String output =
        run(
            "TURN\t10\n"
                + UP
                + ARRIVAL
                + "GO\nTURN\t20\nINSTANCE\t3\nDESTROY\n"
                + UP
                + ARRIVAL.replace("\t7\t", "\t8\t")
                + "GO\n");
    assertTrue(output.contains("PLACE\t8\t"), output);
  }

  @Test
  void malformedInputIsReportedWithLineAndField() {
    assertEquals("line 1, field message: TURN expected, found 'HELLO'", error("HELLO\n"));
    assertEquals("line 1, field clock: number expected, found 'x'", error("TURN\tx\nGO\n"));
    assertTrue(
        error("TURN\t1\nINSTANCE\t3\nARRIVAL\t1\nGO\n").startsWith("line 3, field instance"));
    assertTrue(
        error("TURN\t1\n" + UP + "ARRIVAL\t1\tread\nGO\n")
            .startsWith("line 6, field tariff: missing"));
    assertTrue(error("TURN\t1\n" + UP + "NONSENSE\t1\nGO\n").contains("unknown event 'NONSENSE'"));
    assertTrue(
        error("TURN\t1\n" + UP + "ENDED\t7\t0\t1\t0\tQ\t1\ts\t0\t-\nGO\n")
            .contains("field outcome"));
    assertTrue(error("TURN\t1\n").contains("ends inside a batch"));
  }
}
