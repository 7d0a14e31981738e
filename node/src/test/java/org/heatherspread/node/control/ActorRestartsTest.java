package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.Test;

class ActorRestartsTest {
  private final AtomicInteger starts = new AtomicInteger();
  private final AtomicBoolean failing = new AtomicBoolean(true);
  private final AtomicInteger handled = new AtomicInteger();

  /** An actor that sends itself a message at its start and fails on each message. */
  private Behavior<String> failingBehavior() {
    return Behaviors.setup(
        context -> {
          starts.incrementAndGet();
          context.getSelf().tell("work");
          return Behaviors.receive(String.class)
              .onMessage(
                  String.class,
                  message -> {
                    if (failing.get()) {
                      throw new IllegalStateException("fails each time");
                    }
                    handled.incrementAndGet();
                    return Behaviors.same();
                  })
              .build();
        });
  }

  /** It would occupy the event loop otherwise. */
  @Test
  void actorThatAlwaysFailsIsRestartedWithGrowingPauses() throws Exception {
    ActorSystem<String> system =
        ActorSystem.create(ActorRestarts.withPauses(failingBehavior()), "test");
    try {
      TimeUnit.MILLISECONDS.sleep(2_000);
      assertThat(starts.get()).isBetween(3, 6);
      failing.set(false);
      TimeUnit.MILLISECONDS.sleep(3_000);
      assertThat(handled.get()).isPositive();
    } finally {
      system.terminate();
    }
  }
}
