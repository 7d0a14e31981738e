package org.heatherspread.cli.impl;

/** Indicates invalid command-line arguments; the message states the valid ones. Immutable. */
public final class UsageException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  public UsageException(String message) {
    super(message);
  }
}
