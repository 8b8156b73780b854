package edgenode.net.discovery;

import edgenode.eventloop.Loop;
import edgenode.membership.Entry;
import edgenode.membership.Health;
import edgenode.membership.Limits;
import edgenode.membership.Membership;
import edgenode.membership.Source;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Carries out what {@link Membership} decides: feeds it what sources and connections say, and tells
 * its view.
 */
public final class Members implements Source.Sink, Health {
  /** Who is told the view. */
  public interface View {
    /** Servers that have changed, or all where whole. */
    void listed(List<Entry> entries, boolean whole);

    /** A call to discovery failed. */
    void discoveryFailed();

    /** Discovery refuses every connection. */
    void discoveryRefuses();

    /**
     * Tries a connect to a server, and tells {@link Members#reachable} or {@link *
     * Members#unreachable}.
     */
    void tryOut(String id);
  }

  /** How a source is made. */
  public interface Maker {
    Source make(Loop loop, Source.Sink sink, String space);
  }

  /** A place that tells of servers; its name is compared, and told in the log. */
  public record Place(String name, Maker maker) {}

  /**
   * A source that was left may tell for so long (ms) still: the platform's old agent closes after
   * 1.5 s.
   */
  private static final double LEFT = 2000;

  /** So many refusals in a row are no restart of an agent. */
  private static final int REFUSED = 4;

  /** Between tries of a server that is dead or held (ms). */
  private static final double TRY = 250;

  private final Loop loop;
  private final View view;
  private final Membership core;
  private final CompletableFuture<Void> ready = new CompletableFuture<>();
  private final List<Place> places;
  private final double failOver;
  private int at;
  private double heardAt;
  private Source source;
  private String space;
  private int spaces;
  private int refused;
  private boolean trying;
  private Future<?> timer;
  private double timerAt = Double.POSITIVE_INFINITY;

  /**
   * @param places where servers are told, the first one first
   * @param failOver after how long of silence (ms) the next place takes over, where there is one
   */
  public Members(Loop loop, View view, Limits limits, List<Place> places, double failOver) {
    this.loop = loop;
    this.view = view;
    this.places = new ArrayList<>(places);
    this.failOver = failOver;
    space = name(places.get(0).name());
    core = new Membership(limits, space);
  }

  /** For this platform: the agent at an address. */
  public static Place agent(InetSocketAddress address) {
    return new Place(
        address.getHostString() + ":" + address.getPort(),
        (loop, sink, space) -> new AgentSource(loop, sink, address, space));
  }

  /** Done when discovery itself has told its list. */
  public CompletableFuture<Void> ready() {
    return ready;
  }

  /** What was known at the start serves until discovery answers; null where nothing was. */
  public void start(MembersJson known) {
    if (known != null) {
      apply(core.known(loop.now(), known.seq(), known.entries()));
    }
    begin();
    if (places.size() > 1) {
      loop.after(failOver / 4, this::watchOver);
    }
  }

  private void begin() {
    heardAt = loop.now();
    source = places.get(at).maker.make(loop, this, space);
    source.start();
  }

  /**
   * A place is elsewhere now; the old one counts until the new one has told, and a while longer.
   */
  public void move(Place from, Place to) {
    if (to.name.equals(from.name)) {
      return;
    }
    for (int i = 0; i < places.size(); i++) {
      if (places.get(i).name.equals(from.name)) {
        places.set(i, to);
        if (i == at) {
          change(i);
        }
        return;
      }
    }
  }

  private void change(int to) {
    String before = space;
    at = to;
    space = name(places.get(to).name);
    core.move(loop.now(), space);
    loop.after(2 * LEFT, () -> ended(before)); // also where a connection of it never ends
    if (source != null) {
      source.leave(LEFT);
      begin();
    }
  }

  /** The place in use may have fallen silent. */
  private void watchOver() {
    loop.after(failOver / 4, this::watchOver);
    if (loop.now() - heardAt >= failOver) {
      int next = (at + 1) % places.size();
      loop.say(
          "servers: nothing from "
              + space
              + " for "
              + Math.round(loop.now() - heardAt)
              + " ms, "
              + places.get(next).name
              + " takes over");
      change(next);
    }
  }

  /**
   * Names of spaces differ, also where discovery moves back: it may have started anew meanwhile.
   */
  private String name(String of) {
    return of + (spaces++ == 0 ? "" : "#" + spaces);
  }

  public Membership.Figures figures() {
    return core.figures(loop.now());
  }

  // ---- from sources ----

  @Override
  public long version(String of) {
    return of.equals(space) ? core.version() : -1;
  }

  @Override
  public void told(String of, long seq, boolean whole, List<Entry> entries) {
    apply(core.told(loop.now(), of, seq, whole, entries));
    heardOf(of);
  }

  @Override
  public boolean again(String of, long seq) {
    boolean same = core.again(loop.now(), of, seq);
    if (same) {
      heardOf(of);
    }
    return same;
  }

  @Override
  public void heard(String of) {
    apply(core.heard(loop.now(), of));
    heardOf(of);
  }

  private void heardOf(String of) {
    if (of.equals(space)) {
      heardAt = loop.now();
      refused = 0;
      ready.complete(null);
    }
  }

  @Override
  public void failed(String of, boolean wasRefused) {
    if (!of.equals(space)) {
      return;
    }
    refused = wasRefused ? refused + 1 : 0;
    if (refused >= REFUSED) {
      view.discoveryRefuses();
    }
    view.discoveryFailed();
  }

  @Override
  public void ended(String of) {
    apply(core.ended(loop.now(), of));
  }

  // ---- from connections to servers ----

  @Override
  public void answered(String id) {
    Membership.Changes changes = core.answered(loop.now(), id);
    if (changes != Membership.Changes.NONE) { // as with nearly every answer
      apply(changes);
    }
  }

  @Override
  public void reachable(String id) {
    apply(core.reachable(loop.now(), id));
  }

  @Override
  public void unreachable(String id, boolean wasRefused, int standing) {
    apply(core.unreachable(loop.now(), id, wasRefused, standing));
  }

  // ---- the view ----

  private void apply(Membership.Changes changes) {
    for (String note : changes.notes()) {
      loop.say("servers: " + note);
    }
    if (!changes.entries().isEmpty()) {
      view.listed(changes.entries(), changes.whole());
    }
    if (changes.askAnew() && source != null) {
      source.askAnew();
    }
    tryOut();
    arm();
  }

  private void tryOut() {
    if (trying || core.toTry().isEmpty()) {
      return;
    }
    trying = true;
    loop.after(
        TRY,
        () -> {
          trying = false;
          Collection<String> all = new ArrayList<>(core.toTry());
          all.forEach(view::tryOut);
          tryOut();
        });
  }

  private void arm() {
    double at = core.next();
    if (at >= timerAt) {
      return;
    }
    if (timer != null) {
      timer.cancel(false);
    }
    timerAt = at;
    timer =
        loop.after(
            Math.max(1, at - loop.now()),
            () -> {
              timerAt = Double.POSITIVE_INFINITY;
              timer = null;
              apply(core.tick(loop.now()));
            });
  }
}
