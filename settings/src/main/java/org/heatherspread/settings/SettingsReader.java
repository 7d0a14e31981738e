package org.heatherspread.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.heatherspread.settings.impl.KeyLineIndex;
import org.heatherspread.settings.impl.NearestName;

/**
 * Reads one TOML file of settings and gathers all that is wrong with it. Life cycle: parse, read
 * sections, {@link #validate} once.
 *
 * <p>Confined to the thread that reads the settings.
 */
public final class SettingsReader {
  private static final ObjectMapper TOML = new TomlMapper();

  private final String file;
  private final KeyLineIndex lines;
  private final ObjectNode root;
  private final List<SettingsProblem> problems = new ArrayList<>();
  private final Map<String, String> declared = new TreeMap<>();

  private SettingsReader(String file, KeyLineIndex lines, ObjectNode root) {
    this.file = file;
    this.lines = lines;
    this.root = root;
  }

  // ---------------------------------------------------------------------------------------------
  // Reading
  // ---------------------------------------------------------------------------------------------

  /** Loads a file; a file that cannot be read is a fault found by {@link #validate}. */
  public static SettingsReader load(Path path) {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      SettingsReader reader = parse(path.toString(), "");
      reader.problems.add(new SettingsProblem(path.toString(), 0, "", "cannot be read: " + e));
      return reader;
    }
  }

  /** Parses the text of a file; a syntax error is a fault found by {@link #validate}. */
  public static SettingsReader parse(String file, String text) {
    KeyLineIndex lines = KeyLineIndex.of(text);
    try {
      JsonNode tree = TOML.readTree(text);
      ObjectNode root = tree instanceof ObjectNode table ? table : TOML.createObjectNode();
      return new SettingsReader(file, lines, root);
    } catch (JsonProcessingException e) {
      SettingsReader reader = new SettingsReader(file, lines, TOML.createObjectNode());
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      reader.problems.add(
          new SettingsProblem(file, line, "", "not TOML: " + e.getOriginalMessage()));
      return reader;
    }
  }

  /** Returns a table by its dotted path; a table that is absent reads as empty. */
  public Section section(String path) {
    JsonNode table = root;
    for (String name : path.split("\\.")) {
      JsonNode child = table.get(name);
      if (child != null && !child.isObject()) {
        addProblem(path, "must be a table");
        child = null;
      }
      table = child == null ? TOML.createObjectNode() : child;
    }
    return new Section(this, path, table);
  }

  /**
   * Ends the reading: keys that no section asked for are problems too.
   *
   * @throws SettingsException with all problems, if there are any
   */
  public void validate() {
    checkUnknown("", root);
    if (problems.isEmpty()) {
      return;
    }
    problems.sort(Comparator.comparingInt(SettingsProblem::line));
    throw SettingsException.of(problems);
  }

  /** Returns each key asked for so far, with its type, range and default in words. */
  public Map<String, String> declaredKeys() {
    return Map.copyOf(declared);
  }

  // ---------------------------------------------------------------------------------------------
  // For sections
  // ---------------------------------------------------------------------------------------------

  void declare(String key, String type) {
    declared.put(key, type);
  }

  void addProblem(String key, String problem) {
    problems.add(new SettingsProblem(file, lines.lineOf(key), key, problem));
  }

  private void checkUnknown(String path, JsonNode table) {
    for (Map.Entry<String, JsonNode> entry : table.properties()) {
      String key = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
      if (declared.containsKey(key)) {
        continue;
      }
      if (entry.getValue().isObject() && isTable(key)) {
        checkUnknown(key, entry.getValue());
        continue;
      }
      Optional<String> nearest = NearestName.of(key, declared.keySet());
      addProblem(key, "unknown key" + nearest.map(n -> "; did you mean " + n + "?").orElse(""));
    }
  }

  private boolean isTable(String path) {
    return declared.keySet().stream().anyMatch(key -> key.startsWith(path + "."));
  }
}
