package org.heatherspread.core.stream;

/**
 * Where the first event of a stream came from. The stream may continue only at endpoints of the
 * same service and version. Immutable; sent to other daemons as JSON under the names of its
 * components.
 *
 * @param service service of the endpoint
 * @param version version of the endpoint's software
 */
public record StreamOrigin(String service, String version) {
  private static final String UNKNOWN = "unregistered@";

  /**
   * Returns the origin of a stream that began at an endpoint whose current incarnation has not been
   * registered yet. It may be of any version, so the stream continues nowhere else.
   *
   * @param endpoint id of the endpoint
   */
  public static StreamOrigin ofUnknownVersion(String service, String endpoint) {
    return new StreamOrigin(service, UNKNOWN + endpoint);
  }
}
