/**
 * An embedded store that lasts: a log of records on disk, an index of their places in memory
 * (Sheehy and Smith, "Bitcask: A Log-Structured Hash Table for Fast Key/Value Data", 2010),
 * ordered. {@link edgenode.store.KeyValueStore} is its face; {@link edgenode.store.StoreEngine}
 * decides all and knows only {@link edgenode.store.StoreDirectory}.
 */
package edgenode.store;
