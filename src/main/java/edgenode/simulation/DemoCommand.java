package edgenode.simulation;

import edgenode.emulator.AppServerListener;
import edgenode.emulator.ArrivalProcess;
import edgenode.emulator.CounterEmulator;
import edgenode.emulator.CustomerClients;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.LocalTime;
import java.time.temporal.ChronoUnit;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** {@code try}: an edge node and its world on loopback, for a first look. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    sortOptions = false,
    description = {
      "One edge node with stand-ins for enrolment servers, discovery and the quota counter, on loopback,",
      "until Ctrl-C. Nothing to configure: it prints its address, a request to paste, then what passes."
    })
public final class DemoCommand implements Callable<Integer> {
  private static final int MOST_LINES = 20;
  private static final int MOST_RATE = 2000;
  private static final int MOST_SERVERS = 50;
  private static final int PORTS = 65_535;

  @Spec private CommandSpec spec;

  @Option(
      names = "--port",
      paramLabel = "PORT",
      defaultValue = "0",
      description = "where the edge node listens; 0, the default: any free one")
  private int port;

  @Option(
      names = "--servers",
      paramLabel = "N",
      defaultValue = "3",
      description = "enrolment servers, 1 to 50; default ${DEFAULT-VALUE}")
  private int servers;

  @Option(
      names = "--rate",
      paramLabel = "R",
      defaultValue = "0",
      description =
          "requests a second of stand-in campuses, 0 to 2000; default ${DEFAULT-VALUE}, only yours")
  private int rate;

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "of what the campuses ask and the servers' work; default ${DEFAULT-VALUE}")
  private long seed;

  /** What passes, a line each, so many a second; the rest is counted. */
  private static final class Told implements AppServerListener {
    private final PrintStream out;
    private long second;
    private int lines;
    private int more;

    Told(PrintStream out) {
      this.out = out;
    }

    synchronized void line(double now, String text) {
      long at = (long) (now / 1000);
      if (at != second) {
        if (more > 0) {
          out.println("             ... and " + more + " more in that second");
        }
        second = at;
        lines = 0;
        more = 0;
      }
      if (++lines > MOST_LINES) {
        more++;
        return;
      }
      out.println(LocalTime.now().truncatedTo(ChronoUnit.MILLIS) + "  " + text);
    }

    private static String rejection(ReceivedCommand command) {
      if (command.isExecuted()) {
        return "";
      }
      return command.idempotencyKey() == null ? ": full" : ": full, or a repeat";
    }

    @Override
    public void commandReceived(double now, String server, ReceivedCommand command) {
      line(
          now,
          server
              + " gets "
              + command.verb()
              + " "
              + command.requestId()
              + " of "
              + command.customer()
              + " "
              + command.parameters()
              + rejection(command));
    }

    @Override
    public void responseSent(double now, String server, String id, String text) {
      line(now, server + " answers " + id + ": " + text);
    }

    @Override
    public void malformedCommand(double now, String server, String what) {
      line(now, server + " got what is no command: " + what);
    }
  }

  /** A second of the stand-in campuses. */
  private static final class Tally implements CustomerClients.ClientListener {
    private final int[] fates = new int[CustomerClients.Fate.values().length];
    private double[] served = new double[64];
    private int servedCount;

    @Override
    public void attemptEnded(
        ArrivalProcess.Arrival of, int retry, CustomerClients.Fate fate, double ms) {
      fates[fate.ordinal()]++;
      if (fate == CustomerClients.Fate.SERVED) {
        served = servedCount == served.length ? Arrays.copyOf(served, 2 * servedCount) : served;
        served[servedCount++] = ms;
      }
    }

    String take() {
      StringBuilder text = new StringBuilder("campuses:");
      for (CustomerClients.Fate fate : CustomerClients.Fate.values()) {
        int count = fates[fate.ordinal()];
        if (count > 0 || fate == CustomerClients.Fate.SERVED) {
          text.append(' ')
              .append(fate.name().toLowerCase(Locale.ROOT).replace('_', ' '))
              .append(' ')
              .append(count)
              .append(',');
        }
      }
      Arrays.sort(served, 0, servedCount);
      text.append(
          servedCount == 0
              ? " nothing served"
              : String.format(
                  Locale.ROOT,
                  " median %.1f ms, 99th %.1f ms",
                  served[servedCount / 2],
                  served[Math.min(servedCount - 1, servedCount * 99 / 100)]));
      Arrays.fill(fates, 0);
      servedCount = 0;
      return text.toString();
    }
  }

  @Override
  public Integer call() throws InterruptedException {
    check("--port", port, 0, PORTS);
    check("--servers", servers, 1, MOST_SERVERS);
    check("--rate", rate, 0, MOST_RATE);
    PrintStream out = System.out;
    Told told = new Told(out);
    CounterEmulator.AddListener calls = (now, name, amount, total) -> {};
    EmulatedWorld world;
    try {
      world =
          new EmulatedWorld(
              port,
              servers,
              seed,
              rate == 0 ? told : new AppServerListener() {},
              calls,
              System.err::println);
    } catch (IOException e) {
      System.err.println("demo: " + e.getMessage());
      return 2;
    }
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    world.close();
                  } catch (IOException e) {
                    System.err.println("demo: " + e.getMessage());
                  }
                  ended.countDown();
                },
                "end"));
    greet(out, world);
    if (rate > 0) {
      traffic(world, told);
    }
    ended.await(); // Ctrl-C, or whoever ends the process
    return 0;
  }

  private void check(String option, int value, int least, int most) {
    if (value < least || value > most) {
      throw new ParameterException(
          spec.commandLine(),
          option + ": found " + value + ", allowed is " + least + " to " + most);
    }
  }

  private void greet(PrintStream out, EmulatedWorld world) {
    InetSocketAddress at = world.address();
    String list = "c=seat-lookup,t=estandar,d=900,units=1,spread=1,first=0";
    String customer = EmulatedWorld.CAMPUSES.get(1).id();
    out.println("edge node   " + at.getAddress().getHostAddress() + ":" + at.getPort());
    world
        .servers()
        .forEach(
            s ->
                out.println(
                    "enrolment   "
                        + s.id()
                        + " 127.0.0.1:"
                        + s.address().getPort()
                        + ", rack "
                        + s.idempotencyGroup().site()));
    out.println("discovery   " + world.discovery().address());
    out.println("counter     127.0.0.1:" + world.counter().address().getPort());
    out.println();
    out.println("Ask it (a campus of plan estandar has 20 requests a second, 40 at once):");
    out.println("  redis-cli -p " + at.getPort() + " CALL.GET " + customer + " 1 " + list);
    out.println(
        "  printf '"
            + resp("CALL.GET", customer, "1", list)
            + "' | nc -w 1 127.0.0.1 "
            + at.getPort());
    out.println();
    out.println(
        "What passes, until Ctrl-C"
            + (rate > 0
                ? " (" + rate + " requests a second of stand-in campuses):"
                : "; --rate 50 has campuses ask by themselves:"));
    out.flush();
  }

  private static String resp(String... words) {
    StringBuilder text = new StringBuilder("*" + words.length + "\\r\\n");
    for (String word : words) {
      text.append('$').append(word.length()).append("\\r\\n").append(word).append("\\r\\n");
    }
    return text.toString();
  }

  private void traffic(EmulatedWorld world, Told told) {
    ArrivalProcess arrivals =
        new ArrivalProcess(seed, EmulatedWorld.CAMPUSES, EmulatedWorld.KINDS, ms -> rate, rate);
    Tally tally = new Tally();
    CustomerClients clients =
        new CustomerClients(
            world.loop(),
            arrivals,
            CustomerClients.RetryOptions.DEFAULT,
            world.address(),
            tally,
            seed);
    world.loop().execute(clients::start);
    world.loop().execute(() -> second(world, tally, told));
  }

  private static void second(EmulatedWorld world, Tally tally, Told told) {
    world
        .loop()
        .schedule(
            1000,
            () -> {
              told.line(world.loop().nowMs(), tally.take());
              second(world, tally, told);
            });
  }
}
