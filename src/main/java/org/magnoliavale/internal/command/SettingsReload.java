package org.magnoliavale.internal.command;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.jboss.logging.Logger;
import org.magnoliavale.MagnoliavaleException;
import org.magnoliavale.internal.ini.Schema;
import org.magnoliavale.internal.logging.Logs;

/**
 * Reads the settings file of a running instance again at each {@link ReloadSignal}. Keys that can
 * change in a running instance are applied; a line of the log names the others that have changed,
 * which need a restart. A file that is missing or has findings changes nothing.
 */
final class SettingsReload {
  private static final Logger LOG = Logs.of("instance");

  private final String file;
  private final String startText;
  private final Schema schema;
  private final Set<String> applicableKeys;
  private final Consumer<String> apply;
  private String text;

  /**
   * Returns the reload of a file.
   *
   * @param file path of the settings file
   * @param text the text that the instance was started with
   * @param schema schema of the file
   * @param applicableKeys keys that {@code apply} puts in force, each as {@code section.key}
   * @param apply receives a new text; throws {@link MagnoliavaleException} if it is invalid
   */
  SettingsReload(
      String file, String text, Schema schema, Set<String> applicableKeys, Consumer<String> apply) {
    this.file = file;
    startText = text;
    this.text = text;
    this.schema = schema;
    this.applicableKeys = applicableKeys;
    this.apply = apply;
  }

  /** Reloads the file at each signal, until the thread is interrupted. */
  void runAtEach(ReloadSignal signal) throws InterruptedException {
    while (true) {
      signal.await();
      reload();
    }
  }

  private void reload() {
    try {
      String newText = InputFiles.read(file);
      apply.accept(newText);
      List<String> applied = schema.changedKeys(file, text, newText);
      applied.retainAll(applicableKeys);
      List<String> needingRestart = schema.changedKeys(file, startText, newText);
      needingRestart.removeAll(applicableKeys);
      text = newText;
      LOG.infof(
          "Settings reloaded. file=%s applied=%s needing-restart=%s",
          file, applied, needingRestart);
    } catch (MagnoliavaleException e) {
      LOG.errorf(
          "Settings not reloaded. file=%s code=%s reason=%s findings=%s",
          file, e.code().code(), e.getMessage(), e.findings());
    } catch (RuntimeException e) {
      // An error here must not end the process, which serves on with its earlier settings.
      LOG.errorf(e, "Settings not reloaded. file=%s", file);
    }
  }
}
