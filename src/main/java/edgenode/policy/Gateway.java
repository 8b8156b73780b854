package edgenode.policy;

import java.util.List;

/**
 * What a host and the decision module say to each other. A host calls {@link Events}; the module
 * answers by calling {@link Actions}, during the event or not at all. Times are milliseconds on the
 * host's clock.
 */
public interface Gateway {
  /** May a request be repeated: freely, inside a group of servers that drops repeats, or never. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The servers that drop each other's repeats of a keyed request. */
  enum Group {
    ALL,
    ZONE,
    CELL
  }

  enum State {
    UP,
    DRAINING,
    GONE
  }

  /** How an attempt, a probe or a counter call ended; the flag says that it proves nothing ran. */
  enum Outcome {
    OK(false),
    ERROR(false),
    FULL(true),
    TIMEOUT(false),
    NO_CONNECTION(true),
    RESET(false),
    CANCELLED(false),
    NOT_SENT(true),
    /**
     * Of counter calls only, and not an end: no answer in the time of the settings, and the call
     * stays open.
     */
    OVERDUE(false);

    /** True where the work cannot have run. */
    final boolean neverRan;

    Outcome(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** True where the work cannot have run. */
    public boolean neverRan() {
      return neverRan;
    }
  }

  /** A class of requests. */
  record RequestClass(
      String name,
      Effect effect,
      Group group,
      double aim,
      double deadline,
      double worth,
      double lateWorth,
      double window,
      boolean stream) {}

  /** A plan; a rate, open or ceilingRate of 0 means that there is no such limit. */
  record Plan(
      String name,
      double rate,
      double burst,
      int open,
      double price,
      double overWorth,
      double overCost,
      double ceilingRate,
      double ceilingBurst,
      double ceilingSlack) {}

  /**
   * What the site allows; keepAlive is how long (ms) a server keeps an idle connection, 0 where
   * nothing tells.
   */
  record Allowed(
      boolean probes,
      boolean cancel,
      boolean copies,
      boolean retryAfter,
      boolean peers,
      boolean counter,
      int attempts,
      double maxRetryAfter,
      double counterTimeout,
      double keepAlive) {}

  /** The figures of the rules. */
  record Rules(
      double answerGrace,
      double drainGrace,
      double coldShare,
      double warmAfter,
      double overloadFactor,
      double overloadFor) {}

  /** What costs points of the result. */
  record Prices(double waste, double probe, double counter, double crossZone, double lateFail) {}

  /** Everything one instance is told at its start. */
  record Settings(
      int me,
      int nodes,
      String zone,
      double tick,
      boolean mustAsk,
      boolean settled,
      int mostUnits,
      List<String> loadFields,
      List<RequestClass> classes,
      List<Plan> plans,
      Allowed allowed,
      Rules rules,
      Prices prices) {

    /**
     * For how long (ms) servers drop a repeat of this class; for ever where a repeat does no harm
     * by itself.
     */
    public double memory(String type) {
      for (RequestClass c : classes) {
        if (c.name().equals(type) && c.effect() == Effect.KEYED) {
          return c.window();
        }
      }
      return Double.POSITIVE_INFINITY;
    }

    /** Whether requests of this class may be told apart by their idempotency keys. */
    public boolean keyed(String type) {
      for (RequestClass c : classes) {
        if (c.name().equals(type)) {
          return c.effect() == Effect.KEYED;
        }
      }
      return false;
    }
  }

  /** A server as the list names it; startedAt is 0 where it started long ago. */
  record Server(
      String id,
      int cell,
      String zone,
      State state,
      String kind,
      double startedAt,
      double weight) {}

  /** A request as it arrived. */
  record Request(
      long id,
      String type,
      String plan,
      String customer,
      double patience,
      int units,
      int spread,
      int first,
      boolean again) {}

  /** What a host tells one instance. */
  interface Events {
    /** The list of servers: all of it, or the changed ones only. */
    void servers(double now, List<Server> list, boolean whole);

    /** A call to discovery failed or the subscription dropped. */
    void discoveryFailed(double now);

    void arrived(double now, Request request);

    /** A streamed answer has begun: from here on the attempt is the client's. */
    void firstAnswer(double now, long id, int attempt);

    /** One attempt ended; over: the request needs no answer any more. */
    void ended(
        double now,
        long id,
        int attempt,
        Outcome outcome,
        double took,
        boolean over,
        int trueUnits,
        double[] load);

    void gone(double now, long id);

    void timer(double now, long token);

    void probed(double now, String server, Outcome outcome, double took, double[] load);

    /**
     * How a call to the counter ended. Where it is overdue that is told first, and its end later:
     * the answer may still come. A host that gives up instead tells the one end TIMEOUT. The calls
     * of a name end in their order.
     */
    void counted(double now, long name, Outcome outcome, double took, double total);

    /** A question, not an event: how many servers are listed as up and yet get nothing for now. */
    default int avoided(double now) {
      return 0;
    }
  }

  /** What an instance asks of its host. */
  interface Actions {
    void send(long id, String server, double until);

    void cancel(long id, int attempt);

    void refuse(long id, double retryAfter);

    void fail(long id);

    void timer(double delay, long token);

    void probe(String server);

    void count(long name, double amount, double keepFor);

    void subscribe();
  }
}
