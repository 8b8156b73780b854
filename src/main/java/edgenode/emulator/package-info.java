/**
 * Emulators of the services around an edge node and of its clients, written from the public
 * protocol pages, each with faults to inject. For tests, simulation and the demo only; nothing that
 * serves depends on this package.
 *
 * <p>{@code AppServerEmulator}, {@code CounterEmulator}, {@code DiscoveryEmulator} and {@code
 * CustomerClients} run on an event loop that the caller owns, in real or in virtual time, and are
 * used on that loop's thread only. {@code ThreadedAppServerEmulator}, {@code
 * DiscoveryAgentEmulator}, {@code ConsulEmulator}, {@code EdsEmulator} and {@code
 * DnsServerEmulator} have threads of their own and are safe for use by several threads. The models
 * (capacity, arrivals, idempotency group, client-side load balancer) do no I/O: time is an argument
 * and chance comes from a seed.
 */
package edgenode.emulator;
