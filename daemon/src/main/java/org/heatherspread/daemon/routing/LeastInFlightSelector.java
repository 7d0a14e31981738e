package org.heatherspread.daemon.routing;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;

/**
 * Selects the endpoint with the fewest requests in flight from this daemon; among equals, the first
 * by id. Serves as the baseline in measurements of other selectors.
 *
 * <p>Thread-safe. Counts are never negative, as each selection decrements its count once.
 */
public final class LeastInFlightSelector implements EndpointSelector {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Supplier<MembershipSnapshot> membership;
  private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  private LeastInFlightSelector(Supplier<MembershipSnapshot> membership) {
    this.membership = membership;
  }

  /** Creates a selector over the endpoints of the current membership. */
  public static LeastInFlightSelector create(Supplier<MembershipSnapshot> membership) {
    return new LeastInFlightSelector(membership);
  }

  @Override
  public Selection select(SelectionRequest request) {
    Instance best = null;
    int fewest = Integer.MAX_VALUE;
    for (Member member : membership.get().endpoints(request.service())) {
      Instance candidate = member.instance();
      if (!member.takesNewWork() || request.excluded().contains(candidate.id())) {
        continue;
      }
      int count = count(candidate).get();
      boolean precedesBest = best != null && candidate.id().compareTo(best.id()) < 0;
      if (count < fewest || count == fewest && precedesBest) {
        fewest = count;
        best = candidate;
      }
    }
    if (best == null) {
      throw ServingException.of(ErrorKind.NO_ENDPOINT, "no live endpoint serves the service")
          .withRetryAfter(RETRY_AFTER);
    }
    return new CountedSelection(best, count(best));
  }

  private AtomicInteger count(Instance endpoint) {
    return inFlight.computeIfAbsent(endpoint.id(), id -> new AtomicInteger());
  }

  /** An attempt that is counted until it ends. */
  private static final class CountedSelection implements Selection {
    private final Instance endpoint;
    private final AtomicInteger count;
    private final AtomicBoolean counted = new AtomicBoolean(true);

    CountedSelection(Instance endpoint, AtomicInteger count) {
      this.endpoint = endpoint;
      this.count = count;
      count.incrementAndGet();
    }

    @Override
    public Instance endpoint() {
      return endpoint;
    }

    @Override
    public void recordCompletion() {
      release();
    }

    @Override
    public void recordFailure(EndpointFailure reason) {
      release();
    }

    private void release() {
      if (counted.compareAndSet(true, false)) {
        count.decrementAndGet();
      }
    }
  }
}
