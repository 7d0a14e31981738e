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
final class Subscriber {
  private static final int QUEUE_EVENTS = 16_384;

  private final Executor thread;
  private final BoundedSourceQueue<ByteString> queue;
  private final Source<ByteString, NotUsed> source;
  private boolean silent;

  private Subscriber(
      Executor thread,
      BoundedSourceQueue<ByteString> queue,
      Source<ByteString, NotUsed> source,
      boolean silent) {
    this.thread = thread;
    this.queue = queue;
    this.source = source;
    this.silent = silent;
  }

  static Subscriber create(ActorSystem<?> system, Executor thread, boolean silent) {
    Pair<BoundedSourceQueue<ByteString>, Source<ByteString, NotUsed>> parts =
        Source.<ByteString>queue(QUEUE_EVENTS).preMaterialize(system);
    return new Subscriber(thread, parts.first(), parts.second(), silent);
  }

  /** Returns the body of the answer; to be run once. */
  Source<ByteString, NotUsed> source() {
    return source;
  }

  /** Sends bytes, after a delay if one is given. */
  void send(ByteString bytes, long lateMillis) {
    later(lateMillis, () -> sendNow(bytes));
  }

  private void sendNow(ByteString bytes) {
    if (!silent) {
      queue.offer(bytes);
    }
  }

  /** Ends the body after what was sent. */
  void end(long lateMillis) {
    later(lateMillis, this::endNow);
  }

  private void endNow() {
    if (!silent && !queue.isCompleted()) {
      queue.complete();
    }
  }

  void silence() {
    silent = true;
  }

  private void later(long millis, Runnable task) {
    if (millis <= 0) {
      task.run();
      return;
    }
    CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS, thread).execute(task);
  }
}
