package edgenode.node;

import edgenode.policy.PolicyActions;
import edgenode.policy.PolicyEvents;
import edgenode.policy.PolicySettings;

/** Creates the policy of a node when the node starts. */
public interface PolicyFactory {
  /**
   * Creates a policy. Called once, on the event loop; what it throws fails the start.
   *
   * @param settings what the policy is configured with
   * @param seed of the policy's random draws
   * @param nowMs Unix time (ms) of the event loop's clock
   * @param actions what the policy may ask of the node, from now on
   */
  PolicyEvents create(PolicySettings settings, long seed, double nowMs, PolicyActions actions);
}
