package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.node.peer.MirroredTable;

/**
 * Passes the contents of a table to a listener and to the mirror that other daemons read. Confined
 * to the event loop.
 *
 * @param afterRead runs after each read has been passed on
 * @param afterFullRead runs after each full read besides
 */
record MirroringListener(
    TableListener listener, MirroredTable mirror, Runnable afterRead, Runnable afterFullRead)
    implements TableListener {
  @Override
  public void onFullRead(SharedReadResult result, boolean restored) {
    listener.onFullRead(result, restored);
    mirror.replaceAll(result);
    afterRead.run();
    afterFullRead.run();
  }

  @Override
  public void onChanges(SharedReadResult result) {
    listener.onChanges(result);
    mirror.applyChanges(result);
    afterRead.run();
  }

  @Override
  public void onFailure(String reason) {
    listener.onFailure(reason);
    mirror.markUnreachable();
  }
}
