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
 * The figures as operators read them: one JSON object. All counts are since the start of the
 * process. The field names are part of the operators' interface.
 */
final class TelemetryJson {
  private static final JsonFactory JSON = new JsonFactory();

  /**
   * What the object is written from.
   *
   * @param openRequests accepted and not yet ended
   * @param duplicates null where duplicate requests are not recognised
   * @param store figures of the store, or null where there is none
   * @param excludedEndpoints listed endpoints that get no requests for now
   * @param state of the node, in a word
   * @param isConsistent whether the figures agree with each other and with the tables
   * @param violationCount how often they did not, since the start
   */
  record Figures(
      RequestLedger ledger,
      long openRequests,
      IdempotencyIndex.IdempotencyMetrics duplicates,
      Map<String, Object> store,
      MembershipStats members,
      int excludedEndpoints,
      String state,
      boolean isConsistent,
      long violationCount) {}

  private TelemetryJson() {}

  static String write(Figures figures) {
    RequestLedger ledger = figures.ledger;
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeObjectFieldStart("requests");
      for (RequestLedger.ClassCounters counters : ledger.classCounters()) {
        out.writeFieldName(counters.className());
        writeRow(out, counters);
      }
      out.writeEndObject();
      out.writeNumberField("attempts", ledger.attemptCount());
      out.writeNumberField("in_flight", figures.openRequests);
      out.writeNumberField("app_servers_known", figures.members.endpointCount());
      out.writeNumberField("app_servers_excluded", figures.excludedEndpoints);
      out.writeFieldName("requests_of_unknown_class");
      writeRow(out, ledger.unknownClassCounters());
      if (figures.duplicates != null) {
        writeDuplicates(out, figures.duplicates);
      }
      if (figures.store != null) {
        writeStore(out, figures.store);
      }
      out.writeBooleanField("adds_up", figures.isConsistent);
      out.writeNumberField("breaches", figures.violationCount);
      out.writeStringField("state", figures.state);
      writeListAge(out, figures.members);
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e); // a writer into memory throws none
    }
    return text.toString();
  }

  private static void writeDuplicates(
      JsonGenerator out, IdempotencyIndex.IdempotencyMetrics duplicates) throws IOException {
    out.writeObjectFieldStart("repeats");
    out.writeNumberField("entries", duplicates.entries());
    out.writeNumberField("running", duplicates.inFlight());
    out.writeNumberField("answer_bytes", duplicates.responseBytes());
    out.writeNumberField("followed", duplicates.joined());
    out.writeNumberField("replayed", duplicates.replayed());
    out.writeNumberField("spent", duplicates.responseUnavailable());
    out.writeNumberField("clashed", duplicates.keyConflicts());
    out.writeNumberField("refused", duplicates.rejected());
    out.writeNumberField("passed", duplicates.untracked());
    out.writeNumberField("forgotten", duplicates.evicted());
    out.writeEndObject();
  }

  private static void writeStore(JsonGenerator out, Map<String, Object> store) throws IOException {
    out.writeObjectFieldStart("store");
    for (Map.Entry<String, Object> field : store.entrySet()) {
      out.writeFieldName(field.getKey());
      if (field.getValue() instanceof Number number) {
        out.writeNumber(number.longValue());
      } else {
        out.writeString((String) field.getValue());
      }
    }
    out.writeEndObject();
  }

  private static void writeListAge(JsonGenerator out, MembershipStats members) throws IOException {
    if (members.ageMs() < Double.POSITIVE_INFINITY) {
      out.writeNumberField("list_age_ms", Math.round(members.ageMs()));
    }
  }

  /**
   * One page of customers, each with its classes, then all other customers, and where the next page
   * begins.
   *
   * @param after the customer after which to begin, or ""
   * @param limit customers at most
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
      throw new UncheckedIOException(e); // a writer into memory throws none
    }
    return text.toString();
  }

  private static void writeAccount(JsonGenerator out, RequestLedger.CustomerAccount account)
      throws IOException {
    out.writeStartObject();
    for (RequestLedger.ClassCounters counters : account.classCounters()) {
      if (counters.acceptedCount() > 0) {
        out.writeFieldName(counters.className());
        writeRow(out, counters);
      }
    }
    out.writeEndObject();
  }

  private static void writeRow(JsonGenerator out, RequestLedger.ClassCounters counters)
      throws IOException {
    out.writeStartObject();
    out.writeNumberField("served", counters.outcomeCount(RequestLedger.RequestOutcome.SERVED));
    out.writeNumberField("refused", counters.outcomeCount(RequestLedger.RequestOutcome.REJECTED));
    out.writeNumberField("failed", counters.outcomeCount(RequestLedger.RequestOutcome.FAILED));
    out.writeNumberField("attempts", counters.attemptCount());
    out.writeNumberField("taken", counters.acceptedCount());
    out.writeNumberField(
        "abandoned", counters.outcomeCount(RequestLedger.RequestOutcome.ABANDONED));
    out.writeNumberField("open", counters.openCount());
    out.writeEndObject();
  }
}
