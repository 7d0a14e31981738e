package org.heatherspread.cli;

/** Exit codes of the command-line tool. */
public enum ExitStatus {
  /** Done as asked. */
  OK(0),
  /** A daemon refused; its answer was printed. */
  REFUSED(1),
  /** The command line or the settings were wrong. */
  USAGE(2),
  /** No daemon could be reached. */
  UNREACHABLE(3),
  /** Another operator's confirmation won. */
  CONFLICT(4),
  /** Committed, but some daemons had not reported it in time. */
  ROLLOUT_INCOMPLETE(5);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the process's exit code. */
  public int code() {
    return code;
  }
}
