import java.io.IOException;

/** Daemon threads whose I/O may fail when a peer has gone. */
final class Threads {
  interface Task {
    void run() throws IOException, InterruptedException;
  }

  private Threads() {}

  static Thread start(String name, Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // the peer has gone, or the test is over
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
