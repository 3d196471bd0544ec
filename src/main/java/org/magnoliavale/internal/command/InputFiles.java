package org.magnoliavale.internal.command;

import java.io.IOException;
import java.nio.file.Path;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/** Reads the files that are named on the command line. */
final class InputFiles {
  private InputFiles() {}

  static String read(String path) {
    try {
      return java.nio.file.Files.readString(Path.of(path));
    } catch (IOException e) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "cannot read file " + path);
    }
  }
}
