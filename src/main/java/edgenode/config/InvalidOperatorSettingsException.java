package edgenode.config;

import java.util.List;

/** The operators' settings are invalid; the message has a line for each fault. */
public final class InvalidOperatorSettingsException extends Exception {
  private static final long serialVersionUID = 1L;
  private final transient List<String> faults;

  InvalidOperatorSettingsException(List<String> faults) {
    super(String.join("\n", faults));
    this.faults = faults;
  }

  /** All faults of the file, each with file, line, key, what was found and what is allowed. */
  public List<String> faults() {
    return faults;
  }
}
