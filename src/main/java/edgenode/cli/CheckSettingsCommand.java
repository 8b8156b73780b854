package edgenode.cli;

import edgenode.config.InvalidOperatorSettingsException;
import edgenode.config.OperatorSettings;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;

/** {@code check-settings FILE}: checks the operators' settings without starting a node. */
public final class CheckSettingsCommand {
  /** Exit code where a configuration or the operators' settings are rejected. */
  static final int EXIT_REJECTED = 2;

  private CheckSettingsCommand() {}

  /** Prints that the file is good, or each fault on a line and exits with code 2. */
  public static void run(String file) {
    readOrExit(file, 0);
    System.out.println(file + ": good");
  }

  /**
   * Reads the operators' settings. If they are rejected, prints each fault on a line of standard
   * error and ends the process with code 2.
   *
   * @param warmUpMs time in which a started endpoint reaches its full capacity
   */
  static OperatorSettings readOrExit(String file, double warmUpMs) {
    // the parser of addresses is Netty's, which would look for other loggers first
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
    try {
      return OperatorSettings.read(Path.of(file), warmUpMs);
    } catch (InvalidOperatorSettingsException rejected) {
      rejected.faults().forEach(System.err::println);
    } catch (IOException | InvalidPathException e) {
      System.err.println(file + ": cannot be read: " + e.getMessage());
    }
    System.exit(EXIT_REJECTED);
    return null;
  }
}
