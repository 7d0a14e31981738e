package org.heatherspread.standin.http;

/** A request that a stand-in cannot read; answered with status 400. Immutable. */
public final class BadRequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the failure with a sentence for the log of the sender. */
  public BadRequestException(String message) {
    super(message);
  }
}
