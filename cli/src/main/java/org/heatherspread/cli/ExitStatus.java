package org.heatherspread.cli;

/** Exit codes of the command-line tool. */
public enum ExitStatus {
  /** The command succeeded. */
  OK(0),
  /** A daemon refused the request and its problem was printed, or no log line was found. */
  REFUSED(1),
  /** The command line or the settings are invalid. */
  USAGE(2),
  /** No daemon could be reached. */
  UNREACHABLE(3),
  /** The plan conflicts with a newer configuration or has expired. */
  CONFLICT(4),
  /** The plan was committed, but not all daemons have reported its version in time. */
  ROLLOUT_INCOMPLETE(5);

  private final int code;

  ExitStatus(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
