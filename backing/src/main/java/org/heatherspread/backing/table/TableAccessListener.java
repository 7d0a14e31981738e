package org.heatherspread.backing.table;

import java.time.Duration;

/**
 * Is told of each operation on the table service, so that accesses can be counted by kind.
 *
 * <p>Called in the client's threads; must not block.
 */
@FunctionalInterface
public interface TableAccessListener {
  /** Is called after each operation. */
  void onAccess(Access access, Outcome outcome, Duration took);

  /** Returns a listener that ignores everything. */
  static TableAccessListener none() {
    return (access, outcome, took) -> {};
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

  /** How an operation ended. */
  enum Outcome {
    /** It was served; a write took effect. */
    SERVED,
    /** The condition of a write did not hold. */
    CONFLICT,
    /** It failed and had no effect. */
    UNAVAILABLE,
    /** A write failed and may have taken effect. */
    UNKNOWN
  }
}
