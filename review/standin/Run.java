package review;

import java.nio.file.Path;

/** Runs one case by its name: exits with 1 if the rule was broken, 0 if it held, 2 on any error. */
public final class Run {
  private interface Case {
    int run(Path folder, Recorder recorder, boolean trouble) throws Exception;
  }

  private Run() {}

  /** Arguments: the case, a folder for settings and logs, and the file of the record. */
  public static void main(String[] arguments) {
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Case chosen =
        switch (arguments[0]) {
          case "late-answer" -> LateAnswer::run;
          case "pipelined" -> Pipelined::run;
          case "settings-change" -> SettingsChange::run;
          case "stop-late" -> StopLate::run;
          case "no-time-limit" -> NoTimeLimit::run;
          case "silence" -> SilentStreams::run;
          case "path" -> PathChange::run;
          default -> throw new IllegalArgumentException(arguments[0]);
        };
    try (Recorder recorder = new Recorder(Path.of(arguments[2]))) {
      int result = chosen.run(Path.of(arguments[1]), recorder, trouble);
      recorder.say("%s", result == 0 ? "the rule held" : "the rule was broken");
      return result;
    } catch (Exception | Error e) {
      e.printStackTrace();
      return 2;
    }
  }
}
