package org.heatherspread.core.poison;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/** Names a request by what it asks, so that it is known again under any id. Stateless. */
public final class Fingerprints {
  private Fingerprints() {}

  /** Returns the SHA-256 of service and body in lower-case hex. */
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
