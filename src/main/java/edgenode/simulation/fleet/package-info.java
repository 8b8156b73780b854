/**
 * A fleet of edge nodes in virtual time, for questions of size: {@link
 * edgenode.simulation.fleet.FleetSimulation} runs the decision module and the membership core of
 * many nodes among models of app servers, counter, discovery and clients; {@link
 * edgenode.simulation.fleet.FleetVerdicts} checks its counts and their growth. Called by the
 * command {@code simulate-fleet} and tests only; one thread, no sockets.
 */
package edgenode.simulation.fleet;
