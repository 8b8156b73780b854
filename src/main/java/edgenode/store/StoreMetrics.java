package edgenode.store;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The state of a store for operators.
 *
 * @param isFailed whether nothing is written any more until the store is opened again
 * @param reason why it has failed, or why maintenance was given up for now; empty for neither
 * @param keys keys in the index, deleted ones that are still on disk included
 * @param segments files of the log
 * @param bytes of the log
 * @param liveBytes of them, those of present records
 * @param version sequence number of the last visible write
 * @param queuedWrites writes that wait for the writer thread
 */
public record StoreMetrics(
    boolean isFailed,
    String reason,
    int keys,
    int segments,
    long bytes,
    long liveBytes,
    long version,
    int queuedWrites) {

  /** The fields under their names in the operators' telemetry, in its order. */
  public Map<String, Object> toTelemetry() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("state", isFailed ? "failed" : "serving");
    fields.put("why", reason);
    fields.put("keys", keys);
    fields.put("segments", segments);
    fields.put("bytes", bytes);
    fields.put("live_bytes", liveBytes);
    fields.put("version", version);
    fields.put("waiting", queuedWrites);
    return fields;
  }
}
