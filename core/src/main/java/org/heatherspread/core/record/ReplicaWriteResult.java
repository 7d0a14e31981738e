package org.heatherspread.core.record;

/** The answer of a table to a write of a copy. */
public enum ReplicaWriteResult {
  /** This copy, or a later one of the same owner, is kept. */
  KEPT,
  /** A later owner has the record, or it was closed; the writer must stop. */
  TAKEN_OVER,
  /** The table is full or stopping; the writer should use another keeper. */
  REFUSED
}
