/**
 * The edge node: what connects clients, application servers, counter and discovery with the policy.
 *
 * <p>{@link edgenode.node.EdgeNode} is the entry point for programs. Everything behind it runs on
 * one event loop thread, without locks; only the methods of {@code EdgeNode} that say so may be
 * called from other threads. {@link edgenode.node.RequestTable} owns the open requests, {@link
 * edgenode.node.NodeStartup}, {@link edgenode.node.GracefulShutdown} and {@link
 * edgenode.node.ConfigReload} the life cycle. No decision is made here: events go to the policy
 * through {@link edgenode.node.GuardedPolicy}, and {@link edgenode.node.NodeActions} carries out
 * what it decides.
 */
package edgenode.node;
