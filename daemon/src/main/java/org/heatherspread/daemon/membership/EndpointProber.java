package org.heatherspread.daemon.membership;

import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.Instance;

/** Asks an endpoint whether it lives. Implementations are safe for use by any thread. */
@FunctionalInterface
public interface EndpointProber {
  /**
   * Probes an endpoint.
   *
   * @return the incarnation that the endpoint tells, or 0; fails if it does not answer in time
   */
  CompletableFuture<Long> probe(Instance endpoint);
}
