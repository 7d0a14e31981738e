package org.heatherspread.daemon.record;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.record.CallOutcome;

/**
 * Records of requests in progress, each held by this daemon and by one in another failure domain.
 *
 * <p>Implementations are thread-safe.
 */
public interface RequestRecords {
  /**
   * Opens a record. The request is accepted once another daemon has stored the record; the future
   * then completes. It fails with a {@link org.heatherspread.core.error.ServingException}.
   */
  CompletableFuture<RecordHandle> open(RequestDescriptor request);

  /** Finds a record at this daemon or at one that may hold it. */
  CompletableFuture<Optional<RequestRecord>> find(String requestId);

  /** Makes this daemon the owner of a record; returns empty if no daemon holds it. */
  CompletableFuture<Optional<TakeoverResult>> takeOver(String requestId);

  /**
   * Returns the outcome of a call that must not be repeated; such calls have no {@link
   * RequestRecord}. Returns {@code NOT_HELD} if no daemon knows the id and {@code OTHER_REQUEST} if
   * the call belongs to another account.
   */
  default CompletableFuture<CallOutcome> callOutcome(String requestId, String account) {
    return CompletableFuture.completedFuture(CallOutcome.notHeld());
  }
}
