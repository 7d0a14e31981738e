package org.heatherspread.core.permit;

import java.util.Optional;

/**
 * The result of verifying the text of a permit. Immutable.
 *
 * @param reason why the permit was accepted or rejected
 * @param permit the permit; present only if it was accepted
 */
public record PermitVerification(Reason reason, Optional<ExecutionPermit> permit) {
  /** Reason for accepting or rejecting a permit. */
  public enum Reason {
    /** Accepted: signed with a known key for this account. */
    GENUINE,
    /** The text cannot be parsed. */
    MALFORMED,
    /** The permit names a key that this daemon does not have. */
    UNKNOWN_KEY,
    /** The signature does not match. */
    FORGED,
    /** The signature matches, but the permit was issued to another client account. */
    OTHER_ACCOUNT
  }

  static PermitVerification rejected(Reason reason) {
    return new PermitVerification(reason, Optional.empty());
  }

  static PermitVerification accepted(ExecutionPermit permit) {
    return new PermitVerification(Reason.GENUINE, Optional.of(permit));
  }
}
