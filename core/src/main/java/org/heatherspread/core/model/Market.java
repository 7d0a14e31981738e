package org.heatherspread.core.model;

/** Market in which an instance is bought. */
public enum Market {
  /** The provider may reclaim the instance at a few seconds' notice. */
  RECLAIMABLE,
  /** The instance runs until it is released. */
  ON_DEMAND
}
