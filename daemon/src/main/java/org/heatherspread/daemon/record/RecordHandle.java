package org.heatherspread.daemon.record;

import java.util.concurrent.CompletableFuture;

/**
 * The owner's hold on one request record.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface RecordHandle {
  /** Returns the request id, which names the daemons that keep the record. */
  String requestId();

  /**
   * Records progress. The future completes when another daemon keeps it; it fails with a {@link
   * org.heatherspread.core.error.ServingException} when the record was closed or taken over.
   */
  CompletableFuture<Void> advance(RecordProgress progress);

  /** Closes the record; later calls change nothing. */
  void close(RecordOutcome outcome);

  /** Gives the record to a daemon that stays; completes when it is kept there. */
  CompletableFuture<Void> handOver();
}
