package org.heatherspread.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.node.control.ControlPlane;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerPressure;
import org.heatherspread.relay.caller.CallerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Gauges of the daemon's local state, and a periodic warning about dropped log lines. Confined to
 * the daemon's event loop.
 */
final class NodeMetrics {
  private static final Logger log = LoggerFactory.getLogger(NodeMetrics.class);
  private static final long DROP_CHECK_INTERVAL_SECONDS = 5;

  /** Ratio to the times of an average endpoint above which an endpoint counts as slow. */
  private static final double SLOW_RATIO = 1.5;

  /** Share of failed requests above which an endpoint counts as failing. */
  private static final double FAILING_SHARE = 0.1;

  private long reportedDropCount;

  private NodeMetrics() {}

  static NodeMetrics create(
      MeterRegistry registry,
      RelayState state,
      ControlPlane control,
      CallerServer callers,
      CallerPressure pressure) {
    gauge(registry, "heatherspread.config.version", state, NodeMetrics::configVersion);
    gauge(registry, "heatherspread.config.age.ms", state, s -> s.storeFreshness().ageMillis());
    gauge(registry, "heatherspread.endpoints.usable", state, NodeMetrics::usableEndpoints);
    gauge(registry, "heatherspread.endpoints.ejected", state, NodeMetrics::ejectedEndpoints);
    gauge(registry, "heatherspread.endpoints.slow", state, NodeMetrics::slowEndpoints);
    gauge(registry, "heatherspread.endpoints.failing", state, NodeMetrics::failingEndpoints);
    gauge(registry, "heatherspread.endpoints.memory.full", state, RelayState::fullEngines);
    gauge(registry, "heatherspread.endpoints.long.prompts", state, s -> s.longPromptEndpoints());
    gauge(registry, "heatherspread.endpoints.requests", state, NodeMetrics::runningRequests);
    gauge(
        registry, "heatherspread.connections.opened", state, s -> s.connectionPool().openedCount());
    gauge(
        registry,
        "heatherspread.connections.avoided",
        state,
        s -> s.connectionPool().avoidedCount());
    gauge(
        registry,
        "heatherspread.responses.unexpected",
        state,
        s -> s.connectionPool().unexpectedResponseCount());
    gauge(registry, "heatherspread.suspects.refused", state, s -> s.poisonFilter().refusedCount());
    gauge(registry, "heatherspread.daemons.live", control, c -> c.fleet().liveReports().size());
    gauge(registry, "heatherspread.duties.held", control, c -> c.holdsDuties() ? 1 : 0);
    gauge(registry, "heatherspread.callers.connections", callers, CallerServer::connectionCount);
    gauge(registry, "heatherspread.callers.requests", callers, CallerServer::requestsInProgress);
    gauge(registry, "heatherspread.callers.closed", pressure, CallerPressure::closedCount);
    gauge(registry, "heatherspread.callers.evicted", pressure, CallerPressure::evictedCount);
    gauge(registry, "heatherspread.callers.heads.bytes", pressure, CallerPressure::headBytes);
    gauge(registry, "heatherspread.buffers.bytes", state, s -> s.buffers().usedBytes());
    NodeMetrics metrics = new NodeMetrics();
    gauge(registry, "heatherspread.log.dropped", metrics, m -> BoundedAsyncAppender.droppedCount());
    metrics.scheduleDropCheck(state.loop());
    return metrics;
  }

  private static <T> void gauge(
      MeterRegistry registry, String name, T source, ToDoubleFunction<T> value) {
    registry.gauge(name, source, value);
  }

  private static double configVersion(RelayState state) {
    return state.config().map(ServingConfig::version).orElse(-1L);
  }

  private static double usableEndpoints(RelayState state) {
    long now = state.clock().millis();
    return state.endpoints().all().stream().filter(each -> each.isUsable(now)).count();
  }

  private static double ejectedEndpoints(RelayState state) {
    return state.endpoints().all().stream().filter(each -> each.health().isEjected()).count();
  }

  private static double slowEndpoints(RelayState state) {
    long now = state.clock().millis();
    return state.endpoints().all().stream()
        .filter(each -> each.recentSlowness(now) >= SLOW_RATIO)
        .count();
  }

  private static double failingEndpoints(RelayState state) {
    long now = state.clock().millis();
    return state.endpoints().all().stream()
        .filter(each -> each.failureShare(now) >= FAILING_SHARE)
        .count();
  }

  private static double runningRequests(RelayState state) {
    return state.endpoints().all().stream().mapToInt(TrackedEndpoint::running).sum();
  }

  private void scheduleDropCheck(EventLoop loop) {
    loop.scheduleWithFixedDelay(
        this::logNewDrops,
        DROP_CHECK_INTERVAL_SECONDS,
        DROP_CHECK_INTERVAL_SECONDS,
        TimeUnit.SECONDS);
  }

  private void logNewDrops() {
    long dropCount = BoundedAsyncAppender.droppedCount();
    if (dropCount > reportedDropCount) {
      log.atWarn().addKeyValue("lines", dropCount - reportedDropCount).log("log lines dropped");
      reportedDropCount = dropCount;
    }
  }
}
