package org.heatherspread.core.membership;

/** What this daemon believes of a member, from the instance list, probes and other daemons. */
public enum Health {
  /** Answers; may get new work. */
  ALIVE,
  /** Has not answered lately; gets no new work while others are alive. */
  SUSPECT,
  /** Under notice or stopping; gets no new work, work in progress moves or ends. */
  LEAVING,
  /** Gone; this incarnation never comes back. */
  DEAD
}
