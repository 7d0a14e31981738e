package org.heatherspread.node;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands log lines to a writer thread through a bounded queue. Never blocks: a line that finds the
 * queue full is dropped and counted. Safe for use by any thread.
 */
public final class BoundedAsyncAppender extends AsyncAppender {
  private static final int QUEUE_CAPACITY = 4_096;

  /** Time that the end of the process waits for lines to be written. */
  private static final int MAX_FLUSH_MILLIS = 200;

  private static final AtomicLong DROPPED_COUNT = new AtomicLong();

  /** Creates an appender that is not started. */
  public BoundedAsyncAppender() {
    setQueueSize(QUEUE_CAPACITY);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(MAX_FLUSH_MILLIS);
  }

  /** Returns the lines dropped since the start of the process. */
  public static long droppedCount() {
    return DROPPED_COUNT.get();
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      DROPPED_COUNT.incrementAndGet();
      return;
    }
    super.append(event);
  }
}
