package org.heatherspread.core.fleet;

/** Whether a daemon accepts callers. Written to reports under the names of its constants. */
public enum DaemonState {
  /** Has no configuration yet. */
  STARTING,
  /** Accepts callers. */
  READY,
  /** Stops soon and accepts no new callers. */
  LEAVING
}
