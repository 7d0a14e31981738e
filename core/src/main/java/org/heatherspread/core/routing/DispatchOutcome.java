package org.heatherspread.core.routing;

/** How a dispatched request ended, as far as it speaks about the endpoint. */
public enum DispatchOutcome {
  /** The whole answer arrived. */
  ANSWERED,
  /** The endpoint failed: refused connection, cut stream, silence or an error of its own. */
  FAILED,
  /** The caller cancelled or the deadline passed; says nothing about the endpoint. */
  ABANDONED
}
