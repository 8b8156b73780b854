/**
 * Draining: how the node stops taking clients before it ends, or for a while. {@link
 * edgenode.drain.DrainController} decides on the phase; the node carries it out.
 */
package edgenode.drain;
