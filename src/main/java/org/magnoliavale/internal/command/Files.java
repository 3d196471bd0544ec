package org.magnoliavale.internal.command;

import java.io.IOException;
import java.nio.file.Path;
import org.magnoliavale.ErrorCode;
import org.magnoliavale.MagnoliavaleException;

/** Reads the files that a command line names. */
final class Files {
  private Files() {}

  static String read(String path) {
    try {
      return java.nio.file.Files.readString(Path.of(path));
    } catch (IOException e) {
      throw MagnoliavaleException.of(ErrorCode.NOT_FOUND, "can't read " + path);
    }
  }
}
