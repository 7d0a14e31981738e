package org.heatherspread.core.record;

/**
 * Identifies one incarnation of a daemon. A restarted daemon has a new incarnation and no memory,
 * so anything acknowledged by the previous incarnation does not bind it. Immutable.
 *
 * @param id instance id; letters, digits, dot, hyphen and underscore only
 * @param incarnation incarnation number assigned by the platform, not negative
 */
public record DaemonRef(String id, long incarnation) {
  /** Checks that the reference can be encoded in a request id. */
  public DaemonRef {
    if (id.isEmpty() || !id.chars().allMatch(DaemonRef::allowed)) {
      throw new IllegalArgumentException("instance id is empty or has invalid characters: " + id);
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
