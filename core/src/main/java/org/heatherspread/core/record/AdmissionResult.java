package org.heatherspread.core.record;

/** The answer of a table to a call that wants to start. */
public enum AdmissionResult {
  /** The call may go on. */
  ADMITTED,
  /** The id is known already; its outcome tells how it stands. */
  KNOWN,
  /** The id names another daemon or a former incarnation of this one. */
  NOT_KEEPER,
  /** The call's expiry has passed by this daemon's clock. */
  EXPIRED,
  /** The table is full. */
  FULL,
  /** The record was closed before the call started. */
  CLOSED,
  /** This daemon is stopping and starts no new record. */
  SEALED
}
