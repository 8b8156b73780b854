/**
 * Clients of endpoint discovery: the platform's agent, Consul, Envoy's EDS and DNS SRV, and the
 * service that carries out what {@link edgenode.membership} decides. Everything lives on the event
 * loop. The agent's protocol is split by concern: the watch's life cycle, polls, connections, and
 * message framing.
 */
package edgenode.net.discovery;
