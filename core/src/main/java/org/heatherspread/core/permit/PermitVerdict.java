package org.heatherspread.core.permit;

import java.util.Optional;

/**
 * The result of checking the text of a permit. Immutable.
 *
 * @param reason why it was taken or refused
 * @param permit the permit; present only if it is genuine
 */
public record PermitVerdict(Reason reason, Optional<ExecutionPermit> permit) {
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

  static PermitVerdict refused(Reason reason) {
    return new PermitVerdict(reason, Optional.empty());
  }

  static PermitVerdict genuine(ExecutionPermit permit) {
    return new PermitVerdict(Reason.GENUINE, Optional.of(permit));
  }
}
