package org.heatherspread.backing.instances;

import java.util.concurrent.CompletableFuture;

/**
 * Fetches the platform's instance list.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface InstanceListClient {
  /** Fetches the list; the future fails with an {@link java.io.IOException} or a timeout. */
  CompletableFuture<InstanceListSnapshot> fetch();
}
