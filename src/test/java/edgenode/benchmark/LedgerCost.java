package edgenode.benchmark;

import edgenode.ledger.RequestLedger;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What a request costs the ledger, by class alone and by campus, and what an audit of all accounts
 * takes. Run from the repository's root: {@code java -cp target/test-classes:target/classes
 * edgenode.benchmark.LedgerCost}. Prints the median of 11 rounds, their least and most.
 */
final class LedgerCost {
  private static final int ROUNDS = 11;
  private static final int WARM = 5;
  private static final int TURNS = 500_000;

  private LedgerCost() {}

  private static long used() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  public static void main(String[] args) {
    for (int campuses : new int[] {0, 100, 1000, 10_000}) {
      RequestLedger ledger = new RequestLedger(List.of("seat-lookup", "enrol"), campuses);
      String[] names =
          new String[Math.max(1, campuses + campuses / 5)]; // a fifth more than there is room for
      for (int i = 0; i < names.length; i++) {
        names[i] = String.format(Locale.ROOT, "%016x", i * 0x9e3779b9L & 0x1ffffffffL);
      }
      long before = used();
      for (int i = 0; i < campuses; i++) {
        ledger.countersFor("enrol", names[i]);
      }
      if (campuses > 0) {
        System.out.printf(
            Locale.ROOT, "%d campuses: %d bytes each%n", campuses, (used() - before) / campuses);
      }
      List<Double> requests = new ArrayList<>();
      List<Double> audits = new ArrayList<>();
      long wrong = 0;
      for (int r = 0; r < ROUNDS + WARM; r++) {
        long t0 = System.nanoTime();
        for (int k = 0; k < TURNS; k++) {
          RequestLedger.ClassCounters row =
              ledger.countersFor(
                  k % 3 == 0 ? "enrol" : "seat-lookup",
                  names[(int) (k * 2_654_435_761L % names.length)]);
          row.requestAccepted();
          row.attemptSent();
          row.requestEnded(RequestLedger.RequestOutcome.SERVED);
        }
        long t1 = System.nanoTime();
        wrong += ledger.audit(0, 0).size() + ledger.auditCustomers().size();
        long t2 = System.nanoTime();
        if (r >= WARM) {
          requests.add((t1 - t0) / (double) TURNS);
          audits.add((t2 - t1) / 1e3);
        }
      }
      requests.sort(null);
      audits.sort(null);
      System.out.printf(
          Locale.ROOT,
          "%d campuses: %.0f ns a request (%.0f to %.0f), an audit %.0f us (%.0f to"
              + " %.0f), %d wrong%n",
          campuses,
          requests.get(ROUNDS / 2),
          requests.get(0),
          requests.get(ROUNDS - 1),
          audits.get(ROUNDS / 2),
          audits.get(0),
          audits.get(ROUNDS - 1),
          wrong);
    }
  }
}
