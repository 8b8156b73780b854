package edgenode;

import static org.junit.jupiter.api.Assertions.assertEquals;

import edgenode.emulator.CapacityModel;
import edgenode.emulator.CustomerClients;
import edgenode.simulation.Scenario;
import edgenode.simulation.Scenarios;
import edgenode.simulation.invariants.Event;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Scenarios and the records below a run's digest have the names of the list. A renamed record
 * component would change the SHA-256 of every run.
 */
class ExternalNamesTest {
  @Test
  void scenariosAndTheirFaultsHaveTheListedNames() {
    List<String> scenarios = new ArrayList<>(ExternalNames.group("scenarios"));
    scenarios.remove("scenarios"); // the folder of the files
    assertEquals(scenarios, Scenarios.NAMES);
    List<String> kinds = new ArrayList<>();
    Arrays.stream(Scenario.FaultKind.values()).map(Enum::name).forEach(kinds::add);
    List<String> listed = new ArrayList<>(ExternalNames.group("scenario faults"));
    listed.removeAll(List.of("COUNTER_", "FULL")); // parts of names
    assertEquals(listed, kinds);
  }

  /** The digest goes over {@code Event.toString()}, which is built from these names. */
  @Test
  void recordsBelowARunsDigestHaveTheListedNames() {
    Map<String, List<String>> types = new LinkedHashMap<>();
    for (Class<?> event : Event.class.getPermittedSubclasses()) {
      types.put(event.getSimpleName(), componentsOf(event));
    }
    types.put("Size", componentsOf(CapacityModel.Size.class));
    types.put("Answer", constantsOf(Event.Answer.values()));
    types.put("End", constantsOf(Event.End.values()));
    types.put("Fate", constantsOf(CustomerClients.Fate.values()));
    assertEquals(ExternalNames.types("run digest"), types);
  }

  private static List<String> componentsOf(Class<?> type) {
    return Arrays.stream(type.getRecordComponents()).map(RecordComponent::getName).toList();
  }

  private static List<String> constantsOf(Enum<?>[] constants) {
    return Arrays.stream(constants).map(Enum::name).toList();
  }
}
