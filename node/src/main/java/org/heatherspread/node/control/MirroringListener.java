package org.heatherspread.node.control;

import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.node.peer.MirroredTable;

/**
 * Passes what a table holds to a listener, and to the mirror for other daemons.
 *
 * @param read what to do after each whole reading was passed on
 */
record MirroringListener(TableListener listener, MirroredTable mirror, Runnable read)
    implements TableListener {
  @Override
  public void whole(SharedReadResult reading) {
    listener.whole(reading);
    mirror.whole(reading);
    read.run();
  }

  @Override
  public void changed(SharedReadResult reading) {
    listener.changed(reading);
    mirror.changed(reading);
  }

  @Override
  public void failed(String reason) {
    listener.failed(reason);
    mirror.failed();
  }
}
