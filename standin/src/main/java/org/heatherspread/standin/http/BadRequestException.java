package org.heatherspread.standin.http;

/** Thrown for a malformed request, to which the server responds with status 400. Immutable. */
public final class BadRequestException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message is sent to the client. */
  public BadRequestException(String message) {
    super(message);
  }
}
