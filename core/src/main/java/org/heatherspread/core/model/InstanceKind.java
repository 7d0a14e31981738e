package org.heatherspread.core.model;

/** What an instance runs. */
public enum InstanceKind {
  /** One of our daemons. */
  DAEMON,
  /** A model engine. */
  ENGINE,
  /** A plain service. */
  PLAIN
}
