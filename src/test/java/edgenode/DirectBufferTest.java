package edgenode;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.internal.PlatformDependent;
import java.io.File;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** How direct memory is allocated in a JVM that is started like the jar. */
@Timeout(60)
class DirectBufferTest {
  /** Runs in that JVM. */
  static final class Probe {
    public static void main(String[] arguments) throws Exception {
      Main.main(new String[] {"help"});
      System.out.println("fails at once: " + PlatformDependent.useDirectBufferNoCleaner());
    }
  }

  /**
   * Guards against allocations that sleep on the event loop where the direct memory is used up, as
   * those of java.nio do.
   */
  @Test
  void allocationBeyondTheLimitFailsAtOnce() throws Exception {
    Matcher opened =
        Pattern.compile("<Add-Opens>(.*)</Add-Opens>")
            .matcher(Files.readString(Path.of("pom.xml")));
    opened.find();
    Process process =
        new ProcessBuilder(
                System.getProperty("java.home") + File.separator + "bin" + File.separator + "java",
                "--add-opens=" + opened.group(1) + "=ALL-UNNAMED", // as the manifest of the jar
                "-cp",
                System.getProperty("java.class.path"),
                Probe.class.getName())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    List<String> lines =
        new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
            .lines()
            .toList();
    assertEquals("fails at once: true", lines.get(lines.size() - 1));
    assertEquals(0, process.waitFor());
  }
}
