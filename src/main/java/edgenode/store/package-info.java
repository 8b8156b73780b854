/**
 * An embedded, durable key-value store: a log of records on disk and an ordered index of their
 * places in memory (Sheehy and Smith, "Bitcask: A Log-Structured Hash Table for Fast Key/Value
 * Data", 2010).
 *
 * <p>{@link edgenode.store.KeyValueStore} is its entry point and {@link edgenode.store.StoreWriter}
 * its thread. {@link edgenode.store.StoreEngine} does the work: {@link edgenode.store.SegmentLog}
 * appends, {@link edgenode.store.VersionIndex} finds versions, {@link edgenode.store.StoreRecovery}
 * opens, {@link edgenode.store.StoreMaintenance} compacts. The disk is reached only through {@link
 * edgenode.store.StoreDirectory}. {@link edgenode.store.SegmentFormat}, {@link
 * edgenode.store.HintFile} and {@link edgenode.store.Manifest} hold the file formats
 * (docs/design/store.md).
 */
package edgenode.store;
