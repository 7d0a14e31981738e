package org.heatherspread.core.config;

/** Builds and compares paths that identify parts of the configuration. Stateless. */
final class ConfigPath {
  private ConfigPath() {}

  static String service(String name) {
    return "service/" + name;
  }

  static String account(String name) {
    return "account/" + name;
  }

  static String version(String service, String version) {
    return service(service) + "/version/" + version;
  }

  static String domain(String service, String domain) {
    return service(service) + "/domain/" + domain;
  }

  /** Returns whether a path equals another or is an ancestor of it. */
  static boolean covers(String path, String other) {
    return other.equals(path) || other.startsWith(path + "/");
  }

  static boolean overlap(String left, String right) {
    return covers(left, right) || covers(right, left);
  }
}
