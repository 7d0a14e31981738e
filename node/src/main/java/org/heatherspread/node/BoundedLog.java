package org.heatherspread.node;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands log lines to a writer thread through a bounded queue. Never blocks: a line that finds the
 * queue full is dropped and counted. Safe for use by any thread.
 */
public final class BoundedLog extends AsyncAppender {
  private static final int QUEUED_LINES = 4_096;

  /** Time that the end of the process waits for lines to be written. */
  private static final int FLUSH_MILLIS = 200;

  private static final AtomicLong DROPPED = new AtomicLong();

  /** Creates an appender that is not started. */
  public BoundedLog() {
    setQueueSize(QUEUED_LINES);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(FLUSH_MILLIS);
  }

  /** Returns the lines dropped since the start of the process. */
  public static long dropped() {
    return DROPPED.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED.incrementAndGet();
      return;
    }
    super.append(event);
  }
}
