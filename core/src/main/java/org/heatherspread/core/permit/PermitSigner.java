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
 * the MAC covers the text before it. That a permit is used once, by its owner, before its expiry is
 * for {@link org.heatherspread.core.record.OwnerTable} to see to. Immutable; safe for use by any
 * thread.
 */
public final class PermitSigner {
  private static final String VERSION = "p1";
  private static final String ALGORITHM = "HmacSHA256";
  private static final int PARTS = 6;

  private final PermitKey current;
  private final List<PermitKey> accepted;

  private PermitSigner(PermitKey current, List<PermitKey> accepted) {
    this.current = current;
    this.accepted = List.copyOf(accepted);
  }

  /** Creates a signer that signs with one key and accepts only it. */
  public static PermitSigner create(PermitKey current) {
    return new PermitSigner(current, List.of(current));
  }

  /** Returns a copy that accepts permits of another key as well, for the time of a rotation. */
  public PermitSigner withAcceptedKey(PermitKey other) {
    List<PermitKey> keys = new ArrayList<>(accepted);
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

  /** Checks the text of a permit that a client account brought. */
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
    Optional<PermitKey> key = key(decode(parts[1]));
    if (key.isEmpty()) {
      return PermitVerification.rejected(Reason.UNKNOWN_KEY);
    }
    String expected = encode(mac(key.get(), text.substring(0, text.lastIndexOf('.'))));
    if (!MessageDigest.isEqual(bytes(expected), bytes(parts[5]))) {
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

  private Optional<PermitKey> key(String id) {
    for (PermitKey key : accepted) {
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
      return mac.doFinal(bytes(text));
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
    }
  }

  private static String encode(String text) {
    return encode(bytes(text));
  }

  private static String encode(byte[] bytes) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private static String decode(String text) {
    return new String(Base64.getUrlDecoder().decode(text), StandardCharsets.UTF_8);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
