package org.heatherspread.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.heatherspread.settings.impl.DurationFormat;

/**
 * One table of a settings file. Each read declares a key, checks its type and range, and returns
 * the default where the key is absent or wrong; faults gather in the {@link SettingsReader}.
 *
 * <p>Confined to the thread that reads the settings.
 */
public final class Section {
  private final SettingsReader reader;
  private final String path;
  private final JsonNode table;

  Section(SettingsReader reader, String path, JsonNode table) {
    this.reader = reader;
    this.path = path;
    this.table = table;
  }

  // ---------------------------------------------------------------------------------------------
  // Values
  // ---------------------------------------------------------------------------------------------

  /** Reads a text that must be present. */
  public String text(String name) {
    String found = read(name, "text, required", "", Section::asText);
    if (!table.has(name)) {
      reader.addProblem(key(name), "missing; a text is required");
    }
    return found;
  }

  /** Reads a text. */
  public String text(String name, String fallback) {
    return read(name, "text, default \"" + fallback + "\"", fallback, Section::asText);
  }

  /** Reads one of an enum's constants, written in lower case. */
  public <E extends Enum<E>> E choice(String name, E fallback) {
    List<String> words = new ArrayList<>();
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      words.add(word(constant));
    }
    String found = read(name, "one of " + words, word(fallback), Section::asText);
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      if (word(constant).equals(found)) {
        return constant;
      }
    }
    reader.addProblem(key(name), "\"" + found + "\" is not one of " + words);
    return fallback;
  }

  /** Reads a whole number within bounds, both included. */
  public int integer(String name, int fallback, int min, int max) {
    String type = "integer " + min + " to " + max + ", default " + fallback;
    return read(
        name,
        type,
        fallback,
        node -> {
          if (!node.isIntegralNumber()) {
            throw new IllegalArgumentException("must be a whole number");
          }
          return (int) within(node.asLong(), min, max);
        });
  }

  /** Reads a decimal number within bounds, both included. */
  public double decimal(String name, double fallback, double min, double max) {
    String type = "decimal " + min + " to " + max + ", default " + fallback;
    return read(
        name,
        type,
        fallback,
        node -> {
          if (!node.isNumber()) {
            throw new IllegalArgumentException("must be a number");
          }
          if (node.asDouble() < min || node.asDouble() > max) {
            throw new IllegalArgumentException("must be from " + min + " to " + max);
          }
          return node.asDouble();
        });
  }

  /** Reads true or false. */
  public boolean flag(String name, boolean fallback) {
    return read(
        name,
        "true or false, default " + fallback,
        fallback,
        node -> {
          if (!node.isBoolean()) {
            throw new IllegalArgumentException("must be true or false");
          }
          return node.asBoolean();
        });
  }

  /** Reads an interval such as {@code "250ms"}, {@code "4s"} or {@code "2m"} within bounds. */
  public Duration duration(String name, Duration fallback, Duration min, Duration max) {
    String type =
        "duration %s to %s, default %s"
            .formatted(
                DurationFormat.format(min),
                DurationFormat.format(max),
                DurationFormat.format(fallback));
    return read(
        name,
        type,
        fallback,
        node -> {
          Duration found = DurationFormat.parse(asText(node));
          if (found.compareTo(min) < 0 || found.compareTo(max) > 0) {
            throw new IllegalArgumentException(
                "must be from " + DurationFormat.format(min) + " to " + DurationFormat.format(max));
          }
          return found;
        });
  }

  /** Reads a list of texts. */
  public List<String> list(String name, List<String> fallback) {
    return read(
        name,
        "list of texts, default " + fallback,
        fallback,
        node -> {
          if (!node.isArray()) {
            throw new IllegalArgumentException("must be a list of texts");
          }
          List<String> found = new ArrayList<>();
          node.forEach(item -> found.add(asText(item)));
          return List.copyOf(found);
        });
  }

  /** Reports a fault that only the reader of the settings can see, such as two values at odds. */
  public void addProblem(String name, String problem) {
    reader.addProblem(key(name), problem);
  }

  // ---------------------------------------------------------------------------------------------
  // Internals
  // ---------------------------------------------------------------------------------------------

  private String key(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private <T> T read(String name, String type, T fallback, Function<JsonNode, T> parse) {
    reader.declare(key(name), type);
    JsonNode node = table.get(name);
    if (node == null) {
      return fallback;
    }
    try {
      return parse.apply(node);
    } catch (IllegalArgumentException e) {
      reader.addProblem(key(name), e.getMessage());
      return fallback;
    }
  }

  private static String asText(JsonNode node) {
    if (!node.isTextual()) {
      throw new IllegalArgumentException("must be a text in quotes");
    }
    return node.asText();
  }

  private static long within(long value, long min, long max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          "must be from " + min + " to " + max + ", but is " + value);
    }
    return value;
  }

  private static String word(Enum<?> constant) {
    return constant.name().toLowerCase(java.util.Locale.ROOT);
  }
}
