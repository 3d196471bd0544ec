package org.magnoliavale.internal.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.magnoliavale.Finding;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.ini.ReferencePage;

class GatewaySettingsReaderTest {
  private static final Pattern PLACEHOLDER = Pattern.compile("\\{\\{([^}]*)}}");

  @Test
  void templateYieldsValidSettings() throws IOException {
    String template = Files.readString(Path.of("deploy/gateway.ini.template"));
    Matcher matcher = PLACEHOLDER.matcher(template);
    String text = matcher.replaceAll(match -> example(match.group(1)));
    GatewaySettings settings = GatewaySettingsReader.read("gateway.ini", text);
    assertThat(settings.instanceId()).isEqualTo("front-1");
    assertThat(settings.leaseDuration()).isEqualTo(Duration.ofSeconds(3));
    assertThat(settings.retryRatio()).isEqualTo(0.2);
  }

  private static String example(String field) {
    return switch (field) {
      case "node-name" -> "front-1";
      case "zone" -> "east";
      case "ip-address" -> "10.1.0.38";
      case "listen.front", "listen.ready", "platform.address" -> "10.1.0.38:8149";
      case "internal-ports.0", "internal-ports.1" -> "7380";
      case "bounds.lease-ms" -> "3000";
      case "bounds.budget-ratio" -> "0.2";
      case "bounds.strict-revoke" -> "false";
      default -> "8";
    };
  }

  @Test
  void allFindingsAreReportedWithTheirLocation() {
    MagnoliavaleException failure =
        catchThrowableOfType(
            MagnoliavaleException.class,
            () -> GatewaySettingsReader.read("gateway.ini", "[callers]\naddress = nowhere\n"));
    assertThat(failure.findings())
        .extracting(Finding::toString)
        .anyMatch(finding -> finding.contains("gateway.ini:2") && finding.contains("address"))
        .anyMatch(finding -> finding.contains("data-centre"))
        .anyMatch(finding -> finding.contains("store"));
  }

  @Test
  void referencePageIsUpToDate() throws IOException {
    String page =
        ReferencePage.of(
            "Gateway settings",
            "Every key of the settings file of an instance on the users' platform.",
            GatewaySettingsReader.schema());
    assertThat(Files.readString(Path.of("docs/GATEWAY-SETTINGS.md"))).isEqualTo(page);
  }
}
