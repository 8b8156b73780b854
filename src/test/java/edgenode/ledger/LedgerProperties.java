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
class LedgerProperties {
  private record Open(Ledger.Row row) {}

  @Property(tries = 200, seed = "1")
  void theFiguresAddUpAtEveryMoment(@ForAll long seed) {
    Random random = new Random(seed);
    Ledger ledger = new Ledger(List.of("a", "b"));
    List<Open> open = new ArrayList<>();
    long[] ends = new long[4];
    long taken = 0;
    for (int i = 0; i < 200; i++) {
      if (random.nextBoolean()) {
        Ledger.Row row = ledger.row(List.of("a", "b", "made up " + i).get(random.nextInt(3)));
        row.taken();
        open.add(new Open(row));
        taken++;
      } else if (!open.isEmpty()) {
        Ledger.End how = Ledger.End.values()[random.nextInt(4)];
        open.remove(random.nextInt(open.size())).row.ended(how);
        ends[how.ordinal()]++;
      }
      assertEquals(List.of(), ledger.check(open.size(), open.size()));
      assertEquals(open.size(), ledger.open());
    }
    for (Ledger.End how : Ledger.End.values()) {
      assertEquals(
          ends[how.ordinal()],
          ledger.rows().stream().mapToLong(r -> r.count(how)).sum() + ledger.unknown().count(how));
    }
    assertEquals(
        taken, ledger.rows().stream().mapToLong(Ledger.Row::all).sum() + ledger.unknown().all());
  }

  /**
   * More campuses than accounts, some of which ask only once: every sum is the classes' at every
   * moment.
   */
  @Property(tries = 200, seed = "1")
  void campusesBeyondTheBoundAreFoldedAndNothingIsLost(@ForAll long seed) {
    Random random = new Random(seed);
    Ledger ledger = new Ledger(List.of("a", "b"), 5);
    List<Open> open = new ArrayList<>();
    List<Open> over = new ArrayList<>();
    java.util.Map<String, Long> taken = new java.util.HashMap<>();
    for (int i = 0; i < 300; i++) {
      if (random.nextBoolean()) {
        String campus = "c" + random.nextInt(12);
        Ledger.Row row = ledger.row(List.of("a", "b", "x").get(random.nextInt(3)), campus);
        row.taken();
        if (random.nextBoolean()) {
          row.attempt();
        }
        taken.merge(campus, 1L, Long::sum);
        open.add(new Open(row));
      } else if (!open.isEmpty()) {
        Open ends = open.remove(random.nextInt(open.size()));
        ends.row.ended(Ledger.End.values()[random.nextInt(4)]);
        over.add(ends);
      }
      if (!over.isEmpty() && random.nextInt(4) == 0) { // written when its request had ended
        over.get(random.nextInt(over.size())).row.attempt();
      }
      assertEquals(List.of(), ledger.check(open.size(), open.size()));
      assertEquals(List.of(), ledger.checkCampuses());
      List<Ledger.Account> accounts = ledger.accounts("", 100);
      assertTrue(accounts.size() <= 5);
      long sum = ledger.others().rows().stream().mapToLong(Ledger.Row::all).sum();
      for (Ledger.Account account : accounts) {
        long own = account.rows().stream().mapToLong(Ledger.Row::all).sum();
        assertTrue(own <= taken.get(account.campus()));
        sum += own;
      }
      assertEquals(taken.values().stream().mapToLong(Long::longValue).sum(), sum);
    }
  }

  @Test
  void aCampusWithOpenRequestsKeepsItsAccount() {
    Ledger ledger = new Ledger(List.of("a"), 3);
    ledger.row("a", "open").taken();
    for (int i = 0; i < 10; i++) {
      Ledger.Row row = ledger.row("a", "c" + i);
      row.taken();
      row.ended(Ledger.End.SERVED);
    }
    assertEquals(
        List.of("c8", "c9", "open"),
        ledger.accounts("", 9).stream().map(Ledger.Account::campus).toList());
    ledger.row("a", "c8").taken();
    ledger.row("a", "c9").taken();
    ledger.row("a", "late").taken(); // all are open: it has no account of its own
    assertEquals(
        List.of(),
        ledger.accounts("k", 9).stream().filter(a -> a.campus().equals("late")).toList());
    assertEquals(1, ledger.others().rows().get(0).open());
    assertEquals(List.of(), ledger.checkCampuses());
  }

  @Test
  void accountsComeInPages() {
    Ledger ledger = new Ledger(List.of("a"), 10);
    for (int i = 0; i < 7; i++) {
      ledger.row("a", "c" + i).taken();
    }
    assertEquals(
        List.of("c0", "c1", "c2"),
        ledger.accounts("", 3).stream().map(Ledger.Account::campus).toList());
    assertEquals(
        List.of("c3", "c4"),
        ledger.accounts("c2", 2).stream().map(Ledger.Account::campus).toList());
    assertEquals(List.of(), ledger.accounts("c6", 2));
  }

  @Test
  void whatIsCountedInAClassAndNoCampusIsFound() {
    Ledger ledger = new Ledger(List.of("a"), 10);
    ledger.row("a", "c").taken();
    ledger.row("a").taken(); // not in any account
    List<String> wrong = ledger.checkCampuses();
    assertEquals(1, wrong.size());
    assertTrue(
        wrong.get(0).startsWith("campuses: of class 'a' their sums leave taken 1, open 1"),
        wrong.get(0));
  }

  @Test
  void whatEndsTwiceOrNeverIsFound() {
    Ledger ledger = new Ledger(List.of("a"));
    ledger.row("a").taken();
    assertEquals(List.of(), ledger.check(1, 1));
    assertEquals(1, ledger.check(0, 1).size()); // it left the table and its end was not told
    ledger.row("a").ended(Ledger.End.SERVED);
    ledger.row("a").ended(Ledger.End.FAILED);
    List<String> wrong = ledger.check(0, 0);
    assertTrue(wrong.get(0).startsWith("a: taken 1, but served 1"), wrong.toString());
  }

  @Test
  void classesThatNobodyKnowsShareOneRow() {
    Ledger ledger = new Ledger(List.of("a"));
    for (int i = 0; i < 1000; i++) {
      ledger.row("x" + i).taken();
    }
    assertEquals(1, ledger.rows().size());
    assertEquals(1000, ledger.unknown().open());
  }
}
