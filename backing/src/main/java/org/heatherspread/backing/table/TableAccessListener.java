package org.heatherspread.backing.table;

import java.time.Duration;

/**
 * Listens to operations on the table service, so that they can be counted by kind and outcome.
 *
 * <p>Called in the threads of the client; must not block.
 */
@FunctionalInterface
public interface TableAccessListener {
  /** Called after each operation. */
  void onAccess(Access access, Outcome outcome, Duration elapsed);

  /** Returns a listener without effect. */
  static TableAccessListener none() {
    return (access, outcome, elapsed) -> {};
  }

  /** The kinds of operations. */
  enum Access {
    /** Read of one row. */
    GET,
    /** Read of several rows. */
    QUERY,
    /** Conditional write of a row. */
    PUT,
    /** Conditional deletion of a row. */
    DELETE
  }

  /** The outcome of an operation. */
  enum Outcome {
    /** The operation succeeded; a write took effect. */
    SERVED,
    /** The condition of a write did not hold. */
    CONFLICT,
    /** The operation failed and had no effect. */
    UNAVAILABLE,
    /** A write failed and may have taken effect. */
    UNKNOWN
  }
}
