package org.heatherspread.core.model;

/** The state of an instance in the platform's instance list. */
public enum InstanceState {
  /** Starting, not serving yet. */
  STARTING,
  /** In service. */
  LIVE,
  /** Under reclaim notice or being stopped; receives no new requests. */
  LEAVING
}
