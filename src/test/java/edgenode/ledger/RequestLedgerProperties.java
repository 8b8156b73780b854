package edgenode.ledger;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Requests that begin and end in any order, against a list of them. */
class RequestLedgerProperties {
  private record OpenRequest(RequestLedger.ClassCounters counters) {}

  @Property(tries = 200, seed = "1")
  void countsAddUpAfterEveryEvent(@ForAll long seed) {
    Random random = new Random(seed);
    RequestLedger ledger = new RequestLedger(List.of("a", "b"));
    List<OpenRequest> open = new ArrayList<>();
    long[] endedByOutcome = new long[4];
    long accepted = 0;
    for (int i = 0; i < 200; i++) {
      if (random.nextBoolean()) {
        RequestLedger.ClassCounters counters =
            ledger.countersFor(List.of("a", "b", "made up " + i).get(random.nextInt(3)));
        counters.requestAccepted();
        open.add(new OpenRequest(counters));
        accepted++;
      } else if (!open.isEmpty()) {
        RequestLedger.RequestOutcome outcome =
            RequestLedger.RequestOutcome.values()[random.nextInt(4)];
        open.remove(random.nextInt(open.size())).counters.requestEnded(outcome);
        endedByOutcome[outcome.ordinal()]++;
      }
      assertEquals(List.of(), ledger.audit(open.size(), open.size()));
      assertEquals(open.size(), ledger.openCount());
    }
    for (RequestLedger.RequestOutcome outcome : RequestLedger.RequestOutcome.values()) {
      assertEquals(
          endedByOutcome[outcome.ordinal()],
          ledger.classCounters().stream()
                  .mapToLong(counters -> counters.outcomeCount(outcome))
                  .sum()
              + ledger.unknownClassCounters().outcomeCount(outcome));
    }
    assertEquals(
        accepted,
        ledger.classCounters().stream().mapToLong(RequestLedger.ClassCounters::acceptedCount).sum()
            + ledger.unknownClassCounters().acceptedCount());
  }

  /**
   * More customers than accounts: the sums over all accounts are always the counts of the classes.
   */
  @Property(tries = 200, seed = "1")
  void customersBeyondTheBoundAreFoldedAndNoCountIsLost(@ForAll long seed) {
    Random random = new Random(seed);
    RequestLedger ledger = new RequestLedger(List.of("a", "b"), 5);
    List<OpenRequest> open = new ArrayList<>();
    List<OpenRequest> ended = new ArrayList<>();
    Map<String, Long> accepted = new HashMap<>();
    for (int i = 0; i < 300; i++) {
      if (random.nextBoolean()) {
        String customer = "c" + random.nextInt(12);
        RequestLedger.ClassCounters counters =
            ledger.countersFor(List.of("a", "b", "x").get(random.nextInt(3)), customer);
        counters.requestAccepted();
        if (random.nextBoolean()) {
          counters.attemptSent();
        }
        accepted.merge(customer, 1L, Long::sum);
        open.add(new OpenRequest(counters));
      } else if (!open.isEmpty()) {
        OpenRequest ending = open.remove(random.nextInt(open.size()));
        ending.counters.requestEnded(RequestLedger.RequestOutcome.values()[random.nextInt(4)]);
        ended.add(ending);
      }
      if (!ended.isEmpty() && random.nextInt(4) == 0) { // sent after its request had ended
        ended.get(random.nextInt(ended.size())).counters.attemptSent();
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
        assertTrue(own <= accepted.get(account.customer()));
        sum += own;
      }
      assertEquals(accepted.values().stream().mapToLong(Long::longValue).sum(), sum);
    }
  }

  @Test
  void aCustomerWithOpenRequestsKeepsItsAccount() {
    RequestLedger ledger = new RequestLedger(List.of("a"), 3);
    ledger.countersFor("a", "open").requestAccepted();
    for (int i = 0; i < 10; i++) {
      RequestLedger.ClassCounters counters = ledger.countersFor("a", "c" + i);
      counters.requestAccepted();
      counters.requestEnded(RequestLedger.RequestOutcome.SERVED);
    }
    assertEquals(
        List.of("c8", "c9", "open"),
        ledger.accounts("", 9).stream().map(RequestLedger.CustomerAccount::customer).toList());
    ledger.countersFor("a", "c8").requestAccepted();
    ledger.countersFor("a", "c9").requestAccepted();
    ledger
        .countersFor("a", "late")
        .requestAccepted(); // all others are open: it has no account of its own
    assertEquals(
        List.of(),
        ledger.accounts("k", 9).stream()
            .filter(account -> account.customer().equals("late"))
            .toList());
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
  void auditFindsWhatIsCountedInAClassAndForNoCustomer() {
    RequestLedger ledger = new RequestLedger(List.of("a"), 10);
    ledger.countersFor("a", "c").requestAccepted();
    ledger.countersFor("a").requestAccepted(); // not in any account
    List<String> findings = ledger.auditCustomers();
    assertEquals(1, findings.size());
    assertTrue(
        findings.get(0).startsWith("campuses: of class 'a' their sums leave taken 1, open 1"),
        findings.get(0));
  }

  @Test
  void auditFindsRequestsThatEndTwiceOrNever() {
    RequestLedger ledger = new RequestLedger(List.of("a"));
    ledger.countersFor("a").requestAccepted();
    assertEquals(List.of(), ledger.audit(1, 1));
    assertEquals(1, ledger.audit(0, 1).size()); // it left the table and its end was not counted
    ledger.countersFor("a").requestEnded(RequestLedger.RequestOutcome.SERVED);
    ledger.countersFor("a").requestEnded(RequestLedger.RequestOutcome.FAILED);
    List<String> findings = ledger.audit(0, 0);
    assertTrue(findings.get(0).startsWith("a: taken 1, but served 1"), findings.toString());
  }

  @Test
  void unknownClassesShareOneSetOfCounters() {
    RequestLedger ledger = new RequestLedger(List.of("a"));
    for (int i = 0; i < 1000; i++) {
      ledger.countersFor("x" + i).requestAccepted();
    }
    assertEquals(1, ledger.classCounters().size());
    assertEquals(1000, ledger.unknownClassCounters().openCount());
  }
}
