package org.heatherspread.core.poison;

/**
 * One life of an endpoint; it crashes at most once. Immutable.
 *
 * @param id instance id
 * @param incarnation as the daemon knew it when it sent the request
 */
public record EndpointIncarnation(String id, long incarnation) {
  /** Returns the name of this life's crash, the same at every daemon. */
  public String crashId() {
    return id + "@" + incarnation;
  }
}
