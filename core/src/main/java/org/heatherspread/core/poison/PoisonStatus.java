package org.heatherspread.core.poison;

/** How a request stands by the crashes that it took part in. */
public enum PoisonStatus {
  /** Nothing is held against it. */
  CLEAR,
  /** An endpoint crashed while running it; it may run only as the one suspect on its endpoint. */
  SUSPECT,
  /** It is refused. */
  POISONED
}
