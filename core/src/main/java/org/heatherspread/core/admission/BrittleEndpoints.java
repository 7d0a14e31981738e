package org.heatherspread.core.admission;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.heatherspread.core.placement.TrackedEndpoint;

/**
 * Keeps endpoints that fall over when they reject too many requests in a second from having to
 * reject them.
 *
 * <p>Under a load that fills all endpoints, every daemon would otherwise try one endpoint after the
 * other, and all daemons together make each of them reject many times what it bears. While the
 * endpoints of a service are brittle, each slot is assigned to one daemon, which uses it without
 * regard to others. While many slots of the service are free by the known loads, a daemon uses one
 * slot more of each endpoint that has free ones; after a rejection, it keeps to its own slots for
 * so long that all daemons together stay well below the limit. Confined to one thread.
 */
public final class BrittleEndpoints {
  /** Time after the last response that said so for which a service is taken as brittle. */
  private static final long VALIDITY_MILLIS = 3_000;

  /** Factor by which rejections are expected to stay below the limit, as they come at random. */
  private static final double SAFETY_FACTOR = 4;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Bounds of the time for which a daemon keeps to its own slots after a rejection. */
  private static final double MIN_PAUSE_MILLIS = 5_000;

  private static final double MAX_PAUSE_MILLIS = 30_000;

  /** Share of the slots in use up to which slots of other daemons are used too. */
  private static final double MAX_BORROWING_LOAD = 0.6;

  private final Map<String, Notice> noticesByService = new HashMap<>();
  private final Map<String, Long> pausedUntilMillis = new HashMap<>();
  private final RandomGenerator random;
  private int daemonIndex;
  private int daemonCount = 1;

  private BrittleEndpoints(RandomGenerator random) {
    this.random = random;
  }

  /** Creates an instance without brittle endpoints, for a daemon that knows no others. */
  public static BrittleEndpoints create(RandomGenerator random) {
    return new BrittleEndpoints(random);
  }

  /**
   * Sets the place of this daemon among those that share the slots.
   *
   * @param index number of live daemons before this one in an order on which all agree
   */
  public void updateDaemons(int index, int count) {
    daemonIndex = index;
    daemonCount = Math.max(1, count);
  }

  /**
   * Records that the endpoints of a service are brittle.
   *
   * @param rejectionsPerSecond rejections in a second beyond which an endpoint falls over
   * @return whether that is new
   */
  public boolean recordBrittle(String service, double rejectionsPerSecond, long nowMillis) {
    boolean known = isBrittle(service, nowMillis);
    noticesByService.put(service, new Notice(rejectionsPerSecond, nowMillis + VALIDITY_MILLIS));
    return !known;
  }

  /** Returns whether the endpoints of a service are brittle. */
  public boolean isBrittle(String service, long nowMillis) {
    Notice notice = noticesByService.get(service);
    return notice != null && nowMillis < notice.expiryMillis;
  }

  /** Records that an endpoint rejected a request for want of room. */
  public void recordRejection(TrackedEndpoint endpoint, long nowMillis) {
    String service = endpoint.registration().service();
    if (isBrittle(service, nowMillis)) {
      pausedUntilMillis.put(service, nowMillis + pauseMillis(service));
    }
  }

  private long pauseMillis(String service) {
    double perSecond = noticesByService.get(service).rejectionsPerSecond;
    double pause = SAFETY_FACTOR * MILLIS_PER_SECOND * daemonCount / Math.max(0.01, perSecond);
    double jittered = pause * (0.5 + random.nextDouble());
    return (long) Math.min(MAX_PAUSE_MILLIS, Math.max(MIN_PAUSE_MILLIS, jittered));
  }

  /** Returns the ids of the endpoints to which no request of this daemon may be sent now. */
  public Set<String> endpointsWithoutRoom(
      String service, Collection<TrackedEndpoint> endpoints, long nowMillis) {
    Set<String> full = new HashSet<>();
    if (!isBrittle(service, nowMillis)) {
      return full;
    }
    boolean paused = pausedUntilMillis.getOrDefault(service, Long.MIN_VALUE) > nowMillis;
    boolean borrows = !paused && isBelowBorrowingLoad(endpoints, nowMillis);
    for (TrackedEndpoint endpoint : endpoints) {
      if (!hasRoom(endpoint, borrows)) {
        full.add(endpoint.id());
      }
    }
    return full;
  }

  private static boolean isBelowBorrowingLoad(
      Collection<TrackedEndpoint> endpoints, long nowMillis) {
    int running = 0;
    int slots = 0;
    for (TrackedEndpoint endpoint : endpoints) {
      if (endpoint.isUsable(nowMillis)) {
        running += Math.min(endpoint.load().running(), endpoint.registration().slots());
        slots += endpoint.registration().slots();
      }
    }
    return running < MAX_BORROWING_LOAD * slots;
  }

  private boolean hasRoom(TrackedEndpoint endpoint, boolean borrows) {
    int assigned = assignedSlots(endpoint);
    if (endpoint.running() < assigned) {
      return true;
    }
    return borrows
        && endpoint.running() == assigned
        && endpoint.load().running() < endpoint.registration().slots();
  }

  /** Returns the number of slots of an endpoint that this daemon may always use. */
  private int assignedSlots(TrackedEndpoint endpoint) {
    int slots = endpoint.registration().slots();
    int first = Math.floorMod(endpoint.id().hashCode(), daemonCount);
    int offset = Math.floorMod(daemonIndex - first, daemonCount);
    return slots / daemonCount + (offset < slots % daemonCount ? 1 : 0);
  }

  private record Notice(double rejectionsPerSecond, long expiryMillis) {}
}
