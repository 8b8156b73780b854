package edgenode.simhost;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.Reader;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * A seeded simulator on the other side of the wire: endpoints, a shared counter, a discovery
 * service and clients for three instances. The digest covers every line in both directions, so it
 * changes with any decision of the policy.
 */
final class WireDigest {
  private static final int INSTANCES = 3;
  private static final int ENDPOINTS = 12;
  private static final int CUSTOMERS = 25;
  private static final double TICK_MS = 2;
  private static final String[] CLASSES = {"read", "zone", "cell", "once", "flow"};
  private static final String[] EFFECTS = {
    "read_like", "idempotency_key", "idempotency_key", "non_idempotent", "read_like"
  };
  private static final String[] GROUPS = {"cell", "zone", "cell", "cell", "all"};
  private static final String[] PLANS = {"rate", "open", "big", "ceiling"};

  private record Due(double atMs, long order, int instance, String line) {}

  private final Random random;
  private final MessageDigest sha256;
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.order, b.order));
  private final Map<Long, Double> totals = new HashMap<>();
  private final Map<Integer, Map<Long, Integer>> attempts = new HashMap<>();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ArrayDeque<String> input = new ArrayDeque<>();
  private final int turns;
  private double nowMs = 1000;
  private long order;
  private long requests;
  private int turn;
  private long lines;

  private WireDigest(long seed, int turns) {
    random = new Random(seed);
    this.turns = turns;
    try {
      sha256 = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e); // every JVM has it
    }
  }

  /** Plays so many turns; the result is the number of lines that passed and their SHA-256. */
  static String play(long seed, int turns) throws IOException {
    WireDigest digest = new WireDigest(seed, turns);
    try (PrintStream out = new PrintStream(digest.output, true, StandardCharsets.UTF_8)) {
      new SimulatorWire().run(digest.new Lines(), out);
    }
    digest.replies();
    return digest.lines + " " + HexFormat.of().formatHex(digest.sha256.digest());
  }

  /** The wire's input, made turn by turn from the replies to the turns before. */
  private final class Lines extends BufferedReader {
    Lines() {
      super(Reader.nullReader());
    }

    @Override
    public String readLine() {
      if (input.isEmpty() && turn < turns) {
        replies();
        nextTurn();
        turn++;
      }
      String line = input.poll();
      if (line != null) {
        add(line);
      }
      return line;
    }
  }

  private void add(String line) {
    sha256.update((line + "\n").getBytes(StandardCharsets.UTF_8));
    lines++;
  }

  private void nextTurn() {
    nowMs += TICK_MS * (1 + random.nextInt(3));
    input.add("TURN\t" + nowMs);
    Map<Integer, List<String>> events = new HashMap<>();
    if (turn == 0) {
      for (int i = 0; i < INSTANCES; i++) {
        events.computeIfAbsent(i, k -> new ArrayList<>()).add(settings(i));
        events.get(i).addAll(endpoints("disk", ENDPOINTS));
      }
    }
    while (!queue.isEmpty() && queue.peek().atMs <= nowMs) {
      Due due = queue.poll();
      events.computeIfAbsent(due.instance, k -> new ArrayList<>()).add(due.line);
    }
    for (int i = 0; turn > 0 && i < INSTANCES; i++) {
      List<String> of = events.computeIfAbsent(i, k -> new ArrayList<>());
      draw(i, of);
    }
    for (int i = 0; i < INSTANCES; i++) {
      if (!events.getOrDefault(i, List.of()).isEmpty()) {
        input.add("INSTANCE\t" + i);
        input.addAll(events.get(i));
      }
    }
    input.add("GO");
  }

  /** What happens at one instance beside the replies to its own actions. */
  private void draw(int instance, List<String> events) {
    boolean isBurst = turn / 300 % 4 == 2;
    for (int n = random.nextInt(isBurst ? 5 : 2); n > 0; n--) {
      int first = random.nextInt(CUSTOMERS);
      int second = random.nextInt(CUSTOMERS);
      int customer = Math.abs(first - second);
      long id = requests++;
      events.add(
          String.join(
              "\t",
              "ARRIVAL",
              Long.toString(id),
              CLASSES[random.nextInt(CLASSES.length)],
              PLANS[customer % PLANS.length],
              "c" + customer,
              Integer.toString(600 + random.nextInt(1400)),
              Integer.toString(1 + random.nextInt(3)),
              Integer.toString(1 + customer % INSTANCES),
              "0",
              random.nextInt(10) == 0 ? "1" : "0"));
      if (random.nextInt(40) == 0) {
        due(random.nextInt(200), instance, "CANCELLED_BY_CLIENT\t" + id);
      }
    }
    if (random.nextInt(200) == 0) {
      events.addAll(
          random.nextInt(4) == 0
              ? endpoints("snapshot", ENDPOINTS)
              : endpoints("diff", 1 + random.nextInt(2)));
    }
  }

  private List<String> endpoints(String kind, int count) {
    List<String> list = new ArrayList<>();
    list.add("MEMBERSHIP\t" + kind + "\t" + turn + "\t" + count);
    for (int i = 0; i < count; i++) {
      int number = kind.equals("diff") ? random.nextInt(ENDPOINTS) : i;
      String condition = random.nextInt(6) > 0 ? "on" : random.nextInt(2) == 0 ? "fading" : "off";
      String started = random.nextInt(5) == 0 ? Double.toString(nowMs - random.nextInt(3000)) : "-";
      list.add(
          "ITEM\t"
              + number / 2
              + "\t"
              + (number % 4 < 2 ? "a" : "b")
              + "\te"
              + number
              + "\t"
              + condition
              + "\tk\t"
              + started
              + "\t1");
    }
    return list;
  }

  private void due(double inMs, int instance, String line) {
    queue.add(new Due(nowMs + inMs, order++, instance, line));
  }

  /** Reads what the instances asked for and plans the answers. */
  private void replies() {
    String text = output.toString(StandardCharsets.UTF_8);
    output.reset();
    int instance = -1;
    for (String line : text.lines().toList()) {
      add(line);
      String[] part = line.split("\t");
      switch (part[0]) {
        case "AS" -> instance = Integer.parseInt(part[1]);
        case "PLACE" -> place(instance, Long.parseLong(part[1]), part[2]);
        case "WAKE_AT" -> due(Double.parseDouble(part[1]), instance, "REMINDER\t" + part[2]);
        case "ADD_TO" -> count(instance, Double.parseDouble(part[1]), Long.parseLong(part[3]));
        case "WATCH" -> due(50, instance, "MEMBERSHIP\terror\t0\t0");
        default -> {}
      }
    }
  }

  private void place(int instance, long id, String endpoint) {
    int attempt =
        attempts.computeIfAbsent(instance, k -> new HashMap<>()).merge(id, 1, Integer::sum) - 1;
    boolean isFaulty = endpoint.equals("e" + turn / 500 % ENDPOINTS) || random.nextInt(60) == 0;
    String outcome = isFaulty ? List.of("E", "F", "T", "C", "R", "N").get(random.nextInt(6)) : "S";
    double tookMs =
        outcome.equals("T") ? 300 : 5 + random.nextInt(random.nextInt(10) == 0 ? 400 : 60);
    if (outcome.equals("S") && random.nextInt(20) == 0) {
      due(
          tookMs / 2,
          instance,
          String.join(
              "\t", "ACK_FIRST", Long.toString(id), endpoint, "0", Integer.toString(attempt)));
    }
    due(
        tookMs,
        instance,
        String.join(
            "\t",
            "ENDED",
            Long.toString(id),
            endpoint,
            outcome.equals("S") || outcome.equals("E") ? "1" : "0",
            Integer.toString(attempt),
            outcome,
            Double.toString(tookMs),
            endpoint,
            Integer.toString(1 + random.nextInt(3)),
            "-"));
  }

  private void count(int instance, double amount, long name) {
    double total = totals.merge(name, amount, Double::sum);
    boolean isSilent = turn / 400 % 5 == 3;
    double tookMs = isSilent ? 50 : 1 + random.nextInt(random.nextInt(12) == 0 ? 50 : 8);
    String outcome =
        isSilent ? "T" : random.nextInt(30) == 0 ? "F" : random.nextInt(60) == 0 ? "R" : "S";
    due(
        tookMs,
        instance,
        String.join(
            "\t",
            "COUNTER_REPLY",
            outcome,
            Long.toString(name),
            Double.toString(tookMs),
            outcome.equals("S") ? Double.toString(total) : "-"));
  }

  private static String settings(int instance) {
    StringBuilder up =
        new StringBuilder(
            "UP\t"
                + (77 + instance)
                + "\trank="
                + instance
                + "\tgroup_size="
                + INSTANCES
                + "\ttick="
                + TICK_MS
                + "\tmy_zone=a\tdiscovery=on_request\tfamily_info.shared_counter=1"
                + "\tfamily_info.trued_up=1\tfamily_info.most_units=3\tfamily_info.count_limit=50"
                + "\tlimits.cancelling=1\tlimits.retry_after=1\tlimits.max_retry_after=2000\tlimits.send_cap=4"
                + "\tlimits.keepalive=4000\tcontract.grace_to_answer=16\tcontract.drain_grace=250"
                + "\tcontract.cold_share=0.2\tcontract.warm_after=3000\tcontract.overload_factor=2"
                + "\tcontract.overload_for=2000\trequest_classes.count="
                + CLASSES.length);
    appendClasses(up);
    appendPlans(up);
    return up.toString();
  }

  private static void appendClasses(StringBuilder up) {
    for (int i = 0; i < CLASSES.length; i++) {
      String at = "\trequest_classes." + i + ".";
      up.append(at)
          .append("name=")
          .append(CLASSES[i])
          .append(at)
          .append("effect=")
          .append(EFFECTS[i])
          .append(at)
          .append("group=")
          .append(GROUPS[i])
          .append(at)
          .append("aim=400")
          .append(at)
          .append("hard_limit=1500")
          .append(at)
          .append("worth=1")
          .append(at)
          .append("repeat_window=2000")
          .append(at)
          .append("stream=")
          .append(i == CLASSES.length - 1);
    }
  }

  private static void appendPlans(StringBuilder up) {
    up.append("\ttariffs.count=").append(PLANS.length);
    double[][] plans = {
      {20, 20, 0, 0, 0}, {0, 0, 3, 0, 0}, {400, 400, 0, 0, 0}, {60, 60, 0, 20, 40}
    };
    for (int i = 0; i < PLANS.length; i++) {
      String at = "\ttariffs." + i + ".";
      up.append(at)
          .append("name=")
          .append(PLANS[i])
          .append(at)
          .append("per_second=")
          .append(plans[i][0])
          .append(at)
          .append("depth=")
          .append(plans[i][1])
          .append(at)
          .append("open=")
          .append(plans[i][2])
          .append(at)
          .append("over_cost=0.5")
          .append(at)
          .append("hard_rate=")
          .append(plans[i][3])
          .append(at)
          .append("ceiling_burst=")
          .append(plans[i][4])
          .append(at)
          .append("price=1");
    }
  }
}
