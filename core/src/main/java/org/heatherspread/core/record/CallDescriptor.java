package org.heatherspread.core.record;

/**
 * Properties of a call that both record holders know from the start. Immutable.
 *
 * @param id the request id, which names the owner and the witness
 * @param account the client account that sent the call
 * @param digest digest of service, method, path and body; detects a different call under the same
 *     id
 * @param expiresAtMillis time after which no record holder starts the call, by its own clock;
 *     milliseconds since the epoch
 */
public record CallDescriptor(RequestId id, String account, String digest, long expiresAtMillis) {
  /** Returns whether the id, client account and digest are equal; the expiry may differ. */
  public boolean sameCall(CallDescriptor other) {
    return id.equals(other.id) && account.equals(other.account) && digest.equals(other.digest);
  }
}
