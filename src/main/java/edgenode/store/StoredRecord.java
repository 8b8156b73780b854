package edgenode.store;

/**
 * The place and header of a record in a segment; its value stays on disk.
 *
 * @param sequence sequence number of the batch that wrote it: the version of the key
 * @param isTombstone whether the record deletes its key
 * @param expiresAtMs when the value expires (ms since 1970), 0 for never
 * @param offset where the record begins in its segment (bytes)
 * @param lengthBytes length of the whole record, header included
 */
record StoredRecord(
    StoreKey key,
    long sequence,
    boolean isTombstone,
    long expiresAtMs,
    long offset,
    int lengthBytes) {}
