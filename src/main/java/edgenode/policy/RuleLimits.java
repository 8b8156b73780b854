package edgenode.policy;

/**
 * The figures of the operators' rules.
 *
 * @param answerGraceMs an answer may come this much after the deadline
 * @param drainGraceMs an attempt may begin this much after an endpoint was listed as draining
 * @param coldCapacityShare part of its capacity that an endpoint has when it starts, 0 to 1
 * @param warmUpMs an endpoint has its full capacity this long after its start
 * @param overloadFactor an endpoint is overloaded by this many times what it can do
 * @param overloadWindowMs over this time
 */
public record RuleLimits(
    double answerGraceMs,
    double drainGraceMs,
    double coldCapacityShare,
    double warmUpMs,
    double overloadFactor,
    double overloadWindowMs) {}
