package org.heatherspread.node;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

class BoundedAsyncAppenderTest {
  private static final int LINES = 20_000;

  /** Capacity of the queue, and as many events again that the writer thread has taken from it. */
  private static final int MAX_BUFFERED_LINES = 2 * 4_096 + 1;

  /** Blocks until the latch opens, like a write to standard output whose reader has stopped. */
  private static final class BlockedAppender extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch unblocked = new CountDownLatch(1);

    @Override
    protected void append(ILoggingEvent event) {
      try {
        unblocked.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void dropsAndCountsLinesWithoutBlocking() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    BlockedAppender blocked = new BlockedAppender();
    blocked.setContext(context);
    blocked.start();
    BoundedAsyncAppender appender = new BoundedAsyncAppender();
    appender.setContext(context);
    appender.addAppender(blocked);
    appender.start();
    Logger logger = context.getLogger("test");
    logger.setAdditive(false);
    logger.addAppender(appender);
    long droppedBefore = BoundedAsyncAppender.droppedCount();
    long start = System.nanoTime();
    for (int i = 0; i < LINES; i++) {
      logger.info("line {}", i);
    }
    assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(5));
    assertThat(BoundedAsyncAppender.droppedCount() - droppedBefore)
        .isBetween((long) LINES - MAX_BUFFERED_LINES, (long) LINES);
    blocked.unblocked.countDown();
    logger.detachAppender(appender);
    appender.stop();
  }
}
