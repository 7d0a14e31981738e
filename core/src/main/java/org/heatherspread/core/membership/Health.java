package org.heatherspread.core.membership;

/** Health of a member in the local view, from the instance list, probes and other daemons. */
public enum Health {
  /** Answers; new work may be assigned. */
  ALIVE,
  /** Has not answered recently; gets no new work while others are alive. */
  SUSPECT,
  /** Under reclaim notice or stopping; gets no new work, and work in progress moves or ends. */
  LEAVING,
  /** Ended; this incarnation never becomes alive again. */
  DEAD
}
