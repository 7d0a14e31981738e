package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReadResult;

/** Receives the contents of a shared table. Called on the event loop. */
interface TableListener {
  /**
   * Called with all rows after a read of the whole table.
   *
   * @param restored whether the store was restored from an earlier copy since the previous read, so
   *     that rows may be missing or older until their owners write them again
   */
  void onFullRead(SharedReadResult result, boolean restored);

  /** Called with the rows that changed since the last read, which may be none. */
  void onChanges(SharedReadResult result);

  /** Called when the store could not be read. */
  void onFailure(String reason);
}
