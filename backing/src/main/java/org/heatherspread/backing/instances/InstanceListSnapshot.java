package org.heatherspread.backing.instances;

import java.util.List;
import org.heatherspread.core.model.Instance;

/**
 * The instance list as of a time in the past. Immutable.
 *
 * @param asOfMillis the time that it speaks of, in milliseconds since the epoch
 * @param instances live and leaving instances
 */
public record InstanceListSnapshot(long asOfMillis, List<Instance> instances) {
  /** Copies the list, so that the record stays immutable. */
  public InstanceListSnapshot {
    instances = List.copyOf(instances);
  }
}
