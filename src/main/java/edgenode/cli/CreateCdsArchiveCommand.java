package edgenode.cli;

import edgenode.node.CdsArchiveRun;
import edgenode.node.StartLog;
import java.io.IOException;

/**
 * {@code create-cds-archive}: starts a node among fake services at build time, serves a few
 * requests and shuts it down, so that the JVM writes the classes of a start into a class data
 * sharing archive.
 */
public final class CreateCdsArchiveCommand {
  private CreateCdsArchiveCommand() {}

  /** Runs the start and the shutdown; ends the process. */
  public static void run() throws IOException {
    try (CdsArchiveRun archiveRun = new CdsArchiveRun()) {
      ServeCommand serve = new ServeCommand();
      serve.installHangupHandler();
      StartLog.partDone("JVM");
      serve.start(archiveRun.environment(), null);
      archiveRun.exercise(serve.node());
      System.exit(0); // the JVM writes the archive at the exit, after the graceful shutdown
    }
  }
}
