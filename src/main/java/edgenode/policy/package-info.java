/**
 * Every decision of a node, without I/O, threads or a clock of its own: time, chance and events are
 * arguments. {@link edgenode.policy.PolicyEngine} routes events to one class a rule. A shell calls
 * {@link edgenode.policy.PolicyEvents} and does what {@link edgenode.policy.PolicyActions} asks;
 * all calls are made by one thread, the event loop's, and none throws for odd input.
 *
 * <p>The rules:
 *
 * <ul>
 *   <li>what is admitted: {@code AdmissionQueue}, by {@code QuotaReservations}, {@code
 *       UsageEstimator}, {@code HardCeiling} and {@code OpenRequestCap};
 *   <li>when the counter is called: {@code CounterCallBudget};
 *   <li>which endpoint gets an attempt: {@code LoadBalancer}, among those of {@code
 *       KnownEndpoints}, by {@code EndpointScore}, {@code OutlierDetector}, {@code
 *       ConcurrencyLimiter}, {@code SlowStart} and {@code IdempotencyGroupRule};
 *   <li>how fast attempts are sent: {@code Pacer};
 *   <li>what is sent again, rejected or failed: {@code RetryPolicy}, done by {@code
 *       RequestLifecycle}.
 * </ul>
 */
package edgenode.policy;
