package org.heatherspread.settings.impl;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of each key in a TOML file, since the parser keeps no positions. Knows table
 * headers and {@code key = value} lines, which is what the settings files use.
 *
 * <p>Immutable once built.
 */
public final class KeyLineIndex {
  private static final Pattern HEADER = Pattern.compile("\\s*\\[\\s*([\\w.\\-]+)\\s*]\\s*(#.*)?");
  private static final Pattern ASSIGNMENT = Pattern.compile("\\s*([\\w.\\-]+)\\s*=.*");

  private final Map<String, Integer> lines = new HashMap<>();

  private KeyLineIndex() {}

  /** Scans the text of a file. */
  public static KeyLineIndex of(String text) {
    KeyLineIndex found = new KeyLineIndex();
    String table = "";
    int line = 0;
    for (String content : text.split("\n", -1)) {
      line++;
      Matcher header = HEADER.matcher(content);
      if (header.matches()) {
        table = header.group(1);
        found.lines.putIfAbsent(table, line);
        continue;
      }
      Matcher assignment = ASSIGNMENT.matcher(content);
      if (assignment.matches()) {
        String name = assignment.group(1);
        found.lines.putIfAbsent(table.isEmpty() ? name : table + "." + name, line);
      }
    }
    return found;
  }

  /** Returns the line of a dotted key, or of the nearest table that holds it; 0 if none does. */
  public int lineOf(String key) {
    String path = key;
    while (true) {
      Integer line = lines.get(path);
      if (line != null) {
        return line;
      }
      int dot = path.lastIndexOf('.');
      if (dot < 0) {
        return 0;
      }
      path = path.substring(0, dot);
    }
  }
}
