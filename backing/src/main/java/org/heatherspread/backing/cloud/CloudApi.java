package org.heatherspread.backing.cloud;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.Market;

/**
 * Client of the platform's cloud API: offers, starts and deletions of instances, and reclaim
 * notices.
 *
 * <p>Implementations are safe for use by any thread. Futures fail with an {@link
 * java.io.IOException} or a timeout. A start whose future failed may have taken effect and is
 * repeated with the same client token.
 */
public interface CloudApi {
  /** Returns the offers of instances. */
  CompletableFuture<List<Offer>> offers();

  /** Starts an instance; a refusal completes the future normally. */
  CompletableFuture<StartResult> start(StartRequest order);

  /** Deletes an instance; has no effect if the instance no longer exists. */
  CompletableFuture<Void> delete(String instanceId);

  /** Returns the notices after a sequence number, oldest first; 0 returns all. */
  CompletableFuture<List<Notice>> notices(long afterSeq);

  /** Price of a machine class in one market and failure domain. Immutable. */
  record Offer(String machineClass, Market market, FailureDomain domain, double pricePerHour) {}

  /**
   * Describes an instance to start. Immutable.
   *
   * @param kind type of process that runs on the instance
   * @param service service of an endpoint; empty for a daemon
   * @param machineClass size of the machine
   * @param market on-demand or reclaimable
   * @param domain the failure domain
   * @param clientToken idempotency token; requests with the same token start one instance at most
   */
  record StartRequest(
      InstanceKind kind,
      String service,
      String machineClass,
      Market market,
      FailureDomain domain,
      String clientToken) {}

  /** The started instance, or the reason for the refusal. Immutable. */
  record StartResult(Optional<Instance> instance, String refusal) {}

  /**
   * Announces the end of an instance. Immutable.
   *
   * @param seq sequence number over all notices
   * @param instanceId the instance
   * @param endsAt end of the instance, in milliseconds since the epoch
   */
  record Notice(long seq, String instanceId, long endsAt) {}
}
