package org.heatherspread.core.serving;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A network address. Immutable.
 *
 * @param host IP address
 * @param port port number, from 0 to 65535; 0 stands for any free port when listening
 */
public record HostPort(String host, int port) {
  private static final int MAX_PORT = 65_535;
  private static final Pattern FORM = Pattern.compile("(.+):([0-9]{1,5})");

  /** Checks the port, since connecting to one out of range throws. */
  public HostPort {
    if (port < 0 || port > MAX_PORT) {
      throw new IllegalArgumentException("port is " + port + ", must be between 0 and " + MAX_PORT);
    }
  }

  /**
   * Parses an address of the form {@code host:port}.
   *
   * @throws IllegalArgumentException if the text is not of this form or the port is out of range
   */
  public static HostPort parse(String text) {
    Matcher matcher = FORM.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("not an address of the form host:port: " + text);
    }
    return new HostPort(matcher.group(1), Integer.parseInt(matcher.group(2)));
  }

  @Override
  public String toString() {
    return host + ':' + port;
  }
}
