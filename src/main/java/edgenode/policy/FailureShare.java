package edgenode.policy;

/**
 * How likely an endpoint fails a class of requests.
 *
 * @param share 0 to 1, as of the last outcome
 * @param atMs when that was
 */
record FailureShare(double share, double atMs) {}
