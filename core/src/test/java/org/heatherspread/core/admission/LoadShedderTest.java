package org.heatherspread.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class LoadShedderTest {
  private static final int TARGET_MILLIS = 400;
  private static final double SERVICE_MILLIS = 60;
  private static final double FIRST_MILLIS = 30;
  private static final int REQUESTS = 1_000;

  /** What became of the requests of one urgency. */
  private static final class Tally {
    private int asked;
    private int inTarget;
    private int late;
  }

  /**
   * Replays a line before one endpoint at a load above what it does, half of it urgent.
   *
   * @return tallies by urgency 0 and 2
   */
  private static Tally[] replay(double load, boolean gate, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    Tally[] tallies = {new Tally(), null, new Tally()};
    double now = 0;
    double freeAt = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * SERVICE_MILLIS / load;
      int urgency = random.nextBoolean() ? 0 : 2;
      Tally tally = tallies[urgency];
      tally.asked++;
      double expected = Math.max(0, freeAt - now) + SERVICE_MILLIS + FIRST_MILLIS;
      if (gate && !LoadShedder.admits(expected, TARGET_MILLIS, urgency)) {
        continue;
      }
      freeAt = Math.max(freeAt, now) + SERVICE_MILLIS;
      boolean inTime = freeAt + FIRST_MILLIS - now <= TARGET_MILLIS;
      tally.inTarget += inTime ? 1 : 0;
      tally.late += inTime ? 0 : 1;
    }
    return tallies;
  }

  private static double shareInTarget(Tally[] tallies) {
    double asked = tallies[0].asked + tallies[2].asked;
    return (tallies[0].inTarget + tallies[2].inTarget) / asked;
  }

  /** Half more work comes than the endpoint does: what it does should be in time. */
  @Test
  void servesInTimeWhatTheEndpointCanDoAtHalfTooMuchLoad() {
    for (long seed = 1; seed <= 5; seed++) {
      double without = shareInTarget(replay(1.5, false, seed));
      double with = shareInTarget(replay(1.5, true, seed));
      assertThat(without).isLessThan(0.2);
      assertThat(with).isGreaterThan(without + 0.2);
    }
  }

  /** A less urgent kind is never served better than a more urgent one. */
  @Test
  void servesTheMoreUrgentAtLeastAsOften() {
    for (long seed = 1; seed <= 5; seed++) {
      Tally[] tallies = replay(1.5, true, seed);
      double urgent = (double) (tallies[0].inTarget + tallies[0].late) / tallies[0].asked;
      double other = (double) (tallies[2].inTarget + tallies[2].late) / tallies[2].asked;
      assertThat(urgent).isGreaterThanOrEqualTo(other);
    }
  }

  @Test
  void refusesNobodyWhileThereIsNoLine() {
    assertThat(LoadShedder.admits(100, TARGET_MILLIS, 2)).isTrue();
    assertThat(LoadShedder.admits(1e9, 0, 0)).isTrue();
  }

  @Test
  void tellsRefusedCallersToComeBackSpreadOut() {
    double early = LoadShedder.retryAfterSeconds(1_000, TARGET_MILLIS, 0.0);
    double late = LoadShedder.retryAfterSeconds(1_000, TARGET_MILLIS, 0.99);
    assertThat(early).isBetween(0.25, late);
    assertThat(late).isLessThanOrEqualTo(2.0);
  }
}
