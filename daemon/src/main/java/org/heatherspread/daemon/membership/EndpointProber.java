package org.heatherspread.daemon.membership;

import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.Instance;

/** Checks whether endpoints are alive. Implementations are thread-safe. */
@FunctionalInterface
public interface EndpointProber {
  /**
   * Probes an endpoint.
   *
   * @return the incarnation that the endpoint reports, or 0 if it reports none; fails if the
   *     endpoint does not respond in time
   */
  CompletableFuture<Long> probe(Instance endpoint);
}
