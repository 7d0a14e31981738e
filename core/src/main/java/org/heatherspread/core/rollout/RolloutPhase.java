package org.heatherspread.core.rollout;

/** Phase of the move of a service to another version. Names are stored. */
public enum RolloutPhase {
  /** No order has been accepted yet. */
  NONE,
  /** The order is accepted; no endpoint of the new version is registered. */
  PENDING,
  /** The new version receives a small share of the requests. */
  CANARY,
  /** The new version receives all new requests, and the streams of the others end. */
  SHIFT,
  /** The new version is in force. */
  COMPLETED,
  /** The new version receives nothing. */
  REVERTED;

  /** Returns whether the move has neither completed nor been reverted. */
  public boolean isInProgress() {
    return this == PENDING || this == CANARY || this == SHIFT;
  }
}
