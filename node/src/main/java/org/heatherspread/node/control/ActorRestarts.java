package org.heatherspread.node.control;

import java.time.Duration;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Restarts failed actors with growing pauses, since one that fails again at once would occupy the
 * event loop and fill the log otherwise. Stateless.
 */
final class ActorRestarts {
  private static final Duration MIN_PAUSE = Duration.ofMillis(100);
  private static final Duration MAX_PAUSE = Duration.ofSeconds(5);

  /** Time without a failure after which the next pause is the shortest one again. */
  private static final Duration RECOVERY = Duration.ofSeconds(20);

  /** Fraction of a pause that is added at random. */
  private static final double SPREAD = 0.2;

  private ActorRestarts() {}

  /** Returns a behavior that restarts after a pause if it fails; messages wait meanwhile. */
  static <T> Behavior<T> withPauses(Behavior<T> behavior) {
    return Behaviors.supervise(behavior)
        .onFailure(
            SupervisorStrategy.restartWithBackoff(MIN_PAUSE, MAX_PAUSE, SPREAD)
                .withResetBackoffAfter(RECOVERY));
  }
}
