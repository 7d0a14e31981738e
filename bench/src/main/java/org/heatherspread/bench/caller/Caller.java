package org.heatherspread.bench.caller;

/**
 * Makes calls and follows them to their end.
 *
 * <p>Implementations are safe for use by any thread; a call blocks its thread.
 */
@FunctionalInterface
public interface Caller {
  /** Makes one call; never fails, since a failure is a report. */
  CallReport call(CallSpec spec);
}
