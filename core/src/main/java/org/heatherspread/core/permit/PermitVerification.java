package org.heatherspread.core.permit;

import java.util.Optional;

/**
 * The result of checking the text of a permit. Immutable.
 *
 * @param reason why it was taken or refused
 * @param permit the permit; present only if it is genuine
 */
public record PermitVerification(Reason reason, Optional<ExecutionPermit> permit) {
  /** Why a permit was taken or refused. */
  public enum Reason {
    /** Signed with a key of this deployment for this account. */
    GENUINE,
    /** Not the text of a permit. */
    MALFORMED,
    /** Names a key that this daemon does not have. */
    UNKNOWN_KEY,
    /** The signature is wrong. */
    FORGED,
    /** Genuine, but made for another client account. */
    OTHER_ACCOUNT
  }

  static PermitVerification rejected(Reason reason) {
    return new PermitVerification(reason, Optional.empty());
  }

  static PermitVerification accepted(ExecutionPermit permit) {
    return new PermitVerification(Reason.GENUINE, Optional.of(permit));
  }
}
