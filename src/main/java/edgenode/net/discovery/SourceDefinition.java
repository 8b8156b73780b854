package edgenode.net.discovery;

/**
 * Where endpoints are discovered.
 *
 * @param name its address and what is asked for there: two definitions with the same name are the
 *     same source; it is logged
 * @param factory creates the source
 */
public record SourceDefinition(String name, SourceFactory factory) {}
