package org.heatherspread.backing.instances;

import java.util.List;
import org.heatherspread.core.model.Instance;

/**
 * The instance list at a past time. Immutable.
 *
 * @param asOfMillis time of the snapshot, in milliseconds since the epoch
 * @param instances live and leaving instances
 */
public record InstanceListSnapshot(long asOfMillis, List<Instance> instances) {
  /** Copies the list, so that the record stays immutable. */
  public InstanceListSnapshot {
    instances = List.copyOf(instances);
  }
}
