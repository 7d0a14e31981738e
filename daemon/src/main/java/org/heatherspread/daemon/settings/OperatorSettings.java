package org.heatherspread.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.heatherspread.daemon.http.KeyHash;
import org.heatherspread.settings.Section;

/**
 * Operators of the deployment. Immutable; only hashes of their keys are stored.
 *
 * @param operators names and key hashes
 */
public record OperatorSettings(List<Operator> operators) {
  private static final Pattern ENTRY_FORMAT = Pattern.compile("([\\w.@-]+):([0-9a-f]{64})");

  /** Copies the list, so that the record stays immutable. */
  public OperatorSettings {
    operators = List.copyOf(operators);
  }

  /** Reads the section {@code [operators]}. */
  public static OperatorSettings read(Section section) {
    List<Operator> parsed = new ArrayList<>();
    for (String entry : section.list("keys", List.of())) {
      var matcher = ENTRY_FORMAT.matcher(entry);
      if (!matcher.matches()) {
        section.addProblem(
            "keys", "\"" + entry + "\" is not NAME:SHA256-HEX of the operator's key");
        continue;
      }
      parsed.add(new Operator(matcher.group(1), matcher.group(2)));
    }
    return new OperatorSettings(parsed);
  }

  /** Returns the name of the operator with a key; each hash is compared in constant time. */
  public Optional<String> findOperator(String key) {
    String hash = KeyHash.of(key);
    String match = null;
    for (Operator operator : operators) {
      if (KeyHash.matches(hash, operator.keyHash())) {
        match = operator.name();
      }
    }
    return Optional.ofNullable(match);
  }

  /** Name and key hash of an operator. Immutable. */
  public record Operator(String name, String keyHash) {}
}
