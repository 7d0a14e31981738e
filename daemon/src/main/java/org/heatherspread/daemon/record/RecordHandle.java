package org.heatherspread.daemon.record;

import java.util.concurrent.CompletableFuture;

/**
 * Write access of the owner to one request record.
 *
 * <p>Implementations are thread-safe.
 */
public interface RecordHandle {
  /** Returns the request id, which names the daemons that hold the record. */
  String requestId();

  /**
   * Records progress. The future completes once the update is replicated, or stored on this daemon
   * only if no other daemon can store it. It fails with a {@link
   * org.heatherspread.core.error.ServingException} if the record was closed or taken over.
   */
  CompletableFuture<Void> advance(RecordProgress progress);

  /** Closes the record with its outcome; further calls have no effect. */
  void close(RecordOutcome outcome);

  /** Copies the record to a daemon that is not leaving; completes once it is stored there. */
  CompletableFuture<Void> handOver();
}
