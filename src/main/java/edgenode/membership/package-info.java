/**
 * One view of the endpoints out of several sources, decided without I/O. {@link
 * edgenode.membership.Membership} receives what sources and connections report; {@code
 * edgenode.net.discovery} has the sources. One class holds each rule: the order of versions,
 * liveness by connections, the quarantine of endpoints that a shrinking list lacks, and flap
 * damping.
 */
package edgenode.membership;
