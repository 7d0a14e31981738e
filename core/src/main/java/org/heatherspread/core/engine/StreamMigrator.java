package org.heatherspread.core.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.serving.HostPort;

/** Migrates running streams between model endpoints together with their KV caches. */
public interface StreamMigrator {
  /**
   * Stops a run and copies its KV cache to another endpoint.
   *
   * @param requestId id under which the source runs the request
   * @return reference to the copy, to be sent with the request to the target; empty if the run was
   *     not migrated, in which case it may or may not have stopped
   */
  CompletableFuture<Optional<String>> migrate(HostPort source, String requestId, HostPort target);

  /** Frees an unused copy. */
  void discardCopy(HostPort source, String copy);
}
