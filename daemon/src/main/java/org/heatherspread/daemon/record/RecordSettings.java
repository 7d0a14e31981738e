package org.heatherspread.daemon.record;

import java.time.Duration;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.settings.Section;

/**
 * Timeouts and limits of request records. Immutable.
 *
 * @param limits memory limits of each table
 * @param witnessTimeout time to wait for the witness before the owner closes a call as not run
 * @param maxReportWait maximum delay of a response while its outcome is reported to the witness; a
 *     caller that loses the response together with the owner then gets it from the witness
 * @param lookupTimeout time for one record holder to respond to a lookup
 * @param maxDispatchDelay maximum time from receipt to dispatch of a call without a permit
 */
public record RecordSettings(
    RecordLimits limits,
    Duration witnessTimeout,
    Duration maxReportWait,
    Duration lookupTimeout,
    Duration maxDispatchDelay) {
  private static final Duration DEFAULT_WITNESS_TIMEOUT = Duration.ofMillis(500);
  private static final Duration DEFAULT_MAX_REPORT_WAIT = Duration.ofMillis(50);
  private static final Duration DEFAULT_LOOKUP_TIMEOUT = Duration.ofMillis(700);
  private static final Duration DEFAULT_MAX_DISPATCH_DELAY = Duration.ofSeconds(60);
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(10);
  private static final Duration MAX_TIMEOUT = Duration.ofSeconds(30);
  private static final int MAX_CAPACITY = 10_000_000;

  /** Returns the settings for a small entry instance. */
  public static RecordSettings defaults() {
    return new RecordSettings(
        RecordLimits.defaults(),
        DEFAULT_WITNESS_TIMEOUT,
        DEFAULT_MAX_REPORT_WAIT,
        DEFAULT_LOOKUP_TIMEOUT,
        DEFAULT_MAX_DISPATCH_DELAY);
  }

  /** Reads the section {@code [records]}. */
  public static RecordSettings read(Section section) {
    RecordLimits limits = RecordLimits.defaults();
    return new RecordSettings(
        limits
            .withCapacity(section.integer("capacity", limits.capacity(), 1, MAX_CAPACITY))
            .withRetention(
                section.duration(
                    "retention", limits.retention(), Duration.ofSeconds(1), Duration.ofDays(1))),
        section.duration("witness_timeout", DEFAULT_WITNESS_TIMEOUT, MIN_TIMEOUT, MAX_TIMEOUT),
        section.duration("report_wait", DEFAULT_MAX_REPORT_WAIT, Duration.ZERO, MAX_TIMEOUT),
        section.duration("lookup_timeout", DEFAULT_LOOKUP_TIMEOUT, MIN_TIMEOUT, MAX_TIMEOUT),
        section.duration(
            "life", DEFAULT_MAX_DISPATCH_DELAY, Duration.ofSeconds(1), Duration.ofMinutes(30)));
  }
}
