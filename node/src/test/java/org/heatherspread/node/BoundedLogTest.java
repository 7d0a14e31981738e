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

class BoundedLogTest {
  private static final int LINES = 20_000;

  /** The queue, and as much again that the writer has taken from it. */
  private static final int MOST_HELD = 2 * 4_096 + 1;

  /** A reader of standard output that stops reading, for as long as the latch is closed. */
  private static final class Stuck extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch open = new CountDownLatch(1);

    @Override
    protected void append(ILoggingEvent event) {
      try {
        open.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void blocksNobodyAndCountsWhatIsDropped() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    Stuck stuck = new Stuck();
    stuck.setContext(context);
    stuck.start();
    BoundedLog bounded = new BoundedLog();
    bounded.setContext(context);
    bounded.addAppender(stuck);
    bounded.start();
    Logger logger = context.getLogger("test");
    logger.setAdditive(false);
    logger.addAppender(bounded);
    long before = BoundedLog.dropped();
    long start = System.nanoTime();
    for (int i = 0; i < LINES; i++) {
      logger.info("line {}", i);
    }
    assertThat(System.nanoTime() - start).isLessThan(TimeUnit.SECONDS.toNanos(5));
    assertThat(BoundedLog.dropped() - before).isBetween((long) LINES - MOST_HELD, (long) LINES);
    stuck.open.countDown();
    logger.detachAppender(bounded);
    bounded.stop();
  }
}
