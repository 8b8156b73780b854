package edgenode.admin;

/** What operators may ask of an edge node and tell it; called on the loop, must not block. */
public interface Operations {
  /** Null where it takes clients; else why not, in a word or two. */
  String notReady();

  /** The figures, as one JSON object. */
  String figures();

  /**
   * The figures of campuses, as one JSON object.
   *
   * @param after the campus behind which to begin, or ""
   * @param limit campuses at most
   * @return null where none are kept
   */
  String campuses(String after, int limit);

  /** Clients are to be sent away; null, or why not. */
  String evacuate();

  /** Clients are welcome again; null, or why not. */
  String rejoin();
}
