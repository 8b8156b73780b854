package edgenode.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import edgenode.idempotency.IdempotencyIndex;
import edgenode.ledger.RequestLedger;
import edgenode.membership.MembershipStats;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/**
 * The figures as operators read them: one JSON object; all counts are from the start of the
 * process.
 */
final class TelemetryJson {
  private static final JsonFactory JSON = new JsonFactory();

  private TelemetryJson() {}

  /**
   * @param open requests taken and not yet ended
   * @param repeats or null where they are not recognised
   * @param store figures of the store, or null where there is none
   * @param excluded listed servers that get nothing for now
   * @param addsUp whether the ledger agrees with itself, with the tables and with the connections
   * @param breaches how often anything did not, since the start
   */
  static String write(
      RequestLedger ledger,
      long open,
      IdempotencyIndex.IdempotencyMetrics repeats,
      Map<String, Object> store,
      MembershipStats members,
      int excluded,
      String state,
      boolean addsUp,
      long breaches) {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeObjectFieldStart("requests");
      for (RequestLedger.ClassCounters row : ledger.classCounters()) {
        out.writeFieldName(row.className());
        writeRow(out, row);
      }
      out.writeEndObject();
      out.writeNumberField("attempts", ledger.attemptCount());
      out.writeNumberField("in_flight", open);
      out.writeNumberField("app_servers_known", members.endpointCount());
      out.writeNumberField("app_servers_excluded", excluded);
      out.writeFieldName("requests_of_unknown_class");
      writeRow(out, ledger.unknownClassCounters());
      if (repeats != null) {
        out.writeObjectFieldStart("repeats");
        out.writeNumberField("entries", repeats.entries());
        out.writeNumberField("running", repeats.inFlight());
        out.writeNumberField("answer_bytes", repeats.responseBytes());
        out.writeNumberField("followed", repeats.joined());
        out.writeNumberField("replayed", repeats.replayed());
        out.writeNumberField("spent", repeats.responseEvicted());
        out.writeNumberField("clashed", repeats.keyConflicts());
        out.writeNumberField("refused", repeats.rejected());
        out.writeNumberField("passed", repeats.untracked());
        out.writeNumberField("forgotten", repeats.evicted());
        out.writeEndObject();
      }
      if (store != null) {
        out.writeObjectFieldStart("store");
        for (Map.Entry<String, Object> e : store.entrySet()) {
          out.writeFieldName(e.getKey());
          if (e.getValue() instanceof Number n) {
            out.writeNumber(n.longValue());
          } else {
            out.writeString((String) e.getValue());
          }
        }
        out.writeEndObject();
      }
      out.writeBooleanField("adds_up", addsUp);
      out.writeNumberField("breaches", breaches);
      out.writeStringField("state", state);
      if (members.ageMs() < Double.POSITIVE_INFINITY) {
        out.writeNumberField("list_age_ms", Math.round(members.ageMs()));
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a writer into memory has none
    }
    return text.toString();
  }

  /**
   * A page of campuses, each with its classes; behind them all others, and where the next page
   * begins.
   */
  static String writeCustomers(RequestLedger ledger, String after, int limit) {
    StringWriter text = new StringWriter();
    List<RequestLedger.CustomerAccount> page = ledger.accounts(after, limit);
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeObjectFieldStart("campuses");
      for (RequestLedger.CustomerAccount account : page) {
        out.writeFieldName(account.customer());
        writeAccount(out, account);
      }
      out.writeEndObject();
      out.writeFieldName("others");
      writeAccount(out, ledger.otherCustomers());
      if (page.size() == limit) {
        out.writeStringField("next", page.get(limit - 1).customer());
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void writeAccount(JsonGenerator out, RequestLedger.CustomerAccount account)
      throws IOException {
    out.writeStartObject();
    for (RequestLedger.ClassCounters row : account.classCounters()) {
      if (row.acceptedCount() > 0) {
        out.writeFieldName(row.className());
        writeRow(out, row);
      }
    }
    out.writeEndObject();
  }

  private static void writeRow(JsonGenerator out, RequestLedger.ClassCounters row)
      throws IOException {
    out.writeStartObject();
    out.writeNumberField("served", row.outcomeCount(RequestLedger.RequestOutcome.SERVED));
    out.writeNumberField("refused", row.outcomeCount(RequestLedger.RequestOutcome.REJECTED));
    out.writeNumberField("failed", row.outcomeCount(RequestLedger.RequestOutcome.FAILED));
    out.writeNumberField("attempts", row.attemptCount());
    out.writeNumberField("taken", row.acceptedCount());
    out.writeNumberField("abandoned", row.outcomeCount(RequestLedger.RequestOutcome.ABANDONED));
    out.writeNumberField("open", row.openCount());
    out.writeEndObject();
  }
}
