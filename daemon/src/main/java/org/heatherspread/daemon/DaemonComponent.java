package org.heatherspread.daemon;

import io.grpc.BindableService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.http.javadsl.server.Route;

/**
 * One concern of the daemon, wired by the daemon at start. Life cycle: built by a static factory,
 * {@link #start}, any number of requests, {@link #drain} once, {@link #close} once.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface DaemonComponent extends AutoCloseable {
  /** Returns the HTTP routes of the component, if it has any. */
  default Optional<Route> routes() {
    return Optional.empty();
  }

  /** Returns the services that other daemons call. */
  default List<BindableService> peerServices() {
    return List.of();
  }

  /** Starts timers and connections; called before the servers accept. */
  default void start() {}

  /** Stops taking new work and completes when all work in progress has ended or moved. */
  default CompletableFuture<Void> drain(Duration bound) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  default void close() {}
}
