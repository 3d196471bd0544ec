package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.magnoliavale.internal.directory.DirectoryEntry;
import org.magnoliavale.internal.dispatch.Artifact;
import org.magnoliavale.internal.dispatch.TestEntries;
import org.magnoliavale.internal.residency.EndpointCommand;
import org.magnoliavale.internal.residency.EndpointCommandResult;
import org.magnoliavale.internal.residency.EndpointControl;
import org.magnoliavale.internal.residency.EndpointReport;

/** Guards against an endpoint that gets no further command after an exchange that throws. */
class ContainedEndpointControlTest {
  private static final DirectoryEntry ENTRY = TestEntries.entry("a", 1);

  private final EndpointControl control =
      new ContainedEndpointControl(new ThrowingControl(), GatewayFixture.failures());

  private static final class ThrowingControl implements EndpointControl {
    @Override
    public EndpointCommandResult send(DirectoryEntry endpoint, EndpointCommand command) {
      throw new IllegalStateException("expected by the test");
    }

    @Override
    public boolean isDown(DirectoryEntry endpoint) {
      throw new IllegalStateException("expected by the test");
    }

    @Override
    public Optional<EndpointReport> fetchReport(DirectoryEntry endpoint) {
      throw new IllegalStateException("expected by the test");
    }
  }

  @Test
  void exceptionCountsAsALostAnswer() {
    EndpointCommand command =
        new EndpointCommand(
            ENTRY.identity(), EndpointCommand.Operation.LOAD, Artifact.parse("m"), 1, "self", 1);
    assertThat(control.send(ENTRY, command)).isEqualTo(EndpointCommandResult.UNKNOWN);
    assertThat(control.fetchReport(ENTRY)).isEmpty();
    assertThat(control.isDown(ENTRY)).isFalse();
  }
}
