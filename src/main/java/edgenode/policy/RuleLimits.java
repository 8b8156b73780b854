package edgenode.policy;

/** The figures of the rules. */
public record RuleLimits(
    double answerGraceMs,
    double drainGraceMs,
    double coldCapacityShare,
    double warmUpMs,
    double overloadFactor,
    double overloadWindowMs) {}
