package willowyoke.kit.judge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The fourth rule, as a budget: within any span of the stated length a cold server gets less work than so many times
 * its present capacity could do in it. Work counts by its mean, whether it was taken or turned away, from when the
 * nodes were told of the start. A few requests are granted for chance.
 */
public final class ColdServers implements Judge {
    /** Requests beyond the budget that chance may bring. */
    private static final int CHANCE = 4;

    private static final class Cold {
        private final Event.Born born;
        private final ArrayDeque<Double> sends = new ArrayDeque<>();
        private boolean told;
        private boolean broken;

        Cold(Event.Born born) {
            this.born = born;
        }
    }

    private final Terms terms;
    private final Map<String, Cold> cold = new HashMap<>();
    private final List<Breach> breaches = new ArrayList<>();

    public ColdServers(Terms terms) {
        this.terms = terms;
    }

    @Override public String rule() {
        return "no-cold-server-pushed-over";
    }

    /** Work (ms of one core) that the server can do between two ages (ms); its speed grows evenly until it is warm. */
    static double capacity(Event.Born born, double from, double to) {
        double warm = born.size().warmMs();
        double share = born.size().coldShare();
        double cores = born.size().cores();
        double rising = Math.max(0, Math.min(to, warm) - Math.min(from, warm));
        double mid = (Math.min(from, warm) + Math.min(to, warm)) / 2;
        double speed = warm > 0 ? share + (1 - share) * mid / warm : 1;
        return cores * (rising * speed + (to - from - rising));
    }

    @Override public void see(Event event) {
        if (event instanceof Event.Born born && born.cold()) {
            cold.put(born.server(), new Cold(born));
        } else if (event instanceof Event.Died died) {
            cold.remove(died.server());
        } else if (event instanceof Event.Told told && told.health().equals("active")) {
            Cold server = cold.get(told.server());
            if (server != null) {
                server.told = true;
            }
        } else if (event instanceof Event.Came came) {
            Cold server = cold.get(came.server());
            if (server != null && server.told && !server.broken) {
                came(server, came);
            }
        }
    }

    private void came(Cold server, Event.Came came) {
        double span = terms.rules().overloadFor();
        double age = came.at() - server.born.at();
        if (age > server.born.size().warmMs()) {
            cold.remove(came.server());
            return;
        }
        server.sends.add(age);
        while (server.sends.peek() < age - span) {
            server.sends.poll();
        }
        // a span of the whole length, so that a burst right after the start is held against all of it
        double from = Math.max(0, age - span);
        double can = terms.rules().overloadFactor() * capacity(server.born, from, from + span);
        double work = (server.sends.size() - CHANCE) * server.born.size().workMs();
        if (work > can) {
            server.broken = true;
            breaches.add(new Breach(rule(), came.at(), came.id(), String.format(Locale.ROOT,
                "%s got %d requests of %.1f ms within"
                + " %.0f ms, %.0f ms after its start: %.1f times what it could do", came.server(),
                server.sends.size(), server.born.size().workMs(), span, age,
                server.sends.size() * server.born.size().workMs() / (can / terms.rules().overloadFactor()))));
        }
    }

    @Override public List<Breach> verdict(double at) {
        return List.copyOf(breaches);
    }
}
