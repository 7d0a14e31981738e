package org.heatherspread.core.store;

/** The result of a conditional write to the table service. */
public enum WriteResult {
  /** The write took effect. */
  APPLIED,
  /** The condition was not met; nothing changed. */
  CONFLICT
}
