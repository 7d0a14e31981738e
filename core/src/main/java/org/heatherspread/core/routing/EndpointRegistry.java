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
 * Keeps one view for each live process of an endpoint, and gives it a slot in the prefix index that
 * no other live one has. A view lasts as long as its process; a new incarnation starts with a new
 * view in the same slot and without index entries.
 *
 * <p>Safe for use by any thread; all methods exclude each other.
 */
public final class EndpointRegistry {
  private final PrefixIndex index;
  private final HealthPolicy policy;
  private final Map<String, EndpointView> views = new HashMap<>();
  private final Map<String, SpeedModel> speeds = new HashMap<>();
  private final ArrayDeque<Integer> freeSlots = new ArrayDeque<>();
  private int nextSlot;

  private EndpointRegistry(PrefixIndex index, HealthPolicy policy) {
    this.index = index;
    this.policy = policy;
  }

  /** Creates a registry without endpoints. */
  public static EndpointRegistry create(PrefixIndex index, HealthPolicy policy) {
    return new EndpointRegistry(index, policy);
  }

  /** Returns the view of an endpoint, if it has one. */
  public synchronized Optional<EndpointView> view(String id) {
    return Optional.ofNullable(views.get(id));
  }

  /** Makes the registry hold just these endpoints and returns their views in the given order. */
  public synchronized List<EndpointView> update(
      Collection<EndpointProfile> profiles, long nowMillis) {
    forgetOthers(profiles, nowMillis);
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

  private EndpointView replace(EndpointView old, EndpointProfile profile, long nowMillis) {
    if (old != null) {
      index.invalidate(old.slot(), nowMillis);
    }
    int slot = old == null ? takeSlot() : old.slot();
    SpeedModel speed =
        speeds.computeIfAbsent(profile.machineClass(), name -> SpeedModel.withDefaults());
    return EndpointView.create(profile, slot, speed, policy);
  }

  private int takeSlot() {
    if (!freeSlots.isEmpty()) {
      return freeSlots.poll();
    }
    if (nextSlot == PrefixIndex.MAX_SLOTS) {
      throw new IllegalStateException("more endpoints than the index can tell apart");
    }
    return nextSlot++;
  }

  private void forgetOthers(Collection<EndpointProfile> profiles, long nowMillis) {
    Set<String> kept = new HashSet<>();
    for (EndpointProfile profile : profiles) {
      kept.add(profile.id());
    }
    Iterator<EndpointView> each = views.values().iterator();
    while (each.hasNext()) {
      EndpointView view = each.next();
      if (!kept.contains(view.profile().id())) {
        index.invalidate(view.slot(), nowMillis);
        freeSlots.add(view.slot());
        each.remove();
      }
    }
  }
}
