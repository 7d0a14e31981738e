package org.heatherspread.core.model;

/** The state of an instance in the platform's instance list. */
public enum InstanceState {
  /** Starting; not yet answering. */
  STARTING,
  /** In service. */
  LIVE,
  /** Under notice, or being stopped; gets no new work. */
  LEAVING
}
