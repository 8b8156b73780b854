/** The commands of the program, one class each; {@link edgenode.Main} chooses among them. */
package edgenode.cli;
