package org.heatherspread.core.permit;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A secret that all daemons of a deployment share, to sign permits. Immutable.
 *
 * <p>Holds the secret in memory; {@code toString} does not show it.
 */
public final class PermitKey {
  /** Secrets shorter than this many bytes are refused. */
  public static final int MIN_SECRET_BYTES = 16;

  private final String id;
  private final byte[] secret;

  private PermitKey(String id, byte[] secret) {
    this.id = id;
    this.secret = secret;
  }

  /** Creates a key; throws {@code IllegalArgumentException} if the secret is too short. */
  public static PermitKey of(String id, String secret) {
    byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
    if (bytes.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException("permit key needs " + MIN_SECRET_BYTES + " bytes");
    }
    return new PermitKey(Objects.requireNonNull(id), bytes);
  }

  /** Returns the name of the key, which permits carry. */
  public String id() {
    return id;
  }

  byte[] secret() {
    return secret.clone();
  }

  @Override
  public String toString() {
    return "PermitKey[" + id + "]";
  }
}
