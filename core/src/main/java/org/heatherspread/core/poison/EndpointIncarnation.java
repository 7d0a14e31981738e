package org.heatherspread.core.poison;

/**
 * One incarnation of an endpoint, which can crash at most once. Immutable.
 *
 * @param id instance id
 * @param incarnation incarnation that the daemon knew when it sent the request
 */
public record EndpointIncarnation(String id, long incarnation) {
  /** Returns the id of this incarnation's crash, the same at every daemon. */
  public String crashId() {
    return id + "@" + incarnation;
  }
}
