package org.heatherspread.core.model;

/** How an instance is bought. */
public enum Market {
  /** The owner may reclaim the instance with seconds of notice. */
  RECLAIMABLE,
  /** The instance stays until it is given back. */
  ON_DEMAND
}
