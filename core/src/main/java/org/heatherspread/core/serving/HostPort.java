package org.heatherspread.core.serving;

/**
 * A network address. Immutable.
 *
 * @param host IP address
 * @param port port number
 */
public record HostPort(String host, int port) {
  /**
   * Parses an address of the form {@code host:port}.
   *
   * @throws IllegalArgumentException if the text is not of this form
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not an address of the form host:port: " + text);
    }
    return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
