/**
 * Accounting of requests by class and customer (docs/design/figures.md): {@link
 * edgenode.ledger.RequestLedger} counts, and checks that its counts add up.
 */
package edgenode.ledger;
