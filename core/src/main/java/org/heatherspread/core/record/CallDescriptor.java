package org.heatherspread.core.record;

/**
 * What both keepers of a record know of a call from the start. Immutable.
 *
 * @param id the request id, which names owner and witness
 * @param account the client account that sent it
 * @param digest digest of service, method, path and body; tells another call under the same id
 * @param expiresAtMillis no keeper lets the call start later, by its own clock; milliseconds since
 *     the epoch
 */
public record CallDescriptor(RequestId id, String account, String digest, long expiresAtMillis) {
  /** Tells whether another draft is the same call of the same account. */
  public boolean sameCall(CallDescriptor other) {
    return id.equals(other.id) && account.equals(other.account) && digest.equals(other.digest);
  }
}
