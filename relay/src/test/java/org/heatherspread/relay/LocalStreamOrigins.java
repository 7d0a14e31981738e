package org.heatherspread.relay;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.heatherspread.core.stream.StreamOrigin;
import org.heatherspread.core.stream.StreamOriginTable;
import org.heatherspread.relay.call.StreamOrigins;

/**
 * Origins of the streams of one daemon without others.
 *
 * @param versions versions of a service's registered endpoints
 */
record LocalStreamOrigins(StreamOriginTable table, Function<String, Set<String>> versions)
    implements StreamOrigins {
  @Override
  public void record(String attemptId, StreamOrigin origin, long callerWaitMillis) {
    table.add(attemptId, origin, Math.min(callerWaitMillis, 60_000));
  }

  @Override
  public void complete(String attemptId) {
    // The table drops old streams by itself.
  }

  @Override
  public CompletableFuture<Optional<StreamOrigin>> find(
      String attemptId, String service, long callerWaitMillis) {
    return CompletableFuture.completedFuture(
        attemptId.isEmpty() ? findSingle(service) : table.find(attemptId));
  }

  @Override
  public Optional<String> assignedVersion(String service, String attemptId) {
    return Optional.empty();
  }

  private Optional<StreamOrigin> findSingle(String service) {
    Set<String> found = versions.apply(service);
    return found.size() == 1
        ? Optional.of(new StreamOrigin(service, found.iterator().next()))
        : Optional.empty();
  }
}
