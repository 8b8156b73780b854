/**
 * The client of the shared counter, which adds up what all nodes have spent of the customers'
 * quotas. {@link edgenode.net.counter.CounterClient} is the entry point; when to call the counter
 * is decided elsewhere, in {@code edgenode.policy}. Everything here runs on the event loop thread.
 */
package edgenode.net.counter;
