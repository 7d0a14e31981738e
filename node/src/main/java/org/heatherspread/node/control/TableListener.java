package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReadResult;

/** Takes in what a shared table holds. Called on the event loop. */
interface TableListener {
  /** The whole table was read. */
  void whole(SharedReadResult reading);

  /** Rows changed; there may be none. */
  void changed(SharedReadResult reading);

  /** The store could not be read. */
  void failed(String reason);
}
