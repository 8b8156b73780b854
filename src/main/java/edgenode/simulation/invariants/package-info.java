/**
 * Invariant checkers: each takes the events of a simulated run, as seen on the emulators' sockets,
 * and reports the violations of one rule. No I/O, threads or clock.
 */
package edgenode.simulation.invariants;
