package willowyoke.kit;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import willowyoke.standin.Arrivals;
import willowyoke.standin.CampusClients;
import willowyoke.standin.Counter;
import willowyoke.standin.Discovery;
import willowyoke.standin.Agent;
import willowyoke.standin.Effects;

/** Each event on the stand-ins' sockets as a line, and the SHA-256 of all lines: two runs are one if these are. */
final class Trace implements Effects, Counter.Calls, Discovery.Told {
    private final MessageDigest digest;
    private long events;

    Trace() {
        try {
            digest = MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every Java platform has it
        }
    }

    private void line(double now, String text) {
        events++;
        digest.update((now + " " + text + "\n").getBytes(StandardCharsets.UTF_8));
    }

    long events() {
        return events;
    }

    /** Of all events so far, in hexadecimal; more may follow. */
    String sha256() {
        try {
            return HexFormat.of().formatHex(((MessageDigest) digest.clone()).digest());
        } catch (CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override public void began(double now, String server) {
        line(now, server + " began");
    }

    @Override public void came(double now, String server, String verb, String customer, String id, String list,
        String key, boolean ran) {
        line(now, server + " came " + verb + " " + customer + " " + id + " " + list + " " + ran);
    }

    @Override public void answered(double now, String server, String id, String text) {
        line(now, server + " answered " + id + " " + text);
    }

    @Override public void malformed(double now, String server, String what) {
        line(now, server + " malformed " + what);
    }

    @Override public void added(double now, String name, double amount, double total) {
        line(now, "counter " + name + " " + amount + " " + total);
    }

    @Override public void told(double now, Agent.Host host) {
        line(now, "discovery " + host.id() + " " + host.health());
    }

    void ended(double now, Arrivals.Arrival of, int retry, CampusClients.Fate fate) {
        line(now, "client " + of.number() + " " + retry + " " + fate);
    }
}
