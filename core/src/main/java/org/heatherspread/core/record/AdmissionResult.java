package org.heatherspread.core.record;

/** Result of admitting a call to a record table. */
public enum AdmissionResult {
  /** The call may proceed. */
  ADMITTED,
  /** The id is already recorded; its outcome gives the state of the call. */
  KNOWN,
  /** The id names another daemon or an earlier incarnation of this one. */
  NOT_KEEPER,
  /** The call has expired by this daemon's clock. */
  EXPIRED,
  /** The table is full. */
  FULL,
  /** The record was closed before the call started. */
  CLOSED,
  /** This daemon is stopping and admits no new records. */
  SEALED
}
