package org.heatherspread.core.placement;

import java.util.List;

/**
 * The work that a request causes at a model endpoint. Immutable.
 *
 * @param segments the prompt's segments in order; the last belongs to this request or its session
 * @param promptTokens tokens of the whole prompt
 * @param answerTokens maximum or expected tokens of the answer
 */
public record Workload(List<PromptSegment> segments, int promptTokens, int answerTokens) {
  /** The workload of a request to a plain service. */
  public static final Workload NONE = new Workload(List.of(), 0, 0);

  /** Copies the list to keep the record immutable. */
  public Workload {
    segments = List.copyOf(segments);
  }

  /** Returns the segments that other requests may share, all but the last. */
  public List<PromptSegment> sharedSegments() {
    return segments.isEmpty() ? segments : segments.subList(0, segments.size() - 1);
  }

  /**
   * Returns the id of the last shared segment, which determines the preferred endpoint; 0 if none
   * is shared.
   */
  public long affinityKey() {
    return segments.size() < 2 ? 0 : segments.get(segments.size() - 2).id();
  }
}
