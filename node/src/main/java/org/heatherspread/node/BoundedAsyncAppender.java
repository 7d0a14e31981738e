package org.heatherspread.node;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Passes log events to a writer thread through a bounded queue. Never blocks: an event is dropped
 * and counted if the queue is full. Thread-safe.
 */
public final class BoundedAsyncAppender extends AsyncAppender {
  private static final int QUEUE_CAPACITY = 4_096;

  /** Maximum wait for queued events to be written when the appender stops. */
  private static final int MAX_FLUSH_MILLIS = 200;

  private static final AtomicLong DROPPED_COUNT = new AtomicLong();

  /** Creates an appender that has not been started. */
  public BoundedAsyncAppender() {
    setQueueSize(QUEUE_CAPACITY);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setMaxFlushTime(MAX_FLUSH_MILLIS);
  }

  /** Returns the number of events dropped since the process started. */
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
