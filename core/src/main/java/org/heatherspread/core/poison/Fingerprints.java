package org.heatherspread.core.poison;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes fingerprints that identify requests by content, independently of their ids. Stateless.
 */
public final class Fingerprints {
  private Fingerprints() {}

  /** Returns the SHA-256 hash of service and body in lower-case hexadecimal. */
  public static String of(String service, byte[] body) {
    byte[] name = service.getBytes(StandardCharsets.UTF_8);
    return Hashing.sha256()
        .newHasher()
        .putInt(name.length)
        .putBytes(name)
        .putBytes(body)
        .hash()
        .toString();
  }
}
