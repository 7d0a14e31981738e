package org.heatherspread.core.membership;

import org.heatherspread.core.model.Instance;

/** An instance and what this daemon believes of it. Immutable. */
public record Member(Instance instance, Health health) {
  /** Tells whether the member may get new work. */
  public boolean takesNewWork() {
    return health == Health.ALIVE;
  }
}
