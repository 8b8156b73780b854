/**
 * Edge nodes and emulated services in one process: scenarios in virtual time ({@code simulate}) and
 * on loopback ({@code demo}).
 */
package edgenode.simulation;
