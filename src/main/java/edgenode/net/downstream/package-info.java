/**
 * Connections from clients: commands in, responses out in the order of the commands.
 *
 * <p>{@link edgenode.net.downstream.ClientListener} accepts connections and bounds their number,
 * {@link edgenode.net.downstream.ClientConnection} reads commands and closes its connection, {@link
 * edgenode.net.downstream.ResponseQueue} writes the responses, and {@link
 * edgenode.net.downstream.EvictionOrder} names the connection that makes room for a new one. What
 * becomes of a request is decided by the {@link edgenode.net.downstream.RequestHandler}. All of it
 * runs on the event loop.
 */
package edgenode.net.downstream;
