package org.heatherspread.daemon.record;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.record.CallOutcome;

/**
 * The records of requests in progress, each kept at this daemon and at one in another failure
 * domain.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface RequestRecords {
  /**
   * Opens a record. The future completes when another daemon keeps it, which is what makes the
   * request accepted; it fails with a {@link org.heatherspread.core.error.ServingException}.
   */
  CompletableFuture<RecordHandle> open(RequestDescriptor draft);

  /** Finds a record here or at the daemon that its id names. */
  CompletableFuture<Optional<RequestRecord>> find(String requestId);

  /** Makes this daemon the owner of a record; empty if no daemon keeps it. */
  CompletableFuture<Optional<TakeoverResult>> takeOver(String requestId);

  /**
   * Tells how a call stands that may not be repeated, which has no record of this kind; {@code
   * NOT_HELD} if no daemon knows the id, {@code OTHER_REQUEST} if it is another account's.
   */
  default CompletableFuture<CallOutcome> callOutcome(String requestId, String account) {
    return CompletableFuture.completedFuture(CallOutcome.notHeld());
  }
}
