package org.heatherspread.relay.call;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.stream.StreamOrigin;

/**
 * Origins of the streams of all daemons, so that a stream continues at the version that began it.
 * Confined to one event loop, on which the returned futures complete.
 */
public interface StreamOrigins {
  /**
   * Records the origin of a stream when its first event is forwarded.
   *
   * @param attemptId id of the caller's attempt that the stream answers
   * @param callerWaitMillis time for which the caller waits for its answer, and so may resume the
   *     stream; about {@code Long.MAX_VALUE} if unknown
   */
  void record(String attemptId, StreamOrigin origin, long callerWaitMillis);

  /** Records that a stream is complete, so that no caller resumes it. */
  void complete(String attemptId);

  /**
   * Finds the origin of a stream.
   *
   * @param attemptId id of the attempt that began it, empty if its caller does not name it; the
   *     origin is then known only if all recent streams of the service have the same one
   * @param service service that the request to resume it is routed to
   * @param callerWaitMillis time for which the caller still waits, about {@code Long.MAX_VALUE} if
   *     unknown
   * @return empty if it is not known; never fails
   */
  CompletableFuture<Optional<StreamOrigin>> find(
      String attemptId, String service, long callerWaitMillis);

  /**
   * Returns the version at which a new stream should begin, so that its origin is found by all
   * daemons from the attempt's id.
   *
   * @return empty if it may begin anywhere
   */
  Optional<String> assignedVersion(String service, String attemptId);
}
