package edgenode.net.discovery;

import java.io.IOException;

/** A response of discovery is not a list of endpoints. */
final class MalformedListException extends IOException {
  private static final long serialVersionUID = 1L;

  /**
   * Creates the error.
   *
   * @param message what was found or expected, for the log
   */
  MalformedListException(String message) {
    super(message);
  }
}
