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
 * What the stand-in cloud holds: instances, their past for the lagging list, offers, notices, and a
 * pool of prepared instances that starts hand out, since no stand-in starts a process.
 *
 * <p>Safe for use by any thread; each operation is atomic.
 */
final class CloudModel {
  private static final long DELETED_LISTED_MILLIS = 1_000;

  private final CloudSettings settings;
  private final Random random;
  private final Map<String, CloudInstance> instances = new LinkedHashMap<>();
  private final Map<String, Long> liveAtMillis = new HashMap<>();
  private final Deque<CloudInstance> pool = new ArrayDeque<>();
  private final Map<String, CloudInstance> startsByToken = new HashMap<>();
  private final Deque<Listing> past = new ArrayDeque<>();
  private final List<Notice> notices = new ArrayList<>();
  private List<Offer> offers = List.of();
  private Faults faults = new Faults(0, List.of());

  CloudModel(CloudSettings settings) {
    this.settings = settings;
    this.random = new Random(settings.seed());
  }

  /** The instance list as of a time. Immutable. */
  record Listing(long asOf, List<CloudInstance> instances) {}

  /** What can be bought. Immutable. */
  record Offer(
      String machineClass, String market, String region, String domain, double pricePerHour) {}

  /** The announcement that an instance ends. Immutable. */
  record Notice(long seq, String instanceId, long endsAt) {}

  /** A call to start an instance. Immutable. */
  record StartCall(
      String kind,
      String service,
      String machineClass,
      String market,
      String region,
      String domain,
      String clientToken) {}

  /** The answer to a start: an instance, or the reason of the refusal. Immutable. */
  record Started(CloudInstance instance, String reason) {}

  /**
   * Faults of the cloud. Immutable.
   *
   * @param refuseProbability probability that a start is refused
   * @param refusedDomains failure domains in which no instance can be started
   */
  record Faults(double refuseProbability, List<String> refusedDomains) {
    Faults {
      refusedDomains = refusedDomains == null ? List.of() : List.copyOf(refusedDomains);
    }
  }

  // ---- Arrangement ----

  synchronized void add(List<CloudInstance> added) {
    advance();
    for (CloudInstance i : added) {
      instances.put(i.id(), i);
    }
    remember();
  }

  synchronized void addToPool(List<CloudInstance> added) {
    pool.addAll(added);
  }

  synchronized void setOffers(List<Offer> next) {
    offers = next;
  }

  synchronized Faults setFaults(JsonNode patch) {
    faults = JsonHttp.patched(faults, patch, Faults.class);
    return faults;
  }

  /** Announces the end of reclaimable instances of a domain, or of those named. */
  synchronized List<String> reclaim(String domain, List<String> ids, long endsAt) {
    advance();
    List<String> taken = new ArrayList<>();
    for (CloudInstance i : List.copyOf(instances.values())) {
      boolean inDomain = i.domain().equals(domain) && i.reclaimable();
      if (!i.leaving() && (inDomain || ids.contains(i.id()))) {
        leave(i, endsAt);
        taken.add(i.id());
      }
    }
    remember();
    return taken;
  }

  private void leave(CloudInstance i, long endsAt) {
    instances.put(i.id(), i.withState(CloudInstance.State.LEAVING, endsAt));
    liveAtMillis.remove(i.id());
    notices.add(new Notice(notices.size() + 1, i.id(), endsAt));
  }

  // ---- Instance list ----

  /** Returns the list as it was before the lag. */
  synchronized Listing list() {
    advance();
    long asOf = System.currentTimeMillis() - settings.lagMillis();
    Listing found = new Listing(asOf, List.of());
    Iterator<Listing> oldest = past.iterator();
    while (oldest.hasNext()) {
      Listing next = oldest.next();
      if (next.asOf() > asOf) {
        break;
      }
      found = new Listing(asOf, next.instances());
    }
    while (past.size() > 1 && secondIsVisible(asOf)) {
      past.remove();
    }
    return found;
  }

  private boolean secondIsVisible(long asOf) {
    Iterator<Listing> it = past.iterator();
    it.next();
    return it.next().asOf() <= asOf;
  }

  private void advance() {
    long now = System.currentTimeMillis();
    boolean changed = instances.values().removeIf(i -> i.leaving() && i.leavingAt() <= now);
    for (CloudInstance i : List.copyOf(instances.values())) {
      Long liveAt = liveAtMillis.get(i.id());
      if (liveAt != null && liveAt <= now) {
        liveAtMillis.remove(i.id());
        instances.put(i.id(), i.withState(CloudInstance.State.LIVE, null));
        changed = true;
      }
    }
    if (changed) {
      remember();
    }
  }

  private void remember() {
    past.add(new Listing(System.currentTimeMillis(), List.copyOf(instances.values())));
  }

  // ---- Cloud API ----

  synchronized List<Offer> offers() {
    return offers;
  }

  synchronized List<Notice> noticesAfter(long seq) {
    int from = (int) Math.max(0, Math.min(seq, notices.size()));
    return List.copyOf(notices.subList(from, notices.size()));
  }

  synchronized Started start(StartCall call) {
    advance();
    CloudInstance same = startsByToken.get(call.clientToken());
    if (same != null) {
      return new Started(instances.getOrDefault(same.id(), same), null);
    }
    if (faults.refusedDomains().contains(call.domain())) {
      return new Started(null, "no_capacity_in_domain");
    }
    if (random.nextDouble() < faults.refuseProbability()) {
      return new Started(null, "no_capacity");
    }
    for (CloudInstance i : pool) {
      if (i.kind().equals(call.kind()) && i.domain().equals(call.domain())) {
        pool.remove(i);
        return new Started(begin(call, i), null);
      }
    }
    return new Started(null, "no_capacity_in_domain");
  }

  private CloudInstance begin(StartCall call, CloudInstance prepared) {
    CloudInstance started =
        new CloudInstance(
            prepared.id(),
            prepared.incarnation(),
            call.kind(),
            call.service(),
            call.region(),
            call.domain(),
            prepared.host(),
            prepared.port(),
            prepared.peerPort(),
            call.machineClass(),
            call.market(),
            price(call),
            "starting",
            null);
    instances.put(started.id(), started);
    liveAtMillis.put(started.id(), System.currentTimeMillis() + settings.startMillis());
    if (call.clientToken() != null) {
      startsByToken.put(call.clientToken(), started);
    }
    remember();
    return started;
  }

  private double price(StartCall call) {
    for (Offer o : offers) {
      if (o.machineClass().equals(call.machineClass())
          && o.market().equals(call.market())
          && o.domain().equals(call.domain())) {
        return o.pricePerHour();
      }
    }
    return 0;
  }

  synchronized boolean delete(String id) {
    advance();
    CloudInstance i = instances.get(id);
    if (i == null) {
      return false;
    }
    long endsAt = System.currentTimeMillis() + DELETED_LISTED_MILLIS;
    instances.put(id, i.withState(CloudInstance.State.LEAVING, endsAt));
    remember();
    return true;
  }
}
