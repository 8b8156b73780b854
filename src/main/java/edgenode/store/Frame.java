package edgenode.store;

import java.util.List;

/**
 * A frame read from a segment: one batch.
 *
 * @param offset where the frame begins (bytes)
 * @param endOffset where it ends: the first byte after it
 * @param sequence sequence number of the batch
 * @param timeMs when it was written (ms since 1970)
 * @param durableOffset up to which offset its segment was known to be durable at that time
 */
record Frame(
    long offset,
    long endOffset,
    long sequence,
    long timeMs,
    long durableOffset,
    List<StoredRecord> records) {}
