package edgenode.membership;

import edgenode.policy.Gateway;
import java.util.Objects;

/**
 * A server as one source tells it.
 *
 * @param server what the decision module is to know; {@code startedAt} is Unix time in ms, 0 for
 *     long ago
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
    return new Entry(
        new Gateway.Server(
            server.id(),
            server.cell(),
            server.zone(),
            state,
            server.kind(),
            startedAt,
            server.weight()),
        dial);
  }

  /**
   * Written out, as that of a record is made of method handles at its first use: some 40 classes, a
   * tenth of a start's CPU.
   */
  @Override
  public boolean equals(Object o) {
    if (!(o instanceof Entry e)) {
      return false;
    }
    Gateway.Server a = server;
    Gateway.Server b = e.server;
    return a == b && Objects.equals(dial, e.dial)
        || a.id().equals(b.id())
            && Objects.equals(dial, e.dial)
            && a.state() == b.state()
            && a.startedAt() == b.startedAt()
            && a.weight() == b.weight()
            && a.cell() == b.cell()
            && Objects.equals(a.zone(), b.zone())
            && Objects.equals(a.kind(), b.kind());
  }

  @Override
  public int hashCode() {
    return server.id().hashCode();
  }
}
