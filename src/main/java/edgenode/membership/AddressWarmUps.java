package edgenode.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Which addresses are warming up. A process may be listed under another id, or forgotten and listed
 * again, while it is still warming up: the address tells.
 */
final class AddressWarmUps {
  private record WarmUp(double startedAtMs, double endsAtMs) {}

  private final MembershipLimits limits;
  private final UpdateContext context;
  private final Map<String, WarmUp> byAddress = new HashMap<>();

  AddressWarmUps(MembershipLimits limits, UpdateContext context) {
    this.limits = limits;
    this.context = context;
  }

  /** The endpoint with the latest known start of the process at its address, which is recorded. */
  DiscoveredEndpoint apply(DiscoveredEndpoint reported) {
    if (reported.address() == null) {
      return reported;
    }
    DiscoveredEndpoint endpoint = reported;
    WarmUp known = byAddress.get(reported.address());
    if (known != null
        && known.endsAtMs > context.nowMs()
        && reported.info().startedAtMs() < known.startedAtMs) {
      endpoint = reported.withState(reported.info().state(), known.startedAtMs);
    }
    record(endpoint.address(), endpoint.info().startedAtMs());
    return endpoint;
  }

  /** A process started at an address at a time (Unix ms; 0 where it is not known). */
  void record(String address, double startedAtMs) {
    double endsAtMs = startedAtMs + limits.warmUpMs();
    if (startedAtMs > 0 && endsAtMs > context.nowMs()) {
      WarmUp known = byAddress.get(address);
      if (known == null || known.startedAtMs < startedAtMs) {
        byAddress.put(address, new WarmUp(startedAtMs, endsAtMs));
        context.checkSourcesAt(endsAtMs);
      }
    }
  }

  void removeExpired() {
    double nowMs = context.nowMs();
    byAddress.values().removeIf(warmUp -> warmUp.endsAtMs <= nowMs);
  }

  int size() {
    return byAddress.size();
  }
}
