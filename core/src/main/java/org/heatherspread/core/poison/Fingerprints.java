package org.heatherspread.core.poison;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Computes fingerprints that identify requests by content, independently of their ids. Stateless.
 */
public final class Fingerprints {
  /** Length of the fingerprint of a request in hexadecimal digits. */
  private static final int REQUEST_DIGITS = 32;

  private Fingerprints() {}

  /**
   * Returns the fingerprint of a request. It does not depend on the service that runs the request,
   * which the configuration may change.
   *
   * @param target path and query
   * @param account client account, empty if the request has none
   */
  public static String ofRequest(String method, String target, String account, byte[] body) {
    return ofRequest(method, target, account, ByteBuffer.wrap(body));
  }

  /** Returns the same fingerprint for a body in a buffer, which is consumed. */
  public static String ofRequest(String method, String target, String account, ByteBuffer body) {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String text : new String[] {method, target, account}) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.putBytes(body).hash().toString().substring(0, REQUEST_DIGITS);
  }

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
