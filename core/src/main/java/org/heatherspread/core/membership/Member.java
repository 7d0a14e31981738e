package org.heatherspread.core.membership;

import org.heatherspread.core.model.Instance;

/** An instance and its health in the local view of a daemon. Immutable. */
public record Member(Instance instance, Health health) {
  /** Returns whether new work may be assigned to the member. */
  public boolean takesNewWork() {
    return health == Health.ALIVE;
  }
}
