package org.heatherspread.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.MultiGauge;
import io.micrometer.core.instrument.Tags;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.rollout.RolloutState;
import org.heatherspread.core.rollout.RouteCounts;
import org.heatherspread.core.rollout.ServiceCounts;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.call.VersionRouting;

/**
 * Gauges of the moves of services to other versions, as this daemon sees them. Confined to the
 * daemon's event loop.
 */
final class RolloutMetrics {
  private static final long INTERVAL_SECONDS = 1;

  private final VersionRouting routing;
  private final MultiGauge phase;
  private final MultiGauge share;
  private final MultiGauge responses;
  private final MultiGauge failures;
  private final MultiGauge slow;

  private RolloutMetrics(MeterRegistry registry, VersionRouting routing) {
    this.routing = routing;
    this.phase = MultiGauge.builder("heatherspread.rollout.phase").register(registry);
    this.share = MultiGauge.builder("heatherspread.rollout.share").register(registry);
    this.responses = MultiGauge.builder("heatherspread.rollout.responses").register(registry);
    this.failures = MultiGauge.builder("heatherspread.rollout.failures").register(registry);
    this.slow = MultiGauge.builder("heatherspread.rollout.slow").register(registry);
  }

  /** Creates gauges if the deployment asks for rollouts. */
  static void create(MeterRegistry registry, RelayState state) {
    if (!state.versionRouting().isEnabled()) {
      return;
    }
    RolloutMetrics metrics = new RolloutMetrics(registry, state.versionRouting());
    state
        .loop()
        .scheduleWithFixedDelay(
            metrics::update, INTERVAL_SECONDS, INTERVAL_SECONDS, TimeUnit.SECONDS);
  }

  private void update() {
    List<MultiGauge.Row<?>> phases = new ArrayList<>();
    List<MultiGauge.Row<?>> shares = new ArrayList<>();
    for (RolloutState state : routing.gate().states()) {
      Tags tags = Tags.of("service", state.service());
      phases.add(MultiGauge.Row.of(tags, state.phase().ordinal()));
      shares.add(MultiGauge.Row.of(tags, state.share()));
    }
    phase.register(phases, true);
    share.register(shares, true);
    updateCounts();
  }

  private void updateCounts() {
    List<MultiGauge.Row<?>> outcomes = new ArrayList<>();
    List<MultiGauge.Row<?>> failed = new ArrayList<>();
    List<MultiGauge.Row<?>> late = new ArrayList<>();
    for (ServiceCounts counts : routing.meter().counts()) {
      Map<String, long[]> byVersion = new HashMap<>();
      for (RouteCounts route : counts.routes()) {
        long[] sums = byVersion.computeIfAbsent(route.version(), version -> new long[3]);
        sums[0] += route.outcomes();
        sums[1] += route.failures();
        sums[2] += route.slow();
      }
      byVersion.forEach(
          (version, sums) -> {
            Tags tags = Tags.of("service", counts.service(), "version", version);
            outcomes.add(MultiGauge.Row.of(tags, sums[0]));
            failed.add(MultiGauge.Row.of(tags, sums[1]));
            late.add(MultiGauge.Row.of(tags, sums[2]));
          });
    }
    responses.register(outcomes, true);
    failures.register(failed, true);
    slow.register(late, true);
  }
}
