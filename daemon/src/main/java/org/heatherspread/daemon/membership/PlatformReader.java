package org.heatherspread.daemon.membership;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.Instance;

/**
 * What membership reads of the platform.
 *
 * <p>Implementations are safe for use by any thread; futures fail where the platform does not
 * answer.
 */
public interface PlatformReader {
  /** Reads the instance list. */
  CompletableFuture<InstanceList> readInstances();

  /** Reads the reclaim notices after a sequence number. */
  CompletableFuture<NoticePage> readNotices(long afterSequence);

  /** The instance list as of a time in milliseconds since the epoch. Immutable. */
  record InstanceList(long asOfMillis, List<Instance> instances) {}

  /** Some notices, and the sequence number to ask after next. Immutable. */
  record NoticePage(List<Notice> notices, long next) {}

  /** One notice: the instance ends at a time in milliseconds since the epoch. Immutable. */
  record Notice(String instanceId, long endsAtMillis) {}
}
