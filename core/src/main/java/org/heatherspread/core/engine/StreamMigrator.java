package org.heatherspread.core.engine;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.serving.HostPort;

/** Moves running streams between model endpoints together with their memory. */
public interface StreamMigrator {
  /**
   * Stops a run and copies its memory to another endpoint.
   *
   * @param requestId id under which the source runs the request
   * @return what the request is sent with to the target to go on there; empty if the run was not
   *     moved, in which case it may have stopped or not
   */
  CompletableFuture<Optional<String>> migrate(HostPort source, String requestId, HostPort target);

  /** Frees a copy that is not used. */
  void discardCopy(HostPort source, String copy);
}
