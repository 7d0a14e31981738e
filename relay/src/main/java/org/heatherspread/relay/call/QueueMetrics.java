package org.heatherspread.relay.call;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import org.heatherspread.core.queue.RejectionCause;
import org.heatherspread.core.queue.RequestQueue;

/** Metrics of the queue of one service. Confined to one thread, except the gauges. */
final class QueueMetrics {
  private final Timer waits;
  private final Map<RejectionCause, Counter> rejections = new EnumMap<>(RejectionCause.class);
  private volatile double length;
  private volatile double workMillis;

  private QueueMetrics(MeterRegistry registry, String service) {
    waits =
        Timer.builder("heatherspread.queue.wait")
            .tag("service", service)
            .publishPercentileHistogram()
            .minimumExpectedValue(Duration.ofMillis(1))
            .maximumExpectedValue(Duration.ofSeconds(20))
            .register(registry);
    for (RejectionCause cause : RejectionCause.values()) {
      Counter counter =
          registry.counter(
              "heatherspread.queue.rejections", "service", service, "cause", cause.code());
      rejections.put(cause, counter);
    }
  }

  /** Creates the metrics of a service in a registry. */
  static QueueMetrics create(MeterRegistry registry, String service) {
    QueueMetrics metrics = new QueueMetrics(registry, service);
    registerGauges(registry, service, metrics);
    return metrics;
  }

  private static void registerGauges(MeterRegistry registry, String service, QueueMetrics metrics) {
    Gauge.builder("heatherspread.queue.length", metrics, each -> each.length)
        .tag("service", service)
        .register(registry);
    Gauge.builder("heatherspread.queue.work.ms", metrics, each -> each.workMillis)
        .tag("service", service)
        .register(registry);
  }

  void update(RequestQueue<?> queue) {
    length = queue.size();
    workMillis = queue.workMillis();
  }

  void recordWait(long millis) {
    waits.record(Duration.ofMillis(millis));
  }

  void recordRejection(RejectionCause cause) {
    rejections.get(cause).increment();
  }
}
