package org.heatherspread.settings;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.heatherspread.settings.impl.DurationFormat;

/**
 * A table of a settings file. Each read declares a key, checks its type and range, and returns the
 * default if the key is absent or invalid; problems are collected in the {@link SettingsReader}.
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

  /** Reads a required string. */
  public String text(String name) {
    String value = read(name, "text, required", "", Section::requireText);
    if (!table.has(name)) {
      reader.addProblem(key(name), "missing; a text is required");
    }
    return value;
  }

  /** Reads a string. */
  public String text(String name, String fallback) {
    return read(name, "text, default \"" + fallback + "\"", fallback, Section::requireText);
  }

  /** Reads a constant of an enum, written in lower case. */
  public <E extends Enum<E>> E choice(String name, E fallback) {
    List<String> allowed = new ArrayList<>();
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      allowed.add(settingValue(constant));
    }
    String value = read(name, "one of " + allowed, settingValue(fallback), Section::requireText);
    for (E constant : fallback.getDeclaringClass().getEnumConstants()) {
      if (settingValue(constant).equals(value)) {
        return constant;
      }
    }
    reader.addProblem(key(name), "\"" + value + "\" is not one of " + allowed);
    return fallback;
  }

  /** Reads an integer between two bounds, both inclusive. */
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
          return (int) checkRange(node.asLong(), min, max);
        });
  }

  /** Reads a decimal number between two bounds, both inclusive. */
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

  /** Reads a boolean. */
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

  /**
   * Reads a duration such as {@code "250ms"}, {@code "4s"} or {@code "2m"} between two bounds, both
   * inclusive.
   */
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
          Duration value = DurationFormat.parse(requireText(node));
          if (value.compareTo(min) < 0 || value.compareTo(max) > 0) {
            throw new IllegalArgumentException(
                "must be from " + DurationFormat.format(min) + " to " + DurationFormat.format(max));
          }
          return value;
        });
  }

  /** Reads a list of strings. */
  public List<String> list(String name, List<String> fallback) {
    return read(
        name,
        "list of texts, default " + fallback,
        fallback,
        node -> {
          if (!node.isArray()) {
            throw new IllegalArgumentException("must be a list of texts");
          }
          List<String> value = new ArrayList<>();
          node.forEach(item -> value.add(requireText(item)));
          return List.copyOf(value);
        });
  }

  /** Adds a problem that only the caller can detect, such as two conflicting values. */
  public void addProblem(String name, String problem) {
    reader.addProblem(key(name), problem);
  }

  private String key(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private <T> T read(String name, String type, T fallback, Function<JsonNode, T> converter) {
    reader.declareKey(key(name), type);
    JsonNode node = table.get(name);
    if (node == null) {
      return fallback;
    }
    try {
      return converter.apply(node);
    } catch (IllegalArgumentException e) {
      reader.addProblem(key(name), e.getMessage());
      return fallback;
    }
  }

  private static String requireText(JsonNode node) {
    if (!node.isTextual()) {
      throw new IllegalArgumentException("must be a text in quotes");
    }
    return node.asText();
  }

  private static long checkRange(long value, long min, long max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          "must be from " + min + " to " + max + ", but is " + value);
    }
    return value;
  }

  private static String settingValue(Enum<?> constant) {
    return constant.name().toLowerCase(java.util.Locale.ROOT);
  }
}
