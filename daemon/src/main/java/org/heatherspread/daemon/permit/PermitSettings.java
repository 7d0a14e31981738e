package org.heatherspread.daemon.permit;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.permit.PermitKey;
import org.heatherspread.core.permit.PermitSigner;
import org.heatherspread.settings.Section;

/**
 * How permits are signed and how long they hold. Immutable.
 *
 * @param signer signs with the deployment's key; empty if there is none, then no permits are given
 *     and none are taken
 * @param lifetime how long a permit can be used after it was given
 * @param batchSize permits in one answer to a caller
 */
public record PermitSettings(Optional<PermitSigner> signer, Duration lifetime, int batchSize) {
  private static final Duration DEFAULT_LIFETIME = Duration.ofSeconds(60);
  private static final int DEFAULT_BATCH_SIZE = 16;
  private static final int MAX_BATCH_SIZE = 256;

  /** Returns the settings of a deployment without a key. */
  public static PermitSettings defaults() {
    return new PermitSettings(Optional.empty(), DEFAULT_LIFETIME, DEFAULT_BATCH_SIZE);
  }

  /** Returns a copy that signs with a signer. */
  public PermitSettings withSigner(PermitSigner newSigner) {
    return new PermitSettings(Optional.of(newSigner), lifetime, batchSize);
  }

  /** Reads the section {@code [permits]}; the keys come from the operators, the same everywhere. */
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
      section.fault(idName, "missing; each key has a name");
      return Optional.empty();
    }
    try {
      return Optional.of(PermitKey.of(id, secret));
    } catch (IllegalArgumentException e) {
      section.fault(secretName, e.getMessage());
      return Optional.empty();
    }
  }
}
