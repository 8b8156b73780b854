package willowyoke.subset;

import java.util.*;

/**
 * Which of all servers this node sends to: a deterministic subset. A pure core: the same calls give the same subset,
 * chance is a hash of names. Not safe for use by several threads.
 *
 * <p>A server has a place on a circle by the hash of its id (consistent hashing, Karger et al. 1997), node number m one
 * at m times the golden ratio (Knuth vol. 3, 6.4: any run of numbers is spread evenly, and no node moves when another
 * comes). A node holds the servers on the arc that begins at its place; all arcs of a fleet are equally long, so that
 * all servers have about as many nodes, however hashes fall: what varies is how many servers a node holds (Poisson). A
 * server that comes or goes moves itself, and the ends of arcs by a part of a server. The order is kept for each zone
 * apart, and no zone is left with under a quarter of its even part.
 *
 * <p>Costs: a change is O(log n) for the server and O(zones + moved) for the ends of arcs, a whole list O(n log n).
 *
 * @param <S> what is kept of a server that is not in the subset, to bring it in
 */
public final class Subset<S> {
    /** The least even size by default (servers): lists of up to so many are held whole, as all were before. */
    public static final int SERVERS = 256;
    /** Nodes of a server at least: one with five times the mean traffic brings its servers half as much again. */
    static final int HOLDERS = 8;
    /** Zones with an order of their own; what more there are share one, so that a change stays cheap on any list. */
    private static final int ZONES = 64;
    private static final String OTHERS = "";
    /** Mates looked through: draining ones stand in the way, but not for long. */
    private static final int LOOKED = 64;
    /** 2 to the 64th over the golden ratio, made odd. */
    private static final long GOLDEN = 0x9e3779b97f4a7c15L;

    /** What entered and what left, each in the order in which it happened. */
    public record Moves<S>(List<S> entered, List<String> left) { }

    private static final class Entry<S> {
        final String id, zone;
        final long offset;
        final int cell;
        Order<S> order;
        S server;
        boolean up, in, was;

        Entry(String id, String zone, int cell, long offset) {
            this.id = id;
            this.zone = zone;
            this.cell = cell;
            this.offset = offset;
        }
    }

    /** Servers in the order in which this node's arc takes them in; the first ones are held. */
    private static final class Order<S> {
        final TreeSet<Entry<S>> all =
            new TreeSet<>(Comparator.<Entry<S>>comparingLong(e -> e.offset).thenComparing(e -> e.id));
        Entry<S> last;
        int held;
    }

    private final long place;
    private final double nodes, least;
    private final boolean byCell;
    private final Map<String, Entry<S>> known = new HashMap<>();
    private final Map<String, Order<S>> zones = new HashMap<>();
    private final Map<Integer, Order<S>> cells = new HashMap<>();
    private final Set<Entry<S>> changed = new LinkedHashSet<>();
    private double width = 1;
    private int up;

    /**
     * @param me the number of this node in its fleet of so many
     * @param least servers that a node holds on average at least; more where a server would have under 8 nodes
     * @param byCell whether {@link #mates(int, int)} will be asked for
     */
    public Subset(int me, int nodes, int least, boolean byCell) {
        place = place(me);
        this.nodes = Math.max(1, nodes);
        this.least = Math.max(1, least);
        this.byCell = byCell;
    }

    /** A server is known, or has changed. */
    public void put(String id, String zone, int cell, boolean isUp, S server) {
        Entry<S> e = known.get(id);
        if (e == null || e.cell != cell || !e.zone.equals(zone)) {
            remove(id);
            e = new Entry<>(id, zone, cell, hash(id) - place >>> 1);
            known.put(id, e);
            e.order = zones.computeIfAbsent(zones.size() < ZONES || zones.containsKey(zone) ? zone : OTHERS,
                z -> new Order<>());
            e.order.all.add(e);
            if (byCell) {
                cells.computeIfAbsent(cell, c -> new Order<>()).all.add(e);
            }
            if (e.order.last != null && e.order.all.comparator().compare(e, e.order.last) < 0) {
                hold(e, true);
            }
        }
        up += (isUp ? 1 : 0) - (e.up ? 1 : 0);
        e.up = isUp;
        e.server = server;
    }

    /** A server is gone; one that is not known does no harm. */
    public void remove(String id) {
        Entry<S> e = known.remove(id);
        if (e == null) {
            return;
        }
        up -= e.up ? 1 : 0;
        e.order.all.remove(e);
        e.order.last = e.order.last == e ? e.order.all.lower(e) : e.order.last;
        if (e.in) {
            hold(e, false);
        }
        zones.values().removeIf(z -> z == e.order && z.all.isEmpty());
        if (byCell) {
            cells.computeIfPresent(e.cell, (c, mates) -> mates.all.remove(e) && mates.all.isEmpty() ? null : mates);
        }
    }

    /** A whole list: what it does not name is gone. O(n). */
    public void retain(Set<String> ids) {
        known.keySet().stream().filter(id -> !ids.contains(id)).sorted().toList().forEach(this::remove);
    }

    /** How many times the even arc this node's is, 1 at least: what enters and leaves shows at {@link #settle}. */
    public void width(double times) {
        width = Math.max(1, times);
    }

    /** Moves the ends of the arcs to where they belong, and tells what has entered and left since the last call. */
    public Moves<S> settle() {
        double share = Math.min(1, width * evenShare());
        zones.values().forEach(z -> settle(z, share));
        Moves<S> moves = new Moves<>(new ArrayList<>(), new ArrayList<>());
        for (Entry<S> e : changed) {
            if (e.in && !e.was) {
                moves.entered.add(e.server);
            } else if (!e.in && e.was) {
                moves.left.add(e.id);
            }
            e.was = e.in;
        }
        changed.clear();
        return moves;
    }

    private void settle(Order<S> z, double share) {
        long arc = share >= 1 ? Long.MAX_VALUE : (long) (share * 0x1p63);
        int few = share >= 1 ? z.all.size() : (int) (z.all.size() * share / 4);
        while (z.held < z.all.size()) {
            Entry<S> next = z.last == null ? z.all.first() : z.all.higher(z.last);
            if (next.offset >= arc && z.held >= few) {
                break;
            }
            z.last = next;
            hold(next, true);
        }
        for (Entry<S> e = z.last; e != null && e.offset >= arc && z.held > few; e = z.last) {
            z.last = z.all.lower(e);
            hold(e, false);
        }
    }

    private void hold(Entry<S> e, boolean in) {
        e.in = in;
        e.order.held += in ? 1 : -1;
        changed.add(e);
    }

    private double evenShare() {
        return Math.min(1, Math.max(least / Math.max(1, known.size()), HOLDERS / nodes));
    }

    /** How many servers a node holds on average with an even arc. */
    public double even() {
        return evenShare() * known.size();
    }

    /** Whether every node holds all that are known. */
    public boolean whole() {
        return evenShare() >= 1;
    }

    public boolean holds(String id) {
        Entry<S> e = known.get(id);
        return e != null && e.in;
    }

    /** All that are known and up, held or not. */
    public int up() {
        return up;
    }

    /** Servers of a zone that are up, the held ones first; so many at most. */
    public List<S> mates(String zone, int most) {
        return first(zones.getOrDefault(zone, zones.get(OTHERS)), most);
    }

    /** Servers of a cell that are up, in this node's order, so that nodes differ in whom they burden. */
    public List<S> mates(int cell, int most) {
        return first(cells.get(cell), most);
    }

    private List<S> first(Order<S> order, int most) {
        return order == null ? List.of()
            : order.all.stream().limit(LOOKED).filter(e -> e.up).limit(most).map(e -> e.server).toList();
    }

    /** Where on the circle a node's arc begins. */
    static long place(int me) {
        return me * GOLDEN;
    }

    /** FNV-1a over the characters, then the finaliser of SplitMix64: ids that count up fall anywhere. */
    static long hash(String id) {
        long h = 0xcbf29ce484222325L;
        for (int i = 0; i < id.length(); i++) {
            h = (h ^ id.charAt(i)) * 0x100000001b3L;
        }
        h = (h ^ h >>> 30) * 0xbf58476d1ce4e5b9L;
        h = (h ^ h >>> 27) * 0x94d049bb133111ebL;
        return h ^ h >>> 31;
    }
}
