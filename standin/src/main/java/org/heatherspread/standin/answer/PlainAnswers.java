package org.heatherspread.standin.answer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.heatherspread.standin.http.JsonHttp;

/**
 * The answers of the stand-in plain service: a pure function of method, path and body, so that a
 * caller can check an answer byte for byte. The registry of pet licences answers for tags and
 * renewals, the parking application for lots and bay reservations.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class PlainAnswers {
  private static final HashFunction FINGERPRINT = Hashing.farmHashFingerprint64();
  private static final String[] TAG_STATES = {"valid", "expired", "reported lost", "unknown"};
  private static final int RENEWAL_FEE_KURUS = 45_000;
  private static final int BAYS = 24;

  private PlainAnswers() {}

  /** Returns the JSON text that answers a call. */
  public static String answer(String method, String path, byte[] body) {
    long value = value(method, path, body);
    ObjectNode answer = JsonHttp.object();
    String last = path.substring(path.lastIndexOf('/') + 1);
    if (path.contains("/tags/")) {
      answer.put("tag", last).put("status", TAG_STATES[pick(value, TAG_STATES.length)]);
    } else if (path.contains("/renewals")) {
      answer.put("receipt", hex(value)).put("amount_kurus", RENEWAL_FEE_KURUS);
    } else if (path.contains("/lots/")) {
      answer.put("lot", path).put("free", pick(value, BAYS)).put("bays", BAYS);
    } else if (path.contains("/reservations")) {
      answer.put("reservation", hex(value)).put("bay", 1 + pick(value, BAYS));
    } else {
      answer.put("path", path).put("value", hex(value));
    }
    return JsonHttp.text(answer);
  }

  private static long value(String method, String path, byte[] body) {
    return FINGERPRINT
        .newHasher()
        .putString(method.toUpperCase(Locale.ROOT) + " " + path + "\n", StandardCharsets.UTF_8)
        .putBytes(body)
        .hash()
        .asLong();
  }

  private static int pick(long value, int bound) {
    return (int) Long.remainderUnsigned(value, bound);
  }

  private static String hex(long value) {
    return String.format(Locale.ROOT, "%016x", value);
  }
}
