package org.heatherspread.core.serving;

/** An address by IP number. */
public record HostPort(String host, int port) {
  /**
   * Reads {@code host:port}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static HostPort parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("not an address: " + text);
    }
    return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
