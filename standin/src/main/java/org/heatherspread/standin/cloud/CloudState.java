package org.heatherspread.standin.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.heatherspread.standin.http.JsonHttp;

/**
 * Holds the state of the stand-in cloud: instances, offers, reclaim notices and faults. Snapshots
 * of the instances are kept to serve the instance list with a lag. Starting an instance takes a
 * prepared one from a pool, since a stand-in starts no processes.
 *
 * <p>Thread-safe; each operation is atomic.
 */
final class CloudState {
  private static final long DELETED_RETENTION_MILLIS = 1_000;

  private final CloudSettings settings;
  private final Random random;
  private final Map<String, CloudInstance> instances = new LinkedHashMap<>();
  private final Map<String, Long> liveAtMillis = new HashMap<>();
  private final Deque<CloudInstance> pool = new ArrayDeque<>();
  private final Map<String, CloudInstance> startedByToken = new HashMap<>();
  private final Deque<InstanceList> snapshots = new ArrayDeque<>();
  private final List<Notice> notices = new ArrayList<>();
  private List<Offer> offers = List.of();
  private Faults faults = new Faults(0, List.of());

  CloudState(CloudSettings settings) {
    this.settings = settings;
    this.random = new Random(settings.seed());
  }

  /** The instances at a point in time. Immutable. */
  record InstanceList(long asOf, List<CloudInstance> instances) {}

  /** An offer of a machine class on a market in a failure domain. Immutable. */
  record Offer(
      String machineClass, String market, String region, String domain, double pricePerHour) {}

  /** A notice that an instance will be reclaimed. Immutable. */
  record Notice(long seq, String instanceId, long endsAt) {}

  /** A request to start an instance. Immutable. */
  record StartRequest(
      String kind,
      String service,
      String machineClass,
      String market,
      String region,
      String domain,
      String clientToken) {}

  /** The result of a start request: the instance, or the reason of the refusal. Immutable. */
  record StartResult(CloudInstance instance, String reason) {}

  /**
   * The active faults of the cloud. Immutable.
   *
   * @param refuseProbability probability that a start is refused
   * @param refusedDomains failure domains in which no instance can be started
   */
  record Faults(double refuseProbability, List<String> refusedDomains) {
    Faults {
      refusedDomains = refusedDomains == null ? List.of() : List.copyOf(refusedDomains);
    }
  }

  synchronized void addInstances(List<CloudInstance> addedInstances) {
    applyTransitions();
    for (CloudInstance instance : addedInstances) {
      instances.put(instance.id(), instance);
    }
    saveSnapshot();
  }

  synchronized void addToPool(List<CloudInstance> addedInstances) {
    pool.addAll(addedInstances);
  }

  synchronized void setOffers(List<Offer> newOffers) {
    offers = newOffers;
  }

  synchronized Faults setFaults(JsonNode patch) {
    faults = JsonHttp.applyPatch(faults, patch, Faults.class);
    return faults;
  }

  /**
   * Reclaims the reclaimable instances of a domain and the instances with the given ids; returns
   * the ids of the affected ones.
   */
  synchronized List<String> reclaim(String domain, List<String> ids, long endsAt) {
    applyTransitions();
    List<String> reclaimedIds = new ArrayList<>();
    for (CloudInstance instance : List.copyOf(instances.values())) {
      boolean inDomain = instance.domain().equals(domain) && instance.inReclaimableMarket();
      if (!instance.inLeavingState() && (inDomain || ids.contains(instance.id()))) {
        announceReclaim(instance, endsAt);
        reclaimedIds.add(instance.id());
      }
    }
    saveSnapshot();
    return reclaimedIds;
  }

  private void announceReclaim(CloudInstance instance, long endsAt) {
    instances.put(instance.id(), instance.withState(CloudInstance.State.LEAVING, endsAt));
    liveAtMillis.remove(instance.id());
    notices.add(new Notice(notices.size() + 1, instance.id(), endsAt));
  }

  /** Returns the instances as they were before the configured lag. */
  synchronized InstanceList listInstances() {
    applyTransitions();
    long asOf = System.currentTimeMillis() - settings.lagMillis();
    InstanceList visible = new InstanceList(asOf, List.of());
    Iterator<InstanceList> iterator = snapshots.iterator();
    while (iterator.hasNext()) {
      InstanceList snapshot = iterator.next();
      if (snapshot.asOf() > asOf) {
        break;
      }
      visible = new InstanceList(asOf, snapshot.instances());
    }
    while (snapshots.size() > 1 && isSecondSnapshotVisible(asOf)) {
      snapshots.remove();
    }
    return visible;
  }

  private boolean isSecondSnapshotVisible(long asOf) {
    Iterator<InstanceList> iterator = snapshots.iterator();
    iterator.next();
    return iterator.next().asOf() <= asOf;
  }

  private void applyTransitions() {
    long now = System.currentTimeMillis();
    boolean changed =
        instances
            .values()
            .removeIf(instance -> instance.inLeavingState() && instance.leavingAt() <= now);
    for (CloudInstance instance : List.copyOf(instances.values())) {
      Long liveAt = liveAtMillis.get(instance.id());
      if (liveAt != null && liveAt <= now) {
        liveAtMillis.remove(instance.id());
        instances.put(instance.id(), instance.withState(CloudInstance.State.LIVE, null));
        changed = true;
      }
    }
    if (changed) {
      saveSnapshot();
    }
  }

  private void saveSnapshot() {
    snapshots.add(new InstanceList(System.currentTimeMillis(), List.copyOf(instances.values())));
  }

  synchronized List<Offer> offers() {
    return offers;
  }

  synchronized List<Notice> noticesAfter(long seq) {
    int from = (int) Math.max(0, Math.min(seq, notices.size()));
    return List.copyOf(notices.subList(from, notices.size()));
  }

  synchronized StartResult startInstance(StartRequest request) {
    applyTransitions();
    CloudInstance previous = startedByToken.get(request.clientToken());
    if (previous != null) {
      return new StartResult(instances.getOrDefault(previous.id(), previous), null);
    }
    if (faults.refusedDomains().contains(request.domain())) {
      return new StartResult(null, "no_capacity_in_domain");
    }
    if (random.nextDouble() < faults.refuseProbability()) {
      return new StartResult(null, "no_capacity");
    }
    for (CloudInstance instance : pool) {
      if (instance.kind().equals(request.kind()) && instance.domain().equals(request.domain())) {
        pool.remove(instance);
        return new StartResult(startFromPool(request, instance), null);
      }
    }
    return new StartResult(null, "no_capacity_in_domain");
  }

  private CloudInstance startFromPool(StartRequest request, CloudInstance prepared) {
    CloudInstance started =
        new CloudInstance(
            prepared.id(),
            prepared.incarnation(),
            request.kind(),
            request.service(),
            request.region(),
            request.domain(),
            prepared.host(),
            prepared.port(),
            prepared.peerPort(),
            request.machineClass(),
            request.market(),
            offeredPrice(request),
            "starting",
            null);
    instances.put(started.id(), started);
    liveAtMillis.put(started.id(), System.currentTimeMillis() + settings.startMillis());
    if (request.clientToken() != null) {
      startedByToken.put(request.clientToken(), started);
    }
    saveSnapshot();
    return started;
  }

  private double offeredPrice(StartRequest request) {
    for (Offer o : offers) {
      if (o.machineClass().equals(request.machineClass())
          && o.market().equals(request.market())
          && o.domain().equals(request.domain())) {
        return o.pricePerHour();
      }
    }
    return 0;
  }

  synchronized boolean deleteInstance(String id) {
    applyTransitions();
    CloudInstance instance = instances.get(id);
    if (instance == null) {
      return false;
    }
    long endsAt = System.currentTimeMillis() + DELETED_RETENTION_MILLIS;
    instances.put(id, instance.withState(CloudInstance.State.LEAVING, endsAt));
    saveSnapshot();
    return true;
  }
}
