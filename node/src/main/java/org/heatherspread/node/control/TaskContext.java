package org.heatherspread.node.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Timers and results of calls for one life of a supervised task.
 *
 * <p>Invariants: everything runs on the event loop, one action at a time; nothing runs after the
 * life has ended; an action that throws ends the life. {@link #onCompletion} accepts stages that
 * complete in any thread; all else is confined to the event loop.
 */
final class TaskContext {
  /** Granularity of timers, so that several of a daemon expire in one wake-up. */
  private static final long TICK_MILLIS = 50;

  private final EventLoop loop;
  private final long originNanos;
  private final Consumer<Throwable> onFailure;
  private final List<Timer> timers = new ArrayList<>();
  private boolean ended;

  /**
   * Creates the context of a new life.
   *
   * @param originNanos start of the ticks, on the monotonic clock
   * @param onFailure called once, with the exception that ended the life
   */
  TaskContext(EventLoop loop, long originNanos, Consumer<Throwable> onFailure) {
    this.loop = loop;
    this.originNanos = originNanos;
    this.onFailure = onFailure;
  }

  /** Runs an action of the task now, unless its life has ended. */
  void run(Runnable action) {
    if (ended) {
      return;
    }
    try {
      action.run();
    } catch (RuntimeException | Error e) {
      // After an error, too: a watcher that does not go on would never read its table again.
      end();
      onFailure.accept(e);
    }
  }

  /**
   * Passes the result of a call to the task.
   *
   * @param action gets the result, or null and the failure
   */
  <T> void onCompletion(CompletionStage<T> call, BiConsumer<T, Throwable> action) {
    call.whenComplete(
        (result, failure) -> loop.execute(() -> run(() -> action.accept(result, failure))));
  }

  /** Creates a timer that is not started. */
  Timer createTimer(Runnable action) {
    Timer timer = new Timer(action);
    timers.add(timer);
    return timer;
  }

  /** Ends the life and cancels its timers. */
  void end() {
    ended = true;
    timers.forEach(Timer::cancel);
  }

  /** Runs an action of the task once after each start. */
  final class Timer {
    private final Runnable action;
    private ScheduledFuture<?> scheduled;

    private Timer(Runnable action) {
      this.action = action;
    }

    /** Starts the timer anew, rounding the delay up to a tick. */
    void start(Duration delay) {
      cancel();
      if (ended) {
        return;
      }
      long sinceOrigin = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - originNanos);
      long due = (sinceOrigin + delay.toMillis() + TICK_MILLIS - 1) / TICK_MILLIS * TICK_MILLIS;
      scheduled =
          loop.schedule(
              () -> TaskContext.this.run(action), due - sinceOrigin, TimeUnit.MILLISECONDS);
    }

    private void cancel() {
      if (scheduled != null) {
        scheduled.cancel(false);
      }
    }
  }
}
