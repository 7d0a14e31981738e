package org.heatherspread.relay.rpc;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Timers of calls by path and outcome. Confined to one thread. */
public final class RpcMetrics {
  private final MeterRegistry registry;
  private final Map<String, Timer> timers = new HashMap<>();

  private RpcMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Creates metrics in a registry. */
  public static RpcMetrics create(MeterRegistry registry) {
    return new RpcMetrics(registry);
  }

  /**
   * Records the duration of a call.
   *
   * @param target path and query, of which only the path becomes a tag
   * @param outcome HTTP status, or the error code if there was no response
   */
  void recordCall(String target, String outcome, long millis) {
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    timers
        .computeIfAbsent(
            path + ' ' + outcome,
            key -> registry.timer("heatherspread.calls", "path", path, "outcome", outcome))
        .record(Duration.ofMillis(millis));
  }
}
