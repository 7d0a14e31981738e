package org.heatherspread.backing.instances;

import java.util.concurrent.CompletableFuture;

/**
 * The platform's instance list.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface InstanceListClient {
  /** Fetches the list; fails with an {@link java.io.IOException} or a time-out. */
  CompletableFuture<InstanceListSnapshot> fetch();
}
