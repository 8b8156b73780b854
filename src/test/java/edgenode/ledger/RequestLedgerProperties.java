package edgenode.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Requests that come and end in any order, against a list of them. */
class RequestLedgerProperties {
  private record OpenRequest(RequestLedger.ClassCounters counters) {}

  @Property(tries = 200, seed = "1")
  void theFiguresAddUpAtEveryMoment(@ForAll long seed) {
    Random random = new Random(seed);
    RequestLedger ledger = new RequestLedger(List.of("a", "b"));
    List<OpenRequest> open = new ArrayList<>();
    long[] ends = new long[4];
    long taken = 0;
    for (int i = 0; i < 200; i++) {
      if (random.nextBoolean()) {
        RequestLedger.ClassCounters row =
            ledger.countersFor(List.of("a", "b", "made up " + i).get(random.nextInt(3)));
        row.requestAccepted();
        open.add(new OpenRequest(row));
        taken++;
      } else if (!open.isEmpty()) {
        RequestLedger.RequestOutcome how = RequestLedger.RequestOutcome.values()[random.nextInt(4)];
        open.remove(random.nextInt(open.size())).counters.requestEnded(how);
        ends[how.ordinal()]++;
      }
      assertEquals(List.of(), ledger.audit(open.size(), open.size()));
      assertEquals(open.size(), ledger.openCount());
    }
    for (RequestLedger.RequestOutcome how : RequestLedger.RequestOutcome.values()) {
      assertEquals(
          ends[how.ordinal()],
          ledger.classCounters().stream().mapToLong(r -> r.outcomeCount(how)).sum()
              + ledger.unknownClassCounters().outcomeCount(how));
    }
    assertEquals(
        taken,
        ledger.classCounters().stream().mapToLong(RequestLedger.ClassCounters::acceptedCount).sum()
            + ledger.unknownClassCounters().acceptedCount());
  }

  /**
   * More campuses than accounts, some of which ask only once: every sum is the classes' at every
   * moment.
   */
  @Property(tries = 200, seed = "1")
  void campusesBeyondTheBoundAreFoldedAndNothingIsLost(@ForAll long seed) {
    Random random = new Random(seed);
    RequestLedger ledger = new RequestLedger(List.of("a", "b"), 5);
    List<OpenRequest> open = new ArrayList<>();
    List<OpenRequest> over = new ArrayList<>();
    java.util.Map<String, Long> taken = new java.util.HashMap<>();
    for (int i = 0; i < 300; i++) {
      if (random.nextBoolean()) {
        String campus = "c" + random.nextInt(12);
        RequestLedger.ClassCounters row =
            ledger.countersFor(List.of("a", "b", "x").get(random.nextInt(3)), campus);
        row.requestAccepted();
        if (random.nextBoolean()) {
          row.attemptSent();
        }
        taken.merge(campus, 1L, Long::sum);
        open.add(new OpenRequest(row));
      } else if (!open.isEmpty()) {
        OpenRequest ends = open.remove(random.nextInt(open.size()));
        ends.counters.requestEnded(RequestLedger.RequestOutcome.values()[random.nextInt(4)]);
        over.add(ends);
      }
      if (!over.isEmpty() && random.nextInt(4) == 0) { // written when its request had ended
        over.get(random.nextInt(over.size())).counters.attemptSent();
      }
      assertEquals(List.of(), ledger.audit(open.size(), open.size()));
      assertEquals(List.of(), ledger.auditCustomers());
      List<RequestLedger.CustomerAccount> accounts = ledger.accounts("", 100);
      assertTrue(accounts.size() <= 5);
      long sum =
          ledger.otherCustomers().classCounters().stream()
              .mapToLong(RequestLedger.ClassCounters::acceptedCount)
              .sum();
      for (RequestLedger.CustomerAccount account : accounts) {
        long own =
            account.classCounters().stream()
                .mapToLong(RequestLedger.ClassCounters::acceptedCount)
                .sum();
        assertTrue(own <= taken.get(account.customer()));
        sum += own;
      }
      assertEquals(taken.values().stream().mapToLong(Long::longValue).sum(), sum);
    }
  }

  @Test
  void aCampusWithOpenRequestsKeepsItsAccount() {
    RequestLedger ledger = new RequestLedger(List.of("a"), 3);
    ledger.countersFor("a", "open").requestAccepted();
    for (int i = 0; i < 10; i++) {
      RequestLedger.ClassCounters row = ledger.countersFor("a", "c" + i);
      row.requestAccepted();
      row.requestEnded(RequestLedger.RequestOutcome.SERVED);
    }
    assertEquals(
        List.of("c8", "c9", "open"),
        ledger.accounts("", 9).stream().map(RequestLedger.CustomerAccount::customer).toList());
    ledger.countersFor("a", "c8").requestAccepted();
    ledger.countersFor("a", "c9").requestAccepted();
    ledger.countersFor("a", "late").requestAccepted(); // all are open: it has no account of its own
    assertEquals(
        List.of(),
        ledger.accounts("k", 9).stream().filter(a -> a.customer().equals("late")).toList());
    assertEquals(1, ledger.otherCustomers().classCounters().get(0).openCount());
    assertEquals(List.of(), ledger.auditCustomers());
  }

  @Test
  void accountsComeInPages() {
    RequestLedger ledger = new RequestLedger(List.of("a"), 10);
    for (int i = 0; i < 7; i++) {
      ledger.countersFor("a", "c" + i).requestAccepted();
    }
    assertEquals(
        List.of("c0", "c1", "c2"),
        ledger.accounts("", 3).stream().map(RequestLedger.CustomerAccount::customer).toList());
    assertEquals(
        List.of("c3", "c4"),
        ledger.accounts("c2", 2).stream().map(RequestLedger.CustomerAccount::customer).toList());
    assertEquals(List.of(), ledger.accounts("c6", 2));
  }

  @Test
  void whatIsCountedInAClassAndNoCampusIsFound() {
    RequestLedger ledger = new RequestLedger(List.of("a"), 10);
    ledger.countersFor("a", "c").requestAccepted();
    ledger.countersFor("a").requestAccepted(); // not in any account
    List<String> wrong = ledger.auditCustomers();
    assertEquals(1, wrong.size());
    assertTrue(
        wrong.get(0).startsWith("campuses: of class 'a' their sums leave taken 1, open 1"),
        wrong.get(0));
  }

  @Test
  void whatEndsTwiceOrNeverIsFound() {
    RequestLedger ledger = new RequestLedger(List.of("a"));
    ledger.countersFor("a").requestAccepted();
    assertEquals(List.of(), ledger.audit(1, 1));
    assertEquals(1, ledger.audit(0, 1).size()); // it left the table and its end was not told
    ledger.countersFor("a").requestEnded(RequestLedger.RequestOutcome.SERVED);
    ledger.countersFor("a").requestEnded(RequestLedger.RequestOutcome.FAILED);
    List<String> wrong = ledger.audit(0, 0);
    assertTrue(wrong.get(0).startsWith("a: taken 1, but served 1"), wrong.toString());
  }

  @Test
  void classesThatNobodyKnowsShareOneRow() {
    RequestLedger ledger = new RequestLedger(List.of("a"));
    for (int i = 0; i < 1000; i++) {
      ledger.countersFor("x" + i).requestAccepted();
    }
    assertEquals(1, ledger.classCounters().size());
    assertEquals(1000, ledger.unknownClassCounters().openCount());
  }
}
