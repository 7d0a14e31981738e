package org.heatherspread.daemon.record;

import java.time.Duration;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.settings.Section;

/**
 * Time-outs and bounds of the records of requests. Immutable.
 *
 * @param limits bounds on the memory of each table
 * @param witnessTimeout how long the owner waits for the witness before it closes a call as not run
 * @param maxReportWait how long an answer waits at most until the witness has it as well, so that a
 *     caller that loses the answer with its owner still gets it
 * @param lookupTimeout how long one keeper is given to answer about a record
 * @param maxDispatchDelay how long a call without a permit may take until it is dispatched
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
