package org.magnoliavale.internal.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;
import org.magnoliavale.Finding;
import org.magnoliavale.internal.document.DocumentReader;
import org.magnoliavale.internal.document.DocumentSchema;
import org.magnoliavale.internal.ini.IniText;
import org.magnoliavale.internal.settings.SettingsReader;

/** Validates settings files and documents without starting an instance. */
@Parameters(commandDescription = "Validate settings files and documents")
final class CheckCommand implements Command {
  @Parameter(description = "FILE...", required = true)
  private List<String> files;

  @Override
  public int run() {
    List<Finding> findings = new ArrayList<>();
    for (String file : files) {
      String text = InputFiles.read(file);
      findings.addAll(
          isDocument(file, text)
              ? DocumentReader.check(file, text)
              : SettingsReader.check(file, text));
    }
    findings.forEach(System.out::println);
    return findings.isEmpty() ? SUCCESS : FAILURE;
  }

  /** Returns whether the text has a section that is defined only in the document schema. */
  private static boolean isDocument(String file, String text) {
    return IniText.parse(file, text, new ArrayList<>()).sections().stream()
        .anyMatch(section -> DocumentSchema.SCHEMA.section(section.kind()).isPresent());
  }
}
