package org.heatherspread.daemon;

import io.grpc.BindableService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.pekko.http.javadsl.server.Route;

/**
 * A part of the daemon with its own life cycle: created by a static factory, {@link #start} once,
 * any number of requests, {@link #drain} once, {@link #close} once.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface DaemonComponent extends AutoCloseable {
  /** Returns the HTTP routes of the component, if it has any. */
  default Optional<Route> routes() {
    return Optional.empty();
  }

  /** Returns the gRPC services for other daemons. */
  default List<BindableService> peerServices() {
    return List.of();
  }

  /** Starts timers and connections; called before the servers accept requests. */
  default void start() {}

  /**
   * Refuses new work and completes once all work in progress has ended or moved; the caller waits
   * no longer than the timeout.
   */
  default CompletableFuture<Void> drain(Duration timeout) {
    return CompletableFuture.completedFuture(null);
  }

  @Override
  default void close() {}
}
