package org.heatherspread.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.serving.ServingConfig;
import org.heatherspread.node.control.ControlPlane;
import org.heatherspread.relay.call.RelayState;
import org.heatherspread.relay.caller.CallerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Gauges of what the daemon believes and holds, read on its event loop. */
final class NodeMetrics {
  private static final Logger log = LoggerFactory.getLogger(NodeMetrics.class);
  private static final long DROPPED_CHECK_SECONDS = 5;

  private long droppedTold;

  private NodeMetrics() {}

  static NodeMetrics create(
      MeterRegistry registry, RelayState state, ControlPlane control, CallerServer callers) {
    gauge(registry, "heatherspread.config.version", state, NodeMetrics::version);
    gauge(registry, "heatherspread.config.age.ms", state, s -> s.contact().ageMillis());
    gauge(registry, "heatherspread.endpoints.usable", state, NodeMetrics::usable);
    gauge(registry, "heatherspread.endpoints.ejected", state, NodeMetrics::ejected);
    gauge(registry, "heatherspread.endpoints.requests", state, NodeMetrics::running);
    gauge(registry, "heatherspread.connections.opened", state, s -> s.pool().opened());
    gauge(registry, "heatherspread.daemons.live", control, c -> c.fleet().live().size());
    gauge(registry, "heatherspread.duties.held", control, c -> c.holdsDuties() ? 1 : 0);
    gauge(registry, "heatherspread.callers.connections", callers, CallerServer::connections);
    gauge(registry, "heatherspread.callers.requests", callers, CallerServer::busy);
    NodeMetrics metrics = new NodeMetrics();
    gauge(registry, "heatherspread.log.dropped", metrics, m -> BoundedLog.dropped());
    metrics.watchDropped(state.loop());
    return metrics;
  }

  private static <T> void gauge(
      MeterRegistry registry, String name, T source, ToDoubleFunction<T> value) {
    registry.gauge(name, source, value);
  }

  private static double version(RelayState state) {
    return state.config().map(ServingConfig::version).orElse(-1L);
  }

  private static double usable(RelayState state) {
    long now = state.clock().millis();
    return state.endpoints().all().stream().filter(each -> each.isUsable(now)).count();
  }

  private static double ejected(RelayState state) {
    return state.endpoints().all().stream().filter(each -> each.health().isEjected()).count();
  }

  private static double running(RelayState state) {
    return state.endpoints().all().stream().mapToInt(TrackedEndpoint::running).sum();
  }

  private void watchDropped(EventLoop loop) {
    loop.scheduleWithFixedDelay(
        this::tellDropped, DROPPED_CHECK_SECONDS, DROPPED_CHECK_SECONDS, TimeUnit.SECONDS);
  }

  private void tellDropped() {
    long dropped = BoundedLog.dropped();
    if (dropped > droppedTold) {
      log.atWarn().addKeyValue("lines", dropped - droppedTold).log("log lines dropped");
      droppedTold = dropped;
    }
  }
}
