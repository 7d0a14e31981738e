package org.heatherspread.core.placement;

import java.util.List;

/**
 * The work that a request brings to a model endpoint.
 *
 * @param segments the prompt's parts in order; the last belongs to this request or its session
 * @param promptTokens tokens of the whole prompt
 * @param answerTokens most tokens of the answer
 */
public record Workload(List<PromptSegment> segments, int promptTokens, int answerTokens) {
  /** The work of a request to a plain service. */
  public static final Workload NONE = new Workload(List.of(), 0, 0);

  /** Copies the parts. */
  public Workload {
    segments = List.copyOf(segments);
  }

  /** Returns the part that decides where the prompt is at home, 0 if nothing is shared. */
  public long affinityKey() {
    return segments.size() < 2 ? 0 : segments.get(segments.size() - 2).id();
  }
}
