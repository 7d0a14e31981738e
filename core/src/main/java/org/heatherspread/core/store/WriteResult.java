package org.heatherspread.core.store;

/** The answer of the table service to a conditional write. */
public enum WriteResult {
  /** The write took effect. */
  APPLIED,
  /** The condition did not hold; nothing changed. */
  CONFLICT
}
