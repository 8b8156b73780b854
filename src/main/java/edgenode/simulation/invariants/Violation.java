package edgenode.simulation.invariants;

/**
 * A rule that was broken.
 *
 * @param rule the judge's name
 * @param at when it was seen (ms on the day's clock)
 * @param id the request, or null where it is none's
 * @param what in a sentence, with figures
 */
public record Violation(String rule, double at, String id, String what) {}
