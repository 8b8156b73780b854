/**
 * Connections to app servers (endpoints) and the attempts and health checks sent on them. {@link
 * edgenode.net.upstream.UpstreamConnectionPool} is the only entry point: the node hands it {@link
 * edgenode.net.upstream.UpstreamAttempt}s and hears their ends through {@link
 * edgenode.net.upstream.UpstreamRequest} and {@link edgenode.net.upstream.HealthCheckListener}.
 * Which endpoint an attempt goes to is decided elsewhere, in {@code edgenode.policy}. Everything
 * here runs on the event loop thread.
 */
package edgenode.net.upstream;
