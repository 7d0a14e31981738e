package org.heatherspread.daemon.membership;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.util.concurrent.TimeUnit;

/** Metrics of the membership exchange. Immutable and thread-safe. */
final class MembershipMetrics {
  private final Counter sentMessages;
  private final Counter sentBytes;
  private final Counter receivedMessages;
  private final Counter receivedBytes;
  private final Counter failures;
  private final Counter malformed;
  private final Counter platformFailures;
  private final Timer handling;

  private MembershipMetrics(MeterRegistry meters) {
    sentMessages = counter(meters, "messages", "sent");
    receivedMessages = counter(meters, "messages", "received");
    sentBytes = counter(meters, "bytes", "sent");
    receivedBytes = counter(meters, "bytes", "received");
    failures =
        Counter.builder("heatherspread.membership.exchange.failures")
            .description("Exchanges that another daemon did not answer in time")
            .register(meters);
    malformed =
        Counter.builder("heatherspread.membership.exchange.malformed")
            .description("Messages of other daemons that were not understood")
            .register(meters);
    platformFailures =
        Counter.builder("heatherspread.membership.platform.failures")
            .description("Reads of the instance list or the notices that failed")
            .register(meters);
    handling =
        Timer.builder("heatherspread.membership.handling")
            .description("Time that the membership thread worked")
            .register(meters);
  }

  static MembershipMetrics create(MeterRegistry meters) {
    return new MembershipMetrics(meters);
  }

  private static Counter counter(MeterRegistry meters, String quantity, String direction) {
    return Counter.builder("heatherspread.membership.exchange." + quantity)
        .description("Exchange between daemons, by direction")
        .tag("direction", direction)
        .register(meters);
  }

  void recordSent(int bytes) {
    sentMessages.increment();
    sentBytes.increment(bytes);
  }

  void recordReceived(int bytes) {
    receivedMessages.increment();
    receivedBytes.increment(bytes);
  }

  void recordExchangeFailure() {
    failures.increment();
  }

  void recordMalformedMessage() {
    malformed.increment();
  }

  void recordPlatformFailure() {
    platformFailures.increment();
  }

  void recordHandling(long nanos) {
    handling.record(nanos, TimeUnit.NANOSECONDS);
  }
}
