package org.magnoliavale.internal.ini;

/** Renders the reference page of a schema as Markdown. */
public final class ReferencePage {
  private ReferencePage() {}

  /** Returns the page, with one table per kind of section. */
  public static String of(String title, String introduction, Schema schema) {
    StringBuilder page = new StringBuilder();
    page.append("# ").append(title).append("\n\n").append(introduction).append("\n");
    for (SectionDefinition section : schema.sections()) {
      page.append("\n## [").append(section.kind()).append(section.named() ? " NAME" : "");
      page.append("]\n\n").append(section.description()).append("\n\n");
      page.append("| key | value | unit | default | meaning |\n");
      page.append("| --- | --- | --- | --- | --- |\n");
      section.keys().forEach(key -> appendRow(page, key));
    }
    return page.toString();
  }

  private static void appendRow(StringBuilder page, KeyDefinition key) {
    String defaultText =
        key.optionalDefault()
            .map(text -> text.isEmpty() ? "(empty)" : text)
            .orElse("must be given");
    page.append("| `").append(key.name()).append("` | ").append(key.type().expectation());
    page.append(" | ").append(key.unit()).append(" | ").append(defaultText);
    page.append(" | ").append(key.description()).append(" |\n");
  }
}
