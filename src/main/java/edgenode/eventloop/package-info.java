/**
 * The event loop on which all else runs: one thread, its clock and timers, and the kinds of channel
 * ({@link edgenode.eventloop.Transport}). {@link edgenode.eventloop.EdgeEventLoop} is what other
 * packages use; simulations have an implementation of their own.
 */
package edgenode.eventloop;
