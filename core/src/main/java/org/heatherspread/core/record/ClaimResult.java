package org.heatherspread.core.record;

/** Result of an attempt to claim an idempotency key. */
public sealed interface ClaimResult {
  /**
   * The key was claimed; the call may run.
   *
   * @param version version of the row that holds the claim
   */
  record Acquired(long version) implements ClaimResult {}

  /**
   * The same call already holds the key under another request id.
   *
   * @param claim the claim in the row
   * @param version version of the row
   */
  record AlreadyClaimed(Claim claim, long version) implements ClaimResult {}
}
