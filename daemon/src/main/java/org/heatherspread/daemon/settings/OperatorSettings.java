package org.heatherspread.daemon.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.heatherspread.daemon.http.KeyHash;
import org.heatherspread.settings.Section;

/**
 * Who may operate the deployment. Immutable; only hashes of keys are kept.
 *
 * @param operators operators by name and key hash
 */
public record OperatorSettings(List<Operator> operators) {
  private static final Pattern FORM = Pattern.compile("([\\w.@-]+):([0-9a-f]{64})");

  /** Copies the list, so that the record stays immutable. */
  public OperatorSettings {
    operators = List.copyOf(operators);
  }

  /** Reads the section {@code [operators]}. */
  public static OperatorSettings read(Section section) {
    List<Operator> found = new ArrayList<>();
    for (String entry : section.list("keys", List.of())) {
      var matcher = FORM.matcher(entry);
      if (!matcher.matches()) {
        section.addProblem(
            "keys", "\"" + entry + "\" is not NAME:SHA256-HEX of the operator's key");
        continue;
      }
      found.add(new Operator(matcher.group(1), matcher.group(2)));
    }
    return new OperatorSettings(found);
  }

  /** Finds the operator whose key this is, comparing each hash in constant time. */
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

  /** One operator. Immutable. */
  public record Operator(String name, String keyHash) {}
}
