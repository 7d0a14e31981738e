package org.heatherspread.settings.impl;

import java.util.Collection;
import java.util.Optional;

/** Finds the known name closest to a misspelt one, by Levenshtein distance. Stateless. */
public final class NearestName {
  private static final int MAX_DISTANCE = 4;

  private NearestName() {}

  /** Returns the closest known name, or empty if none is within the maximum distance. */
  public static Optional<String> of(String name, Collection<String> known) {
    String best = null;
    int bestDistance = MAX_DISTANCE + 1;
    for (String candidate : known) {
      int distance = distance(name, candidate);
      if (distance < bestDistance) {
        best = candidate;
        bestDistance = distance;
      }
    }
    return Optional.ofNullable(best);
  }

  private static int distance(String left, String right) {
    int[] previous = new int[right.length() + 1];
    for (int j = 0; j <= right.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= left.length(); i++) {
      int[] current = new int[right.length() + 1];
      current[0] = i;
      for (int j = 1; j <= right.length(); j++) {
        int substitute = previous[j - 1] + (left.charAt(i - 1) == right.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitute, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[right.length()];
  }
}
