package org.magnoliavale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.magnoliavale.internal.document.DocumentSchema;
import org.magnoliavale.internal.gateway.GatewaySettingsReader;
import org.magnoliavale.internal.ini.ReferencePage;
import org.magnoliavale.internal.settings.SettingsSchema;

/** Generates the reference pages of settings and document; run it after changing a schema. */
final class ReferencePages {
  private ReferencePages() {}

  public static void main(String[] arguments) throws IOException {
    Files.writeString(
        Path.of("docs/SETTINGS.md"),
        ReferencePage.of(
            "Settings", "Every key of an instance's settings file.", SettingsSchema.SCHEMA));
    Files.writeString(
        Path.of("docs/GATEWAY-SETTINGS.md"),
        ReferencePage.of(
            "Gateway settings",
            "Every key of the settings file of an instance on the users' platform.",
            GatewaySettingsReader.schema()));
    Files.writeString(
        Path.of("docs/DOCUMENT.md"),
        ReferencePage.of(
            "Document", "Every key of the configuration document.", DocumentSchema.SCHEMA));
  }
}
