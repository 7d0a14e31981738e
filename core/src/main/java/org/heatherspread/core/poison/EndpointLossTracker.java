package org.heatherspread.core.poison;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Suspects whose connections to an endpoint broke, until it is known whether its incarnation has
 * crashed.
 *
 * <p>An accepted connection does not prove that the incarnation is alive, as its successor may
 * already listen at the same address; only a response of the incarnation itself does. After a
 * crash, an accepted connection shows that the endpoint has started again, which its registration
 * may not say yet; its next crash then has an id of its own. Daemons may number fewer crashes of an
 * endpoint than there were, but never more. Invariant: losses and crashes are kept for a limited
 * time and in limited number. Confined to one thread.
 */
public final class EndpointLossTracker {
  /** Time in which a crash is noticed by a refused connection or by the endpoint's registration. */
  private static final long RETENTION_MILLIS = 15_000;

  private static final int MAX_INCARNATIONS = 500;
  private static final int MAX_SUSPECTS = 500;

  private final MonotonicClock clock;
  private final Map<EndpointIncarnation, Losses> losses = new LinkedHashMap<>();

  private static final class Losses {
    private final long startMillis;
    private final int restarts;
    private final Set<Suspect> suspects = new HashSet<>();
    private long lastMillis;
    private boolean probing;
    private boolean crashed;

    private Losses(long startMillis, int restarts) {
      this.startMillis = startMillis;
      this.restarts = restarts;
    }
  }

  private EndpointLossTracker(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Creates a tracker without losses. */
  public static EndpointLossTracker create(MonotonicClock clock) {
    return new EndpointLossTracker(clock);
  }

  /** What a lost connection requires. */
  public enum NextStep {
    /** Find out whether the endpoint still listens. */
    PROBE,
    /** Wait for the probe in progress. */
    AWAIT_PROBE,
    /** Count the loss as a crash, which is known already. */
    COUNT_CRASH
  }

  /** Records that a connection broke. */
  public NextStep recordLoss(EndpointIncarnation incarnation, Set<Suspect> suspects) {
    long now = clock.millis();
    removeExpired();
    Losses known = losses.get(incarnation);
    if (known != null && known.crashed) {
      return NextStep.COUNT_CRASH;
    }
    Losses current = known == null ? new Losses(now, 0) : known;
    losses.put(incarnation, current);
    if (losses.size() > MAX_INCARNATIONS) {
      losses.remove(losses.keySet().iterator().next());
    }
    current.lastMillis = now;
    for (Suspect suspect : suspects) {
      if (current.suspects.size() < MAX_SUSPECTS) {
        current.suspects.add(suspect);
      }
    }
    if (current.probing) {
      return NextStep.AWAIT_PROBE;
    }
    current.probing = true;
    return NextStep.PROBE;
  }

  /** Removes old losses, which are in the order of their first loss. */
  private void removeExpired() {
    long earliest = clock.millis() - RETENTION_MILLIS;
    Iterator<Losses> oldest = losses.values().iterator();
    while (oldest.hasNext() && oldest.next().startMillis < earliest) {
      oldest.remove();
    }
  }

  /**
   * Records that the endpoint accepted a new connection, so that the next loss requires another
   * probe.
   */
  public void connectionAccepted(EndpointIncarnation incarnation) {
    Losses known = losses.get(incarnation);
    if (known == null) {
      return;
    }
    known.probing = false;
    if (known.crashed) {
      losses.remove(incarnation);
      losses.put(incarnation, new Losses(clock.millis(), known.restarts + 1));
    }
  }

  /** Returns the id of the latest crash of an incarnation. */
  public String crashId(EndpointIncarnation incarnation) {
    Losses known = losses.get(incarnation);
    int restarts = known == null ? 0 : known.restarts;
    return incarnation.crashId() + (restarts == 0 ? "" : "/" + restarts);
  }

  /** Returns whether connections broke and it is not known whether the incarnation has crashed. */
  public boolean isUnresolved(EndpointIncarnation incarnation) {
    removeExpired();
    Losses known = losses.get(incarnation);
    return known != null && !known.crashed && !known.suspects.isEmpty();
  }

  /** Records that an incarnation has crashed, and returns the suspects whose connections broke. */
  public Set<Suspect> resolveAsCrash(EndpointIncarnation incarnation) {
    removeExpired();
    Losses known = losses.get(incarnation);
    if (known == null || known.crashed) {
      return Set.of();
    }
    known.crashed = true;
    return known.suspects;
  }

  /**
   * Records that an incarnation is alive.
   *
   * @param sinceMillis time at which the request was sent to which it responded; later losses stay
   * @return whether there were losses
   */
  public boolean resolveAsAlive(EndpointIncarnation incarnation, long sinceMillis) {
    Losses known = losses.get(incarnation);
    if (known == null || known.crashed || known.lastMillis > sinceMillis) {
      return false;
    }
    losses.remove(incarnation);
    return true;
  }
}
