package org.heatherspread.cli.impl;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Prints results as JSON or as text, depending on the mode. In JSON mode callers print results with
 * {@link #printJson} only.
 *
 * <p>Not thread-safe.
 */
public final class Printer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String GAP = "  ";

  private final PrintStream out;
  private final boolean json;

  private Printer(PrintStream out, boolean json) {
    this.out = out;
    this.json = json;
  }

  /** Creates a printer. */
  public static Printer create(PrintStream out, boolean json) {
    return new Printer(out, json);
  }

  /** Returns whether the output is JSON. */
  public boolean isJson() {
    return json;
  }

  /** Prints a line in text mode; does nothing in JSON mode. */
  public void printLine(String text) {
    if (!json) {
      out.println(text);
    }
  }

  /** Prints a tree as JSON on one line. */
  public void printJson(JsonNode tree) {
    try {
      out.println(JSON.writeValueAsString(tree));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON tree", e);
    }
  }

  /** Prints an array as a table with a heading and one row for each element. */
  public void printTable(JsonNode rows, List<Column> columns) {
    List<List<String>> cells = new ArrayList<>();
    cells.add(columns.stream().map(Column::title).toList());
    for (JsonNode row : rows) {
      cells.add(columns.stream().map(column -> formatCell(row.at(column.pointer()))).toList());
    }
    int[] widths = columnWidths(cells, columns.size());
    for (List<String> row : cells) {
      out.println(formatRow(row, widths));
    }
  }

  /** Prints the members of an object, one per line; those of nested objects are indented. */
  public void printObject(JsonNode tree, String indent) {
    for (Map.Entry<String, JsonNode> member : tree.properties()) {
      JsonNode value = member.getValue();
      if (value.isValueNode()) {
        out.println(indent + member.getKey() + ": " + value.asText());
        continue;
      }
      if (value.isEmpty()) {
        continue;
      }
      out.println(indent + member.getKey() + ":");
      if (value.isObject()) {
        printObject(value, indent + GAP);
        continue;
      }
      for (JsonNode item : value) {
        out.println(indent + GAP + "- " + formatCell(item));
      }
    }
  }

  private static String formatCell(JsonNode value) {
    if (value.isMissingNode() || value.isNull()) {
      return "-";
    }
    return value.isValueNode() ? value.asText() : value.toString();
  }

  private static int[] columnWidths(List<List<String>> cells, int columns) {
    int[] widths = new int[columns];
    for (List<String> row : cells) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return widths;
  }

  private static String formatRow(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String text = row.get(i);
      line.append(text).append(" ".repeat(widths[i] - text.length())).append(GAP);
    }
    return line.toString().stripTrailing();
  }

  /** A column of a table. Immutable. {@code pointer} is the JSON pointer (RFC 6901) of its cell. */
  public record Column(String title, String pointer) {}
}
