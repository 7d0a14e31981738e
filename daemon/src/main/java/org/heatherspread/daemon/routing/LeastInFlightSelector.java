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
 * Chooses the endpoint with the fewest requests in flight from this daemon, the first by id among
 * equals; the baseline that other selectors are measured against.
 *
 * <p>Safe for use by any thread. A count is never negative: each selection gives its count back
 * once.
 */
public final class LeastInFlightSelector implements EndpointSelector {
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  private final Supplier<MembershipSnapshot> membership;
  private final Map<String, AtomicInteger> inFlight = new ConcurrentHashMap<>();

  private LeastInFlightSelector(Supplier<MembershipSnapshot> membership) {
    this.membership = membership;
  }

  /** Creates a selector over the endpoints of the latest belief. */
  public static LeastInFlightSelector create(Supplier<MembershipSnapshot> membership) {
    return new LeastInFlightSelector(membership);
  }

  @Override
  public Selection select(RouteRequest request) {
    Instance best = null;
    int fewest = Integer.MAX_VALUE;
    for (Member member : membership.get().endpoints(request.service())) {
      Instance candidate = member.instance();
      if (!member.takesNewWork() || request.excluded().contains(candidate.id())) {
        continue;
      }
      int count = count(candidate).get();
      boolean sooner = best != null && candidate.id().compareTo(best.id()) < 0;
      if (count < fewest || count == fewest && sooner) {
        fewest = count;
        best = candidate;
      }
    }
    if (best == null) {
      throw ServingException.of(ErrorKind.NO_ENDPOINT, "no live endpoint serves the service")
          .withRetryAfter(RETRY_AFTER);
    }
    return new Counted(best, count(best));
  }

  private AtomicInteger count(Instance endpoint) {
    return inFlight.computeIfAbsent(endpoint.id(), id -> new AtomicInteger());
  }

  /** One attempt, counted until it ends. */
  private static final class Counted implements Selection {
    private final Instance endpoint;
    private final AtomicInteger count;
    private final AtomicBoolean open = new AtomicBoolean(true);

    Counted(Instance endpoint, AtomicInteger count) {
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
      if (open.compareAndSet(true, false)) {
        count.decrementAndGet();
      }
    }
  }
}
