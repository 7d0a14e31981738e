package org.heatherspread.core.placement;

import java.util.List;

/**
 * Leading segments of a prompt that an endpoint has cached and other requests may share. Immutable;
 * sent to other daemons as JSON under the names of its components.
 *
 * @param endpoint id of the endpoint
 */
public record CachedPrefix(String endpoint, List<PromptSegment> segments) {
  /** Copies the list to keep the record immutable. */
  public CachedPrefix {
    segments = List.copyOf(segments);
  }
}
