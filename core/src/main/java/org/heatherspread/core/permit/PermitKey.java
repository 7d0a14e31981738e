package org.heatherspread.core.permit;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/**
 * A secret key for signing permits, shared by all daemons of a deployment. Immutable.
 *
 * <p>{@link #toString} does not reveal the secret.
 */
public final class PermitKey {
  /** Minimum length of a secret in bytes. */
  public static final int MIN_SECRET_BYTES = 16;

  private final String id;
  private final byte[] secret;

  private PermitKey(String id, byte[] secret) {
    this.id = id;
    this.secret = secret;
  }

  /**
   * Creates a key.
   *
   * @throws IllegalArgumentException if the secret is shorter than {@link #MIN_SECRET_BYTES}
   */
  public static PermitKey of(String id, String secret) {
    byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
    if (bytes.length < MIN_SECRET_BYTES) {
      throw new IllegalArgumentException(
          "secret of a permit key is shorter than " + MIN_SECRET_BYTES + " bytes");
    }
    return new PermitKey(Objects.requireNonNull(id), bytes);
  }

  /** Returns the id of the key, which permits contain. */
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
