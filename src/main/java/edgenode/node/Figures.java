package edgenode.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import edgenode.idempotency.Repeats;
import edgenode.ledger.Ledger;
import edgenode.membership.Membership;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;

/**
 * The figures as operators read them: one JSON object; all counts are from the start of the
 * process.
 */
final class Figures {
  private static final JsonFactory JSON = new JsonFactory();

  private Figures() {}

  /**
   * @param open requests taken and not yet ended
   * @param repeats or null where they are not recognised
   * @param store figures of the store, or null where there is none
   * @param excluded listed servers that get nothing for now
   * @param addsUp whether the ledger agrees with itself, with the tables and with the connections
   * @param breaches how often anything did not, since the start
   */
  static String json(
      Ledger ledger,
      long open,
      Repeats.Figures repeats,
      Map<String, Object> store,
      Membership.Figures members,
      int excluded,
      String state,
      boolean addsUp,
      long breaches) {
    StringWriter text = new StringWriter();
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeObjectFieldStart("requests");
      for (Ledger.Row row : ledger.rows()) {
        out.writeFieldName(row.name());
        row(out, row);
      }
      out.writeEndObject();
      out.writeNumberField("attempts", ledger.attempts());
      out.writeNumberField("in_flight", open);
      out.writeNumberField("app_servers_known", members.servers());
      out.writeNumberField("app_servers_excluded", excluded);
      out.writeFieldName("requests_of_unknown_class");
      row(out, ledger.unknown());
      if (repeats != null) {
        out.writeObjectFieldStart("repeats");
        out.writeNumberField("entries", repeats.entries());
        out.writeNumberField("running", repeats.running());
        out.writeNumberField("answer_bytes", repeats.bytes());
        out.writeNumberField("followed", repeats.followed());
        out.writeNumberField("replayed", repeats.replayed());
        out.writeNumberField("spent", repeats.spent());
        out.writeNumberField("clashed", repeats.clashed());
        out.writeNumberField("refused", repeats.refused());
        out.writeNumberField("passed", repeats.passed());
        out.writeNumberField("forgotten", repeats.forgotten());
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
      if (members.age() < Double.POSITIVE_INFINITY) {
        out.writeNumberField("list_age_ms", Math.round(members.age()));
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
  static String campuses(Ledger ledger, String after, int limit) {
    StringWriter text = new StringWriter();
    List<Ledger.Account> page = ledger.accounts(after, limit);
    try (JsonGenerator out = JSON.createGenerator(text)) {
      out.writeStartObject();
      out.writeObjectFieldStart("campuses");
      for (Ledger.Account account : page) {
        out.writeFieldName(account.campus());
        account(out, account);
      }
      out.writeEndObject();
      out.writeFieldName("others");
      account(out, ledger.others());
      if (page.size() == limit) {
        out.writeStringField("next", page.get(limit - 1).campus());
      }
      out.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return text.toString();
  }

  private static void account(JsonGenerator out, Ledger.Account account) throws IOException {
    out.writeStartObject();
    for (Ledger.Row row : account.rows()) {
      if (row.all() > 0) {
        out.writeFieldName(row.name());
        row(out, row);
      }
    }
    out.writeEndObject();
  }

  private static void row(JsonGenerator out, Ledger.Row row) throws IOException {
    out.writeStartObject();
    out.writeNumberField("served", row.count(Ledger.End.SERVED));
    out.writeNumberField("refused", row.count(Ledger.End.REFUSED));
    out.writeNumberField("failed", row.count(Ledger.End.FAILED));
    out.writeNumberField("attempts", row.attempts());
    out.writeNumberField("taken", row.all());
    out.writeNumberField("abandoned", row.count(Ledger.End.ABANDONED));
    out.writeNumberField("open", row.open());
    out.writeEndObject();
  }
}
