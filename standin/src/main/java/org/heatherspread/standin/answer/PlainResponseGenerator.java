package org.heatherspread.standin.answer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.heatherspread.standin.http.JsonHttp;

/**
 * Generates the responses of the stand-in plain service. They depend only on method, path and body,
 * so that a caller can compare a response byte for byte. The simulated services are a registry of
 * pet licences with tags and renewals, and a parking application with lots and bay reservations.
 *
 * <p>Stateless and thread-safe.
 */
public final class PlainResponseGenerator {
  private static final HashFunction FINGERPRINT = Hashing.farmHashFingerprint64();
  private static final String[] TAG_STATES = {"valid", "expired", "reported lost", "unknown"};
  private static final int RENEWAL_FEE_KURUS = 45_000;
  private static final int BAYS = 24;

  private PlainResponseGenerator() {}

  /** Returns the JSON body of the response to a request. */
  public static String generate(String method, String path, byte[] body) {
    long hash = hash(method, path, body);
    ObjectNode response = JsonHttp.newObject();
    String lastSegment = path.substring(path.lastIndexOf('/') + 1);
    if (path.contains("/tags/")) {
      response
          .put("tag", lastSegment)
          .put("status", TAG_STATES[boundedValue(hash, TAG_STATES.length)]);
    } else if (path.contains("/renewals")) {
      response.put("receipt", hex(hash)).put("amount_kurus", RENEWAL_FEE_KURUS);
    } else if (path.contains("/lots/")) {
      response.put("lot", path).put("free", boundedValue(hash, BAYS)).put("bays", BAYS);
    } else if (path.contains("/reservations")) {
      response.put("reservation", hex(hash)).put("bay", 1 + boundedValue(hash, BAYS));
    } else {
      response.put("path", path).put("value", hex(hash));
    }
    return JsonHttp.toJson(response);
  }

  private static long hash(String method, String path, byte[] body) {
    return FINGERPRINT
        .newHasher()
        .putString(method.toUpperCase(Locale.ROOT) + " " + path + "\n", StandardCharsets.UTF_8)
        .putBytes(body)
        .hash()
        .asLong();
  }

  private static int boundedValue(long hash, int bound) {
    return (int) Long.remainderUnsigned(hash, bound);
  }

  private static String hex(long hash) {
    return String.format(Locale.ROOT, "%016x", hash);
  }
}
