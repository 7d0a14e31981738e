package org.heatherspread.daemon.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.Instance;

/**
 * Reads the instance list and the reclaim notices of the platform.
 *
 * <p>Implementations are thread-safe. Futures fail if the platform does not respond.
 */
public interface PlatformReader {
  /** Reads the instance list. */
  CompletableFuture<InstanceList> readInstances();

  /** Reads the reclaim notices with sequence numbers above the given one. */
  CompletableFuture<NoticePage> readNotices(long afterSequence);

  /** The instance list at a time in milliseconds since the epoch. Immutable. */
  record InstanceList(long asOfMillis, List<Instance> instances) {}

  /** Reclaim notices and the sequence number to pass to the next read. Immutable. */
  record NoticePage(List<Notice> notices, long next) {}

  /**
   * A reclaim notice. Immutable.
   *
   * @param endsAtMillis time in milliseconds since the epoch at which the instance is reclaimed
   */
  record Notice(String instanceId, long endsAtMillis) {}
}
