package edgenode.membership;

import edgenode.policy.EndpointInfo;
import edgenode.policy.EndpointState;
import java.util.Objects;

/**
 * An endpoint as a source reports it, or as it is in the view.
 *
 * @param info what the policy needs to know; {@code startedAtMs} is Unix time in ms, 0 where the
 *     start is not known or long ago
 * @param address where it listens, {@code host:port}; null only where it was removed
 */
public record DiscoveredEndpoint(EndpointInfo info, String address) {
  /**
   * Checks the endpoint.
   *
   * @throws IllegalArgumentException where it has no id, or no address while it is not removed
   */
  public DiscoveredEndpoint {
    Objects.requireNonNull(info.id());
    if (info.id().isEmpty()) {
      throw new IllegalArgumentException("an endpoint without an id");
    }
    if (address == null && info.state() != EndpointState.REMOVED) {
      throw new IllegalArgumentException("endpoint " + info.id() + " has no address");
    }
  }

  /** Names the endpoint; unique in a list. */
  String id() {
    return info.id();
  }

  /** The endpoint with another state and start (Unix ms). */
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
   * Written out: the one that a record has loads some 40 classes of method handles at its first
   * use, a tenth of a start's CPU.
   */
  @Override
  public boolean equals(Object other) {
    if (!(other instanceof DiscoveredEndpoint that)) {
      return false;
    }
    if (!Objects.equals(address, that.address)) {
      return false;
    }
    EndpointInfo mine = info;
    EndpointInfo theirs = that.info;
    return mine == theirs
        || mine.id().equals(theirs.id())
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
