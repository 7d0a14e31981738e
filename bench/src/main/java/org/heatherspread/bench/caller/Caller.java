package org.heatherspread.bench.caller;

/**
 * Makes calls and waits for their outcome.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Caller {
  /** Makes one call and blocks until it ends; failures are reported in the result, not thrown. */
  CallReport call(CallSpec spec);
}
