package org.heatherspread.settings.impl;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps the keys of a TOML file to their lines, since the parser keeps no positions. Recognizes only
 * table headers and {@code key = value} lines, the forms used in settings files.
 *
 * <p>Immutable once built.
 */
public final class KeyLineIndex {
  private static final Pattern TABLE_HEADER =
      Pattern.compile("\\s*\\[\\s*([\\w.\\-]+)\\s*]\\s*(#.*)?");
  private static final Pattern ASSIGNMENT = Pattern.compile("\\s*([\\w.\\-]+)\\s*=.*");

  private final Map<String, Integer> lines = new HashMap<>();

  private KeyLineIndex() {}

  /** Builds the index from the text of a file. */
  public static KeyLineIndex of(String text) {
    KeyLineIndex index = new KeyLineIndex();
    String table = "";
    int line = 0;
    for (String content : text.split("\n", -1)) {
      line++;
      Matcher header = TABLE_HEADER.matcher(content);
      if (header.matches()) {
        table = header.group(1);
        index.lines.putIfAbsent(table, line);
        continue;
      }
      Matcher assignment = ASSIGNMENT.matcher(content);
      if (assignment.matches()) {
        String name = assignment.group(1);
        index.lines.putIfAbsent(table.isEmpty() ? name : table + "." + name, line);
      }
    }
    return index;
  }

  /**
   * Returns the line of a dotted key, or of the nearest enclosing table; 0 if neither is present.
   */
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
