package willowyoke.membership;

import java.util.Objects;
import willowyoke.Gateway;

/**
 * A server as one source tells it.
 *
 * @param server what the decision module is to know; {@code startedAt} is Unix time in ms, 0 for long ago
 * @param dial where it listens, {@code address:port}; null only where the server is gone
 */
public record Entry(Gateway.Server server, String dial) {
    public Entry {
        Objects.requireNonNull(server.id());
        if (server.id().isEmpty()) {
            throw new IllegalArgumentException("a server without a name");
        }
        if (dial == null && server.state() != Gateway.State.GONE) {
            throw new IllegalArgumentException("server " + server.id() + " has no address");
        }
    }

    String id() {
        return server.id();
    }

    Entry with(Gateway.State state, double startedAt) {
        if (state == server.state() && startedAt == server.startedAt()) {
            return this;
        }
        return new Entry(new Gateway.Server(server.id(), server.cell(), server.zone(), state, server.kind(),
            startedAt, server.weight()), dial);
    }
}
