package edgenode.membership;

import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.Objects;

/**
 * A server as one source tells it.
 *
 * @param info what the decision module is to know; {@code startedAt} is Unix time in ms, 0 for long
 *     ago
 * @param address where it listens, {@code address:port}; null only where the server is gone
 */
public record DiscoveredEndpoint(EndpointInfo info, String address) {
  public DiscoveredEndpoint {
    Objects.requireNonNull(info.id());
    if (info.id().isEmpty()) {
      throw new IllegalArgumentException("a server without a name");
    }
    if (address == null && info.state() != EndpointState.REMOVED) {
      throw new IllegalArgumentException("server " + info.id() + " has no address");
    }
  }

  String id() {
    return info.id();
  }

  DiscoveredEndpoint withState(EndpointState state, double startedAtMs) {
    if (state == info.state() && startedAtMs == info.startedAtMs()) {
      return this;
    }
    return new DiscoveredEndpoint(
        new EndpointInfo(
            info.id(), info.cell(), info.zone(), state, info.kind(), startedAtMs, info.weight()),
        address);
  }

  /**
   * Written out, as that of a record is made of method handles at its first use: some 40 classes, a
   * tenth of a start's CPU.
   */
  @Override
  public boolean equals(Object other) {
    if (!(other instanceof DiscoveredEndpoint that)) {
      return false;
    }
    EndpointInfo mine = info;
    EndpointInfo theirs = that.info;
    return mine == theirs && Objects.equals(address, that.address)
        || mine.id().equals(theirs.id())
            && Objects.equals(address, that.address)
            && mine.state() == theirs.state()
            && mine.startedAtMs() == theirs.startedAtMs()
            && mine.weight() == theirs.weight()
            && mine.cell() == theirs.cell()
            && Objects.equals(mine.zone(), theirs.zone())
            && Objects.equals(mine.kind(), theirs.kind());
  }

  @Override
  public int hashCode() {
    return info.id().hashCode();
  }
}
