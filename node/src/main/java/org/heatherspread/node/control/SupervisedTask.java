package org.heatherspread.node.control;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A task of the control plane on the event loop, which is created anew when it fails. The pauses
 * before that grow, since a task that fails again at once would occupy the event loop and fill the
 * log otherwise.
 *
 * <p>Invariants: at most one instance of the task is alive; actions run one at a time and in order;
 * those that arrive during a pause wait for the next instance. {@link #tell} may be called from any
 * thread, all else is confined to the event loop.
 *
 * @param <T> type of the task
 */
final class SupervisedTask<T> {
  private static final Logger log = LoggerFactory.getLogger(SupervisedTask.class);

  private static final Duration MIN_PAUSE = Duration.ofMillis(100);
  private static final Duration MAX_PAUSE = Duration.ofSeconds(5);

  /** Time without a failure after which the next pause is the shortest one again. */
  private static final Duration RECOVERY = Duration.ofSeconds(20);

  /** Fraction of a pause that is added at random. */
  private static final double SPREAD = 0.2;

  /** Bounds the memory of actions that wait; they are few, as each is an event of the control. */
  private static final int MAX_WAITING = 1_000;

  private final EventLoop loop;
  private final RandomGenerator random;
  private final String name;
  private final Function<TaskContext, T> factory;
  private final long originNanos = System.nanoTime();
  private final Queue<Consumer<T>> waiting = new ArrayDeque<>();
  private TaskContext context;
  private T task;
  private Duration pause = MIN_PAUSE;
  private long startedNanos;

  private SupervisedTask(
      EventLoop loop, RandomGenerator random, String name, Function<TaskContext, T> factory) {
    this.loop = loop;
    this.random = random;
    this.name = name;
    this.factory = factory;
  }

  /**
   * Starts a task. Must be called on the event loop.
   *
   * @param factory creates an instance, which uses the timers and results of its context only
   */
  static <T> SupervisedTask<T> start(
      EventLoop loop, RandomGenerator random, String name, Function<TaskContext, T> factory) {
    SupervisedTask<T> supervised = new SupervisedTask<>(loop, random, name, factory);
    supervised.startInstance();
    return supervised;
  }

  /** Passes an action to the task, which runs after the event that is being handled. */
  void tell(Consumer<T> action) {
    loop.execute(() -> runOrWait(action));
  }

  private void runOrWait(Consumer<T> action) {
    if (task != null) {
      T current = task;
      context.run(() -> action.accept(current));
      return;
    }
    if (waiting.size() < MAX_WAITING) {
      waiting.add(action);
      return;
    }
    log.atWarn().addKeyValue("task", name).log("action dropped, as the task keeps failing");
  }

  private void startInstance() {
    startedNanos = System.nanoTime();
    TaskContext next = new TaskContext(loop, originNanos, this::onFailure);
    context = next;
    next.run(() -> task = factory.apply(next));
    while (task != null && !waiting.isEmpty()) {
      runOrWait(waiting.remove());
    }
  }

  private void onFailure(Throwable cause) {
    task = null;
    if (System.nanoTime() - startedNanos >= RECOVERY.toNanos()) {
      pause = MIN_PAUSE;
    }
    log.atError()
        .addKeyValue("task", name)
        .addKeyValue("pause_ms", pause.toMillis())
        .setCause(cause)
        .log("task failed; it is started again after a pause");
    double millis = pause.toMillis() * (1 + SPREAD * random.nextDouble());
    loop.schedule(this::startInstance, (long) millis, TimeUnit.MILLISECONDS);
    Duration doubled = pause.multipliedBy(2);
    pause = doubled.compareTo(MAX_PAUSE) < 0 ? doubled : MAX_PAUSE;
  }
}
