package org.heatherspread.core.model;

/** Kind of process that an instance runs. */
public enum InstanceKind {
  /** A heatherspread daemon. */
  DAEMON,
  /** A model engine. */
  ENGINE,
  /** A plain service. */
  PLAIN
}
