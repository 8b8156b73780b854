package edgenode.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import edgenode.ExternalNames;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The figures at the admin address have the names of the list: dashboards read them by name. */
class TelemetryNamesTest extends EdgeNodeFixture {
  @TempDir private Path folder;

  @BeforeEach
  void enableAllFigures() {
    hasAdminAddress = true;
    edgeSettingsToml =
        "[repeats]\nenabled = true\n[figures]\ncampuses = 5\n[store]\nfolder = \""
            + folder.resolve("store")
            + "\"\n";
  }

  private void addFieldNames(String requestLine, Set<String> names) throws IOException {
    String body = AdminClient.call(node.adminAddress(), requestLine).body();
    try (JsonParser parser = new JsonFactory().createParser(body)) {
      for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
        if (token == JsonToken.FIELD_NAME) {
          names.add(parser.currentName());
        }
      }
    }
  }

  @Test
  void figuresHaveTheListedNames() throws Exception {
    start();
    FakePeer.Connection client = connectClient();
    sendGet(client, "01", "read", 900);
    serverConnection.readMessage();
    serverConnection.writeAppServerValue("one");
    client.readMessage();
    figure("/requests/read/served", "1");
    Set<String> names = new TreeSet<>();
    addFieldNames("GET /api/telemetry", names);
    addFieldNames("GET /api/campuses?limit=1", names); // a full page names the next one
    names.removeAll(List.of(CUSTOMER, "read", "write", "again")); // data: a customer, the classes
    assertEquals(new TreeSet<>(ExternalNames.group("telemetry")), names);
  }
}
