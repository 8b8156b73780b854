package edgenode.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import io.netty.channel.epoll.Epoll;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The package carries the native sockets of each machine that the deployment names. */
class NativeSocketsTest {
  private static final Set<String> ARCHITECTURES = Set.of("amd64", "x86_64", "aarch64");

  @Test
  void nativeSocketsAreAvailableOnLinuxOnX86AndArm() {
    String system = System.getProperty("os.name");
    String architecture = System.getProperty("os.arch");
    assumeTrue(system.equals("Linux") && ARCHITECTURES.contains(architecture));
    assertTrue(
        SocketTransport.HAS_EPOLL,
        () ->
            "the package has no native sockets for %s on %s: %s"
                .formatted(system, architecture, Epoll.unavailabilityCause()));
  }
}
