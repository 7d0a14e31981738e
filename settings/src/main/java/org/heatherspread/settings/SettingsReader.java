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
 * Reads a TOML settings file and collects all problems found in it. Life cycle: parse, read
 * sections, {@link #validate} once.
 *
 * <p>Confined to the thread that reads the settings.
 */
public final class SettingsReader {
  private static final ObjectMapper TOML = new TomlMapper();

  private final String file;
  private final KeyLineIndex keyLines;
  private final ObjectNode root;
  private final List<SettingsProblem> problems = new ArrayList<>();
  private final Map<String, String> declaredKeys = new TreeMap<>();

  private SettingsReader(String file, KeyLineIndex keyLines, ObjectNode root) {
    this.file = file;
    this.keyLines = keyLines;
    this.root = root;
  }

  /** Loads a file; {@link #validate} reports a file that cannot be read. */
  public static SettingsReader load(Path path) {
    try {
      return parse(path.toString(), Files.readString(path));
    } catch (IOException e) {
      SettingsReader reader = parse(path.toString(), "");
      reader.problems.add(new SettingsProblem(path.toString(), 0, "", "cannot be read: " + e));
      return reader;
    }
  }

  /** Parses the text of a file; {@link #validate} reports syntax errors. */
  public static SettingsReader parse(String file, String text) {
    KeyLineIndex keyLines = KeyLineIndex.of(text);
    try {
      JsonNode tree = TOML.readTree(text);
      ObjectNode root = tree instanceof ObjectNode table ? table : TOML.createObjectNode();
      return new SettingsReader(file, keyLines, root);
    } catch (JsonProcessingException e) {
      SettingsReader reader = new SettingsReader(file, keyLines, TOML.createObjectNode());
      int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
      reader.problems.add(
          new SettingsProblem(file, line, "", "not TOML: " + e.getOriginalMessage()));
      return reader;
    }
  }

  /** Returns the table at a dotted path, or an empty one if it is absent. */
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
   * Reports all problems of the file, which include keys that no section has read.
   *
   * @throws SettingsException with all problems, if there are any
   */
  public void validate() {
    checkUnknownKeys("", root);
    if (problems.isEmpty()) {
      return;
    }
    problems.sort(Comparator.comparingInt(SettingsProblem::line));
    throw SettingsException.of(problems);
  }

  /** Returns each key read so far, with a description of its type, range and default. */
  public Map<String, String> declaredKeys() {
    return Map.copyOf(declaredKeys);
  }

  void declareKey(String key, String type) {
    declaredKeys.put(key, type);
  }

  void addProblem(String key, String problem) {
    problems.add(new SettingsProblem(file, keyLines.lineOf(key), key, problem));
  }

  private void checkUnknownKeys(String path, JsonNode table) {
    for (Map.Entry<String, JsonNode> entry : table.properties()) {
      String key = path.isEmpty() ? entry.getKey() : path + "." + entry.getKey();
      if (declaredKeys.containsKey(key)) {
        continue;
      }
      if (entry.getValue().isObject() && isTable(key)) {
        checkUnknownKeys(key, entry.getValue());
        continue;
      }
      Optional<String> nearest = NearestName.of(key, declaredKeys.keySet());
      addProblem(key, "unknown key" + nearest.map(n -> "; did you mean " + n + "?").orElse(""));
    }
  }

  private boolean isTable(String path) {
    return declaredKeys.keySet().stream().anyMatch(key -> key.startsWith(path + "."));
  }
}
