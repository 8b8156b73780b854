package edgenode.eventloop;

/**
 * How far the peer's system has received what was written on a connection.
 *
 * @param isComplete whether nothing is left that it has not acknowledged
 * @param acknowledgedBytes that it has acknowledged since the connection was established
 */
public record Delivery(boolean isComplete, long acknowledgedBytes) {
  /** For connections of which this is not known. */
  public static final Delivery UNKNOWN = new Delivery(true, 0);
}
