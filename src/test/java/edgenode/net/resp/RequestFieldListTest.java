package edgenode.net.resp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.management.ManagementFactory;
import org.junit.jupiter.api.Test;

/** The field list of a request: what it costs to parse, and what is forwarded of it. */
class RequestFieldListTest {
  private static final int MANY_FIELDS = 15_000;

  /** For a list of 64 KiB: its fields' texts, and the two parts that are forwarded. */
  private static final long MAX_ALLOCATED_BYTES = 8L << 20;

  private static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }

  /**
   * Guards against lists of very many short fields: for each time that the remaining time was named
   * the whole list was copied, a gigabyte for one request.
   */
  @Test
  void costOfAListIsLinearInItsLength() {
    String text = "c=read,t=p" + ",d=1".repeat(MANY_FIELDS);
    RequestFieldList.parse(text); // loads what the first call needs
    long before = allocatedBytes();
    RequestFieldList fields = RequestFieldList.parse(text);
    long allocated = allocatedBytes() - before;
    assertEquals(1, fields.remainingMs);
    assertTrue(allocated <= MAX_ALLOCATED_BYTES, allocated + " bytes");
  }

  @Test
  void lastRemainingTimeIsReplacedAndTheRestForwarded() {
    RequestFieldList fields = RequestFieldList.parse("x=1,d=5,c=read,d=70,t=p");
    assertEquals(70, fields.remainingMs);
    assertEquals("x=1,d=5,c=read,d=", fields.textBeforeRemaining);
    assertEquals(",t=p", fields.textAfterRemaining);
  }
}
