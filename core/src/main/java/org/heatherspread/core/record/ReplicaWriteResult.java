package org.heatherspread.core.record;

/** Result of writing a replica to a table. */
public enum ReplicaWriteResult {
  /** This replica, or a later one of the same owner, is stored. */
  KEPT,
  /** A later owner holds the record, or it is closed; the writer must stop. */
  TAKEN_OVER,
  /** The table is full or stopping; the writer should use another daemon. */
  REFUSED
}
