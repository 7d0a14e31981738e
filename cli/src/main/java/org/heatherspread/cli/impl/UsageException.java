package org.heatherspread.cli.impl;

/** The command line was wrong; the message tells how to right it. Immutable. */
public final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the failure. */
  public UsageException(String message) {
    super(message);
  }
}
