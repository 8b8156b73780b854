package edgenode.simulation.invariants;

/**
 * A rule that was broken.
 *
 * @param rule the name of its checker
 * @param at when it was seen (ms on the clock of the run)
 * @param id the request, or null where it is none's
 * @param what in a sentence, with figures
 */
public record Violation(String rule, double at, String id, String what) {}
