package org.heatherspread.relay.caller;

import io.netty.channel.ChannelHandlerContext;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The next check of a connection's time limits; at most one is scheduled. Confined to its loop. */
final class ConnectionTimer {
  private ScheduledFuture<?> check;

  /** Replaces the scheduled check by another one. */
  void schedule(ChannelHandlerContext context, Runnable action, long delayMillis) {
    cancel();
    check = context.executor().schedule(action, Math.max(1, delayMillis), TimeUnit.MILLISECONDS);
  }

  void cancel() {
    if (check != null) {
      check.cancel(false);
      check = null;
    }
  }
}
