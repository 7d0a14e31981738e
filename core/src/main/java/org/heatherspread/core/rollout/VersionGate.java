package org.heatherspread.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;

/**
 * One daemon's view of the versions that may receive requests.
 *
 * <p>Invariants: of the states of a service, the one with the highest sequence counts. A version
 * that is not in force receives requests only while its state was confirmed recently, so a daemon
 * that is cut off sends nothing to it. Confined to one thread.
 */
public final class VersionGate {
  /** Age of a view from which nothing is sent to a version that is not in force. */
  private static final long MAX_AGE_MILLIS = 2_500;

  /** Time for which this daemon sends nothing to a version after several bad responses. */
  private static final long STOP_MILLIS = 3_000;

  /** Number of other daemons whose stops this daemon follows, as one may be at fault itself. */
  private static final int FOLLOWED_STOPS = 2;

  /** Parts of a slot, so that a small share of few slots can be expressed. */
  private static final int SPLIT_UNIT = 1_000;

  private final MonotonicClock clock;
  private final Map<String, RolloutState> states = new HashMap<>();
  private final Map<String, Long> confirmedMillis = new HashMap<>();
  private final Map<String, Set<String>> firstVersions = new HashMap<>();
  private final Map<String, Stops> stops = new HashMap<>();

  private Runnable changeListener = () -> {};

  private VersionGate(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Creates a gate without states. */
  public static VersionGate create(MonotonicClock clock) {
    return new VersionGate(clock);
  }

  /** The versions among which a request selects its endpoint. */
  public enum Target {
    /** Versions in force. */
    IN_FORCE,
    /** The version that the service moves to. */
    NEW
  }

  /**
   * Applies a state of a service.
   *
   * @param ageMillis time since it was certainly the latest one
   * @return whether it is new
   */
  public boolean apply(RolloutState state, long ageMillis) {
    RolloutState known = states.get(state.service());
    if (known != null && known.sequence() > state.sequence()) {
      return false;
    }
    confirmedMillis.merge(state.service(), clock.millis() - ageMillis, Math::max);
    if (known != null && known.sequence() == state.sequence()) {
      return false;
    }
    states.put(state.service(), state);
    if (known == null || known.phase() != state.phase() || known.share() != state.share()) {
      changeListener.run();
    }
    if (known != null && !known.orderId().equals(state.orderId())) {
      stops.remove(state.service());
    }
    return true;
  }

  /** Sets a listener to changes of the phase or the share of a service. */
  public void onChange(Runnable listener) {
    changeListener = listener;
  }

  /** Records that the stored states were read again and have not changed. */
  public void confirm(long ageMillis) {
    confirmedMillis.replaceAll((service, millis) -> Math.max(millis, clock.millis() - ageMillis));
  }

  /** Returns the state of a service. */
  public Optional<RolloutState> state(String service) {
    return Optional.ofNullable(states.get(service));
  }

  /** Returns the states of all services. */
  public List<RolloutState> states() {
    return new ArrayList<>(states.values());
  }

  /**
   * Records that a daemon stopped sending to the version that a service moves to.
   *
   * @param own whether it is this daemon
   */
  public void stop(String service, String orderId, String daemon, boolean own, long ageMillis) {
    RolloutState state = states.get(service);
    if (state == null || !state.orderId().equals(orderId)) {
      return;
    }
    Stops known = stops.computeIfAbsent(service, name -> new Stops());
    long until = clock.millis() - ageMillis + STOP_MILLIS;
    if (own) {
      known.ownUntilMillis = until;
    } else {
      known.othersUntilMillis.put(daemon, until);
    }
  }

  /** Returns whether this daemon sends nothing to the new version because of bad responses. */
  public boolean isStopped(String service) {
    Stops known = stops.get(service);
    if (known == null) {
      return false;
    }
    long now = clock.millis();
    known.othersUntilMillis.values().removeIf(until -> until <= now);
    return now < known.ownUntilMillis || known.othersUntilMillis.size() >= FOLLOWED_STOPS;
  }

  /**
   * Selects the versions for a request.
   *
   * @param assigned version that the caller's attempt is assigned to, if streams are split by id
   * @param isFirst whether the request has not been sent to an endpoint yet
   * @param random random number, uniform in [0, 1)
   */
  public Target select(
      String service, String route, Optional<String> assigned, boolean isFirst, double random) {
    RolloutState state = states.get(service);
    if (state == null || !mayUseNew(state)) {
      return Target.IN_FORCE;
    }
    if (state.phase() == RolloutPhase.SHIFT) {
      return Target.NEW;
    }
    boolean drawn = assigned.map(state.to()::equals).orElse(random < state.shareOf(route));
    return isFirst && drawn && state.share() > 0 ? Target.NEW : Target.IN_FORCE;
  }

  private boolean mayUseNew(RolloutState state) {
    boolean active = state.phase() == RolloutPhase.CANARY || state.phase() == RolloutPhase.SHIFT;
    long ageMillis = clock.millis() - confirmedMillis.get(state.service());
    return active && ageMillis <= MAX_AGE_MILLIS && !isStopped(state.service());
  }

  /**
   * Returns the versions of a service that are in force. Without a stored state, these are the
   * versions that this daemon saw first.
   *
   * @param present versions of the service's endpoints
   */
  public Set<String> inForce(String service, Set<String> present) {
    RolloutState state = states.get(service);
    if (state != null) {
      return state.inForce();
    }
    if (present.isEmpty()) {
      return firstVersions.getOrDefault(service, present);
    }
    return firstVersions.computeIfAbsent(service, name -> Set.copyOf(present));
  }

  /** Returns whether a version may receive nothing, not even if no other one is left. */
  public boolean isWithdrawn(String service, String version) {
    RolloutState state = states.get(service);
    return state != null
        && version.equals(state.to())
        && !state.inForce().contains(version)
        && state.phase() != RolloutPhase.SHIFT;
  }

  /**
   * Returns whether an endpoint of a version is part of the capacity that a service needs. During a
   * move, endpoints of the new version stand beside the others; after it, the others end.
   */
  public boolean countsAsCapacity(String service, String version) {
    RolloutState state = states.get(service);
    if (state == null || state.inForce().contains(version)) {
      return true;
    }
    return state.phase() != RolloutPhase.COMPLETED && !version.equals(state.to());
  }

  /**
   * Returns whether streams that began at a version may continue there. This daemon may continue
   * them elsewhere in the phase, but not once the version is known to be bad.
   */
  public boolean mayContinue(String service, String version) {
    RolloutState state = states.get(service);
    return state == null
        || state.phase() != RolloutPhase.REVERTED
        || !version.equals(state.to())
        || state.inForce().contains(version);
  }

  /**
   * Returns the slots by which new streams are split: those of versions in force, and of the new
   * version as many as give it its share.
   *
   * @param slots slots by service and version
   */
  public Map<String, Map<String, Integer>> splitSlots(Map<String, Map<String, Integer>> slots) {
    Map<String, Map<String, Integer>> split = new HashMap<>();
    slots.forEach((service, byVersion) -> split.put(service, splitService(service, byVersion)));
    return split;
  }

  private Map<String, Integer> splitService(String service, Map<String, Integer> slots) {
    Set<String> inForce = inForce(service, new HashSet<>(slots.keySet()));
    RolloutState state = states.get(service);
    boolean shifted = state != null && state.phase() == RolloutPhase.SHIFT;
    if (shifted && slots.containsKey(state.to())) {
      return Map.of(state.to(), slots.get(state.to()));
    }
    double share = state != null && state.phase() == RolloutPhase.CANARY ? state.share() : 0;
    Map<String, Integer> split = new HashMap<>();
    int total = 0;
    for (Map.Entry<String, Integer> each : slots.entrySet()) {
      if (inForce.contains(each.getKey())) {
        split.put(each.getKey(), (int) Math.ceil(SPLIT_UNIT * (1 - share) * each.getValue()));
        total += each.getValue();
      }
    }
    if (split.isEmpty()) {
      return slots;
    }
    if (share > 0 && slots.containsKey(state.to())) {
      split.put(state.to(), (int) (SPLIT_UNIT * share * total));
    }
    return split;
  }

  private static final class Stops {
    private final Map<String, Long> othersUntilMillis = new HashMap<>();
    private long ownUntilMillis = Long.MIN_VALUE;
  }
}
