package org.heatherspread.standin.engine;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Sends the events of a stream to one connection. A stalled subscriber keeps its connection open
 * without sending data.
 *
 * <p>Not thread-safe; the source may be run in any thread.
 */
final class StreamSubscriber {
  private static final int QUEUE_CAPACITY = 16_384;

  private final Executor executor;
  private final BoundedSourceQueue<ByteString> queue;
  private final Source<ByteString, NotUsed> source;
  private boolean stalled;

  private StreamSubscriber(
      Executor executor,
      BoundedSourceQueue<ByteString> queue,
      Source<ByteString, NotUsed> source,
      boolean stalled) {
    this.executor = executor;
    this.queue = queue;
    this.source = source;
    this.stalled = stalled;
  }

  static StreamSubscriber create(ActorSystem<?> system, Executor executor, boolean stalled) {
    Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> queueAndSource =
        Source.<ByteString>queue(QUEUE_CAPACITY).preMaterialize(system);
    return new StreamSubscriber(executor, queueAndSource.first(), queueAndSource.second(), stalled);
  }

  /** Returns the response body, which can be run once. */
  Source<ByteString, NotUsed> source() {
    return source;
  }

  /** Sends bytes, after a delay if it is positive. */
  void send(ByteString bytes, long delayMillis) {
    schedule(delayMillis, () -> sendNow(bytes));
  }

  private void sendNow(ByteString bytes) {
    if (!stalled) {
      queue.offer(bytes);
    }
  }

  /** Completes the body, after a delay if it is positive. */
  void complete(long delayMillis) {
    schedule(delayMillis, this::completeNow);
  }

  private void completeNow() {
    if (!stalled && !queue.isCompleted()) {
      queue.complete();
    }
  }

  void stall() {
    stalled = true;
  }

  private void schedule(long delayMillis, Runnable task) {
    if (delayMillis <= 0) {
      task.run();
      return;
    }
    CompletableFuture.delayedExecutor(delayMillis, TimeUnit.MILLISECONDS, executor).execute(task);
  }
}
