/**
 * Deterministic subsetting: which endpoints of a long list a node sends to. Used by {@code
 * edgenode.policy}; a pure core for one thread.
 */
package edgenode.policy.subset;
