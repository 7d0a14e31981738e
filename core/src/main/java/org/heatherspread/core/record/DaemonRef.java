package org.heatherspread.core.record;

/**
 * One life of a daemon: its instance id and incarnation. A daemon that restarts has a new
 * incarnation and an empty memory, so what was said to the former one does not bind the new one.
 * Immutable.
 *
 * @param id instance id; letters, digits, dot, hyphen and underscore only
 * @param incarnation the platform's incarnation number, not negative
 */
public record DaemonRef(String id, long incarnation) {
  /** Checks that the reference can be written into a request id. */
  public DaemonRef {
    if (id.isEmpty() || !id.chars().allMatch(DaemonRef::allowed)) {
      throw new IllegalArgumentException("instance id has characters that are not allowed: " + id);
    }
    if (incarnation < 0) {
      throw new IllegalArgumentException("negative incarnation: " + incarnation);
    }
  }

  private static boolean allowed(int c) {
    return c >= 'a' && c <= 'z'
        || c >= 'A' && c <= 'Z'
        || c >= '0' && c <= '9'
        || c == '.'
        || c == '-'
        || c == '_';
  }
}
