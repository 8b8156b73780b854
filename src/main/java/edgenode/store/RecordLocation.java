package edgenode.store;

/** Where the record of a version stands; compaction moves it. */
record RecordLocation(Segment segment, StoredRecord storedRecord) {}
