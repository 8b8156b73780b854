package edgenode.simulation;

import edgenode.simhost.WireDigests;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Prints one line for each scenario and seed, and for each seed of the simulator's wire, with the
 * digest of all that passed. Two builds that decide alike print the same lines. With a file as its
 * argument, such as {@code src/test/resources/decision-digests.txt}, it prints the lines that
 * differ and exits with 1 where one does.
 */
final class DecisionDigests {
  private static final int SEEDS = 3;

  private DecisionDigests() {}

  public static void main(String[] args) throws Exception {
    List<String> lines = lines();
    if (args.length == 0) {
      lines.forEach(System.out::println);
      return;
    }
    List<String> expected = Files.readAllLines(Path.of(args[0]));
    lines.stream()
        .filter(line -> !expected.contains(line))
        .forEach(line -> System.out.println("differs: " + line));
    boolean isSame = lines.equals(expected);
    System.out.println(isSame ? "all " + lines.size() + " digests are the same" : "digests differ");
    System.exit(isSame ? 0 : 1);
  }

  private static List<String> lines() throws IOException, InterruptedException, ExecutionException {
    ExecutorService pool = Executors.newFixedThreadPool(Integer.getInteger("threads", 4));
    try {
      List<Future<String>> days = new ArrayList<>();
      for (String name : Scenarios.NAMES) {
        for (long seed = 1; seed <= SEEDS; seed++) {
          long drawn = seed;
          days.add(
              pool.submit(
                  () -> {
                    ScenarioRun day = ScenarioRun.play(Scenarios.of(name), drawn);
                    return name + " " + drawn + " " + day.events() + " " + day.sha256();
                  }));
        }
      }
      List<String> lines = new ArrayList<>();
      for (Future<String> day : days) {
        lines.add(day.get());
      }
      lines.addAll(WireDigests.lines(SEEDS));
      return lines;
    } finally {
      pool.shutdownNow();
    }
  }
}
