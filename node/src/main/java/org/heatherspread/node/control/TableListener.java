package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReading;

/** Takes in what a shared table holds. Called on the event loop. */
interface TableListener {
  /** The whole table was read. */
  void onFullRead(SharedReading reading);

  /** Rows changed; there may be none. */
  void onChanges(SharedReading reading);

  /** The store could not be read. */
  void onFailure(String reason);
}
