package edgenode.net.upstream;

/** Controls the transfer of a long value. Calls after its end have no effect. */
public interface ValueSource {
  /** Starts or stops reading from the endpoint's connection; a transfer begins with reading on. */
  void setReading(boolean isReading);

  /** Nobody waits for the rest: closes the connection, and the sink is not called again. */
  void cancel();
}
