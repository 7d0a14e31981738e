package org.heatherspread.core.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Keeps one view for each live endpoint process and assigns each endpoint a slot in the prefix
 * index that no other live endpoint uses. A view exists as long as its process; a new incarnation
 * gets a new view in the same slot, without index entries.
 *
 * <p>Thread-safe; all methods are mutually exclusive.
 */
public final class EndpointRegistry {
  private final PrefixIndex index;
  private final HealthPolicy policy;
  private final Map<String, EndpointView> views = new HashMap<>();
  private final Map<String, SpeedModel> speedByMachineClass = new HashMap<>();
  private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
  private int nextSlot;

  private EndpointRegistry(PrefixIndex index, HealthPolicy policy) {
    this.index = index;
    this.policy = policy;
  }

  /** Creates an empty registry. */
  public static EndpointRegistry create(PrefixIndex index, HealthPolicy policy) {
    return new EndpointRegistry(index, policy);
  }

  /** Returns the view of an endpoint, if it is registered. */
  public synchronized Optional<EndpointView> view(String id) {
    return Optional.ofNullable(views.get(id));
  }

  /**
   * Replaces the registered endpoints and returns the views of the given ones in the given order.
   */
  public synchronized List<EndpointView> update(
      Collection<EndpointProfile> profiles, long nowMillis) {
    removeOthers(profiles, nowMillis);
    List<EndpointView> result = new ArrayList<>(profiles.size());
    for (EndpointProfile profile : profiles) {
      EndpointView view = views.get(profile.id());
      if (view == null || view.profile().incarnation() != profile.incarnation()) {
        view = replace(view, profile, nowMillis);
        views.put(profile.id(), view);
      }
      view.applyProfile(profile);
      result.add(view);
    }
    return result;
  }

  private EndpointView replace(EndpointView previous, EndpointProfile profile, long nowMillis) {
    if (previous != null) {
      index.invalidate(previous.slot(), nowMillis);
    }
    int slot = previous == null ? allocateSlot() : previous.slot();
    SpeedModel speed =
        speedByMachineClass.computeIfAbsent(
            profile.machineClass(), name -> SpeedModel.withDefaults());
    return EndpointView.create(profile, slot, speed, policy);
  }

  private int allocateSlot() {
    if (!freeSlots.isEmpty()) {
      return freeSlots.poll();
    }
    if (nextSlot == PrefixIndex.MAX_SLOTS) {
      throw new IllegalStateException("prefix index has no free endpoint slot");
    }
    return nextSlot++;
  }

  private void removeOthers(Collection<EndpointProfile> profiles, long nowMillis) {
    Set<String> ids = new HashSet<>();
    for (EndpointProfile profile : profiles) {
      ids.add(profile.id());
    }
    Iterator<EndpointView> iterator = views.values().iterator();
    while (iterator.hasNext()) {
      EndpointView view = iterator.next();
      if (!ids.contains(view.profile().id())) {
        index.invalidate(view.slot(), nowMillis);
        freeSlots.add(view.slot());
        iterator.remove();
      }
    }
  }
}
