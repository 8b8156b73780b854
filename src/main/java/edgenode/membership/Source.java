package edgenode.membership;

import java.util.List;

/** Where a list of servers comes from. Lives on the event loop; tells a {@link Sink}. */
public interface Source {
  /** What a source tells; the space is the name that the source was given. */
  interface Sink {
    /** The version from which changes are wanted, -1 where the whole list is. */
    long version(String space);

    /** See {@link Membership#told}. */
    void told(String space, long seq, boolean whole, List<Entry> entries);

    /** See {@link Membership#again}. */
    boolean again(String space, long seq);

    /** Nothing has changed. */
    void heard(String space);

    /** A call failed; refused: nobody listens there. */
    void failed(String space, boolean refused);

    /** The source was left and has closed its last connection. */
    void ended(String space);
  }

  /** Begins, once. */
  void start();

  /** What was told is in doubt: new connections, and the whole list. */
  void askAnew();

  /** Another source tells from now on: asks no more, and ends its connections within so many ms. */
  void leave(double within);
}
