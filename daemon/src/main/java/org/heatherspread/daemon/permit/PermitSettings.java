package org.heatherspread.daemon.permit;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.permit.PermitKey;
import org.heatherspread.core.permit.PermitSigner;
import org.heatherspread.settings.Section;

/**
 * Settings of execution permits. Immutable.
 *
 * @param signer signer with the deployment's key; empty if no key is configured, in which case
 *     permits are neither issued nor accepted
 * @param lifetime time for which a permit is valid after its issue
 * @param batchSize number of permits in one response to a caller
 */
public record PermitSettings(Optional<PermitSigner> signer, Duration lifetime, int batchSize) {
  private static final Duration DEFAULT_LIFETIME = Duration.ofSeconds(60);
  private static final int DEFAULT_BATCH_SIZE = 16;
  private static final int MAX_BATCH_SIZE = 256;

  /** Returns the settings of a deployment without a key. */
  public static PermitSettings defaults() {
    return new PermitSettings(Optional.empty(), DEFAULT_LIFETIME, DEFAULT_BATCH_SIZE);
  }

  /** Returns a copy with the given signer. */
  public PermitSettings withSigner(PermitSigner newSigner) {
    return new PermitSettings(Optional.of(newSigner), lifetime, batchSize);
  }

  /** Reads the section {@code [permits]}. All daemons must be configured with the same keys. */
  public static PermitSettings read(Section section) {
    Optional<PermitKey> current = key(section, "key_id", "key");
    Optional<PermitKey> previous = key(section, "previous_key_id", "previous_key");
    return new PermitSettings(
        current.map(
            key ->
                previous
                    .map(previousKey -> PermitSigner.create(key).withAcceptedKey(previousKey))
                    .orElse(PermitSigner.create(key))),
        section.duration("life", DEFAULT_LIFETIME, Duration.ofSeconds(1), Duration.ofMinutes(30)),
        section.integer("batch", DEFAULT_BATCH_SIZE, 1, MAX_BATCH_SIZE));
  }

  private static Optional<PermitKey> key(Section section, String idName, String secretName) {
    String id = section.text(idName, "");
    String secret = section.text(secretName, "");
    if (secret.isEmpty()) {
      return Optional.empty();
    }
    if (id.isEmpty()) {
      section.addProblem(idName, "missing; a key requires an id");
      return Optional.empty();
    }
    try {
      return Optional.of(PermitKey.of(id, secret));
    } catch (IllegalArgumentException e) {
      section.addProblem(secretName, e.getMessage());
      return Optional.empty();
    }
  }
}
