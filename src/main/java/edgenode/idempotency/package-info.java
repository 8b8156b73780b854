/**
 * Recognition of duplicate requests by their idempotency key (docs/design/idempotency.md): {@link
 * edgenode.idempotency.IdempotencyIndex} decides what becomes of a request; who serves it carries
 * that out. No I/O, threads or clock.
 */
package edgenode.idempotency;
