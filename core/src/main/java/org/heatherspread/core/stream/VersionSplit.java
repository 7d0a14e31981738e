package org.heatherspread.core.stream;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assigns new streams of a service to the versions of its endpoints by the ids of the callers'
 * attempts, in proportion to the slots of each version. Whoever knows the split that a daemon used
 * knows at which version a stream began. Immutable; stored as JSON under the names of its
 * components.
 *
 * @param parts versions in order, each with the end of its part of the range of hashes
 */
public record VersionSplit(List<Part> parts) {
  private static final int RANGE = 1 << 16;

  /** Copies the list to keep the record immutable. */
  public VersionSplit {
    parts = List.copyOf(parts);
  }

  /**
   * A version and the hash before which its part ends.
   *
   * @param end exclusive, at most 65,536
   */
  public record Part(String version, int end) {}

  /**
   * Creates a split.
   *
   * @param slotsByVersion number of slots of each version, at least one version with some
   */
  public static VersionSplit of(Map<String, Integer> slotsByVersion) {
    long total = slotsByVersion.values().stream().mapToLong(Integer::longValue).sum();
    List<Part> parts = new ArrayList<>();
    long slots = 0;
    for (Map.Entry<String, Integer> entry : new TreeMap<>(slotsByVersion).entrySet()) {
      slots += entry.getValue();
      parts.add(new Part(entry.getKey(), (int) (RANGE * slots / Math.max(1, total))));
    }
    return new VersionSplit(parts);
  }

  /** Returns the version that a stream is assigned to. */
  public String versionOf(String attemptId) {
    int hash = attemptId.hashCode() * 0x9E3779B1 >>> 16;
    for (Part part : parts) {
      if (hash < part.end) {
        return part.version;
      }
    }
    return parts.get(parts.size() - 1).version;
  }
}
