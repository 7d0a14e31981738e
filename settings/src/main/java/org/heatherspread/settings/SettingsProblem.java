package org.heatherspread.settings;

/**
 * One thing wrong with a settings file. Immutable.
 *
 * @param file name of the file
 * @param line line in the file, counted from 1; 0 where the key is missing altogether
 * @param key dotted key, such as {@code daemon.http_port}
 * @param problem what is wrong and what would be right
 */
public record SettingsProblem(String file, int line, String key, String problem) {
  @Override
  public String toString() {
    String place = line > 0 ? file + ":" + line : file;
    return key.isEmpty() ? place + ": " + problem : place + ": " + key + ": " + problem;
  }
}
