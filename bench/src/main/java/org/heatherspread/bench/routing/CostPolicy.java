package org.heatherspread.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.routing.CacheEvent;
import org.heatherspread.core.routing.CacheEventConsumer;
import org.heatherspread.core.routing.CostRouter;
import org.heatherspread.core.routing.Dispatch;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.RoutingDecision;
import org.heatherspread.core.routing.RoutingRequest;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.core.routing.RoutingWeights;

/** The cost router as one modelled daemon runs it. Not safe for use by several threads. */
final class CostPolicy implements Policy {
  private static final long INDEX_BYTES = 4 << 20;
  private static final int INDEX_LIFETIME_SECONDS = 600;
  private static final double INTERVAL_SHARE = 0.9;

  private final RoutingSnapshot snapshot;
  private final PrefixIndex index;
  private final CostRouter router;
  private final List<CacheEventConsumer> feeds = new ArrayList<>();
  private final Random random;
  private final boolean rejectEarly;
  private final LatencyTarget target;

  private CostPolicy(
      List<EndpointView> views, RoutingWeights weights, boolean rejectEarly, Random random) {
    this.snapshot = RoutingSnapshot.of(views);
    this.index = PrefixIndex.create(INDEX_BYTES, INDEX_LIFETIME_SECONDS);
    this.router = CostRouter.create(weights, HealthPolicy.defaults(), index);
    this.random = random;
    this.rejectEarly = rejectEarly;
    this.target =
        new LatencyTarget(
            Duration.ofMillis((long) Simulation.FIRST_TOKEN_MILLIS),
            Duration.ofMillis((long) Simulation.INTERVAL_MILLIS));
    for (EndpointView view : views) {
      feeds.add(CacheEventConsumer.create(index, view.slot()));
    }
  }

  static Policy.Factory factory(RoutingWeights weights, boolean rejectEarly) {
    return (views, random) -> new CostPolicy(views, weights, rejectEarly, random);
  }

  @Override
  public Dispatch send(SimRequest request, double nowMillis) {
    long now = (long) nowMillis;
    RoutingRequest wanted =
        RoutingRequest.of(request.hashes, request.promptTokens, request.answerTokens, target);
    Optional<RoutingDecision> decision = router.choose(snapshot, wanted, now, random);
    if (decision.isEmpty() || (rejectEarly && hopeless(decision.get()))) {
      return null;
    }
    index.add(request.hashes, request.hashes.length, decision.get().endpoint().slot(), now);
    return decision.get().dispatch(now);
  }

  private static boolean hopeless(RoutingDecision decision) {
    return decision.expectedFirstTokenMillis() > Simulation.FIRST_TOKEN_MILLIS
        || decision.expectedIntervalMillis() > INTERVAL_SHARE * Simulation.INTERVAL_MILLIS;
  }

  @Override
  public void events(int endpoint, List<CacheEvent> events, double nowMillis) {
    for (CacheEvent event : events) {
      feeds.get(endpoint).apply(event, (long) nowMillis);
    }
  }
}
