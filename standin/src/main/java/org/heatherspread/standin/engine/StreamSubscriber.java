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
 * One connection that reads a stream. A silent subscriber stays open and gets nothing.
 *
 * <p>Not safe for use by several threads; the source may be run in any.
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

  /** Returns the body of the answer; to be run once. */
  Source<ByteString, NotUsed> source() {
    return source;
  }

  /** Sends bytes, after a delay if one is given. */
  void send(ByteString bytes, long delayMillis) {
    schedule(delayMillis, () -> sendNow(bytes));
  }

  private void sendNow(ByteString bytes) {
    if (!stalled) {
      queue.offer(bytes);
    }
  }

  /** Ends the body after what was sent. */
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
