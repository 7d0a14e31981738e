package org.heatherspread.core.permit;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.heatherspread.core.permit.PermitVerification.Reason;
import org.heatherspread.core.record.RequestId;

/**
 * Signs permits and checks their signatures with HMAC-SHA-256 (RFC 2104).
 *
 * <p>Text form: {@code p1.KEY.ACCOUNT.EXPIRY.REQUEST.MAC}, each part but the first in base64url;
 * the MAC covers the text before its separator. Single use, ownership and expiry are enforced by
 * {@link org.heatherspread.core.record.OwnerTable}, not here. Immutable and thread-safe.
 */
public final class PermitSigner {
  private static final String VERSION = "p1";
  private static final String ALGORITHM = "HmacSHA256";
  private static final int PARTS = 6;

  private final PermitKey current;
  private final List<PermitKey> acceptedKeys;

  private PermitSigner(PermitKey current, List<PermitKey> acceptedKeys) {
    this.current = current;
    this.acceptedKeys = List.copyOf(acceptedKeys);
  }

  /** Creates a signer that signs with one key and accepts only signatures of this key. */
  public static PermitSigner create(PermitKey current) {
    return new PermitSigner(current, List.of(current));
  }

  /** Returns a copy that also accepts permits signed with another key, for key rotation. */
  public PermitSigner withAcceptedKey(PermitKey other) {
    List<PermitKey> keys = new ArrayList<>(acceptedKeys);
    keys.add(other);
    return new PermitSigner(current, keys);
  }

  /** Returns the signed text of a permit. */
  public String sign(ExecutionPermit permit) {
    String text =
        String.join(
            ".",
            VERSION,
            encode(current.id()),
            encode(permit.account()),
            encode(Long.toString(permit.expiresAtMillis())),
            encode(permit.id().toString()));
    return text + "." + encode(mac(current, text));
  }

  /** Verifies the text of a permit presented by a client account. */
  public PermitVerification verify(String text, String account) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != PARTS || !parts[0].equals(VERSION)) {
      return PermitVerification.rejected(Reason.MALFORMED);
    }
    try {
      return verify(text, parts, account);
    } catch (IllegalArgumentException e) {
      return PermitVerification.rejected(Reason.MALFORMED);
    }
  }

  private PermitVerification verify(String text, String[] parts, String account) {
    Optional<PermitKey> key = findKey(decode(parts[1]));
    if (key.isEmpty()) {
      return PermitVerification.rejected(Reason.UNKNOWN_KEY);
    }
    String expected = encode(mac(key.get(), text.substring(0, text.lastIndexOf('.'))));
    if (!MessageDigest.isEqual(utf8(expected), utf8(parts[5]))) {
      return PermitVerification.rejected(Reason.FORGED);
    }
    if (!decode(parts[2]).equals(account)) {
      return PermitVerification.rejected(Reason.OTHER_ACCOUNT);
    }
    long expiry = Long.parseLong(decode(parts[3]));
    return RequestId.parse(decode(parts[4]))
        .map(id -> PermitVerification.accepted(new ExecutionPermit(id, account, expiry)))
        .orElse(PermitVerification.rejected(Reason.MALFORMED));
  }

  private Optional<PermitKey> findKey(String id) {
    for (PermitKey key : acceptedKeys) {
      if (key.id().equals(id)) {
        return Optional.of(key);
      }
    }
    return Optional.empty();
  }

  private static byte[] mac(PermitKey key, String text) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(utf8(text));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("Java runtime lacks " + ALGORITHM, e);
    }
  }

  private static String encode(String text) {
    return encode(utf8(text));
  }

  private static String encode(byte[] bytes) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static String decode(String text) {
    return new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
  }

  private static byte[] utf8(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
