/**
 * The simulator's text wire on standard input and output: {@link edgenode.simhost.SimulatorWire}
 * reads batches of events for many model nodes, hands them to a policy engine each and prints the
 * engines' actions. It decides nothing. The wire's names are mapped to the terms of the code here
 * and nowhere else.
 */
package edgenode.simhost;
