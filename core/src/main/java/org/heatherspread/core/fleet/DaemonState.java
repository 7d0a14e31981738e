package org.heatherspread.core.fleet;

/** Whether a daemon takes callers. */
public enum DaemonState {
  /** Knows no configuration yet. */
  STARTING,
  /** Takes callers. */
  READY,
  /** Ends soon and takes no new callers. */
  LEAVING
}
