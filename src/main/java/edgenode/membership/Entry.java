package edgenode.membership;

import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.Objects;

/**
 * A server as one source tells it.
 *
 * @param server what the decision module is to know; {@code startedAt} is Unix time in ms, 0 for
 *     long ago
 * @param dial where it listens, {@code address:port}; null only where the server is gone
 */
public record Entry(EndpointInfo server, String dial) {
  public Entry {
    Objects.requireNonNull(server.id());
    if (server.id().isEmpty()) {
      throw new IllegalArgumentException("a server without a name");
    }
    if (dial == null && server.state() != EndpointState.REMOVED) {
      throw new IllegalArgumentException("server " + server.id() + " has no address");
    }
  }

  String id() {
    return server.id();
  }

  Entry with(EndpointState state, double startedAt) {
    if (state == server.state() && startedAt == server.startedAtMs()) {
      return this;
    }
    return new Entry(
        new EndpointInfo(
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
    EndpointInfo a = server;
    EndpointInfo b = e.server;
    return a == b && Objects.equals(dial, e.dial)
        || a.id().equals(b.id())
            && Objects.equals(dial, e.dial)
            && a.state() == b.state()
            && a.startedAtMs() == b.startedAtMs()
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
