package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReading;
import org.heatherspread.node.peer.MirroredTable;

/**
 * Passes what a table holds to a listener, and to the mirror for other daemons.
 *
 * @param afterFullRead what to do after each whole reading was passed on
 */
record MirroringListener(TableListener listener, MirroredTable mirror, Runnable afterFullRead)
    implements TableListener {
  @Override
  public void onFullRead(SharedReading reading) {
    listener.onFullRead(reading);
    mirror.replaceAll(reading);
    afterFullRead.run();
  }

  @Override
  public void onChanges(SharedReading reading) {
    listener.onChanges(reading);
    mirror.applyChanges(reading);
  }

  @Override
  public void onFailure(String reason) {
    listener.onFailure(reason);
    mirror.markUnreachable();
  }
}
