package edgenode.net.downstream;

/** The source of a streamed value, which its receiver slows down; on the event loop. */
public interface FlowControl {
  /**
   * Says whether the receiver takes more for now.
   *
   * @param isFlowing false: read no more until the next call
   */
  void setFlowing(boolean isFlowing);
}
