package org.heatherspread.core.record;

/** The answer to an attempt to claim an idempotency key. */
public sealed interface ClaimResult {
  /**
   * The key is ours; the request may run under its draft.
   *
   * @param version version of the row that holds the claim
   */
  record Acquired(long version) implements ClaimResult {}

  /**
   * The same call holds the key under another request id.
   *
   * @param claim what the row says
   * @param version version of the row
   */
  record AlreadyClaimed(Claim claim, long version) implements ClaimResult {}
}
