package org.heatherspread.relay.call;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Counters and timers of the relay, cached by tag. Confined to one thread. */
public final class CallMetrics {
  private final MeterRegistry registry;
  private final Map<String, Counter> counters = new HashMap<>();
  private final Map<String, Timer> timers = new HashMap<>();

  private CallMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  /** Creates metrics in a registry. */
  public static CallMetrics create(MeterRegistry registry) {
    return new CallMetrics(registry);
  }

  /** Returns the registry that the metrics are in. */
  MeterRegistry registry() {
    return registry;
  }

  /** Counts a refusal by the relay. */
  public void recordRefusal(Refusal reason) {
    counter("heatherspread.refusals", "reason", reason.code()).increment();
  }

  /** Counts a retry. */
  public void recordRetry(String reason) {
    counter("heatherspread.repeats", "reason", reason).increment();
  }

  /** Counts a request that was forwarded to another daemon. */
  void recordForward(Refusal reason) {
    counter("heatherspread.forwards", "reason", reason.code()).increment();
  }

  /** Counts a retry denied by the retry budget. */
  public void recordRetryDenied(String service) {
    counter("heatherspread.repeats.denied", "service", service).increment();
  }

  /** Counts a forwarded response and records its time to the first byte. */
  public void recordResponse(String service, int status, long millis) {
    counter("heatherspread.answers", "status", Integer.toString(status)).increment();
    timers
        .computeIfAbsent(
            service,
            name ->
                Timer.builder("heatherspread.answer.time")
                    .tag("service", name)
                    .publishPercentileHistogram()
                    .minimumExpectedValue(Duration.ofMillis(1))
                    .maximumExpectedValue(Duration.ofSeconds(20))
                    .register(registry))
        .record(Duration.ofMillis(millis));
  }

  private Counter counter(String name, String tag, String value) {
    return counters.computeIfAbsent(name + '/' + value, key -> registry.counter(name, tag, value));
  }
}
