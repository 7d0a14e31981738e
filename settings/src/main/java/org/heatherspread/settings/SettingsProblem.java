package org.heatherspread.settings;

/**
 * A problem in a settings file. Immutable.
 *
 * @param file name of the file
 * @param line line in the file, starting at 1; 0 if unknown
 * @param key dotted key, such as {@code daemon.http_port}
 * @param problem cause of the problem and the expected form
 */
public record SettingsProblem(String file, int line, String key, String problem) {
  @Override
  public String toString() {
    String location = line > 0 ? file + ":" + line : file;
    return key.isEmpty() ? location + ": " + problem : location + ": " + key + ": " + problem;
  }
}
