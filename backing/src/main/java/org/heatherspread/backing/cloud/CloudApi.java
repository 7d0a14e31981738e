package org.heatherspread.backing.cloud;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.Market;

/**
 * The platform's cloud API: what can be bought, starts, deletions, and notices before reclaims.
 *
 * <p>Implementations are safe for use by any thread. Futures fail with an {@link
 * java.io.IOException} or a time-out; a start whose future failed may have taken effect and is
 * repeated with the same token.
 */
public interface CloudApi {
  /** Lists what can be bought. */
  CompletableFuture<List<Offer>> offers();

  /** Starts an instance, or tells why the platform refused. */
  CompletableFuture<StartResult> start(StartRequest order);

  /** Gives an instance back; without effect if it is gone. */
  CompletableFuture<Void> delete(String instanceId);

  /** Returns the notices after a sequence number, oldest first; 0 asks for all. */
  CompletableFuture<List<Notice>> notices(long afterSeq);

  /** One machine class of one market in one failure domain, with its price. Immutable. */
  record Offer(String machineClass, Market market, FailureDomain domain, double pricePerHour) {}

  /**
   * What to start. Immutable.
   *
   * @param kind what runs on the instance
   * @param service service of an endpoint; empty for a daemon
   * @param machineClass size of the machine
   * @param market how it is bought
   * @param domain the failure domain
   * @param clientToken the same token never starts two instances
   */
  record StartRequest(
      InstanceKind kind,
      String service,
      String machineClass,
      Market market,
      FailureDomain domain,
      String clientToken) {}

  /** The instance started, or the reason of the refusal. Immutable. */
  record StartResult(Optional<Instance> instance, String refusal) {}

  /**
   * Announces the end of an instance. Immutable.
   *
   * @param seq place in the order of all notices
   * @param instanceId the instance
   * @param endsAt when it ends, in milliseconds since the epoch
   */
  record Notice(long seq, String instanceId, long endsAt) {}
}
