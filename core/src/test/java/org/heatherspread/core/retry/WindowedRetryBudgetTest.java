package org.heatherspread.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class WindowedRetryBudgetTest {
  private static final long WINDOW_MILLIS = 10_000;
  private long nowMillis = 50_000;

  private WindowedRetryBudget budget(double extra) {
    WindowedRetryBudget budget =
        WindowedRetryBudget.create(() -> nowMillis * 1_000_000, 0.2, WINDOW_MILLIS);
    budget.setFixedRetries(extra);
    return budget;
  }

  @Test
  void allowsWholeBudgetToBeSpentAtOnce() {
    WindowedRetryBudget budget = budget(0);
    for (int i = 0; i < 100; i++) {
      budget.onRequest();
    }
    int granted = 0;
    while (budget.tryRetry()) {
      granted++;
    }
    assertThat(granted).isEqualTo(17);
    nowMillis += 5_000;
    assertThat(budget.tryRetry()).isFalse();
  }

  /** Eight daemons with uneven bursts of failures stay within the budget in every window. */
  @Property(tries = 50)
  void allDaemonsTogetherStayWithinBudgetInEveryWindow(@ForAll @IntRange(min = 1) int seed) {
    nowMillis = 50_000;
    List<WindowedRetryBudget> daemons = new ArrayList<>();
    for (int i = 0; i < 8; i++) {
      daemons.add(budget(56.0 / 9));
    }
    java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
    Deque<Long> requests = new ArrayDeque<>();
    Deque<Long> retries = new ArrayDeque<>();
    for (int step = 0; step < 8_000; step++) {
      nowMillis += 5;
      WindowedRetryBudget daemon = daemons.get(random.nextInt(8));
      daemon.onRequest();
      requests.add(nowMillis);
      boolean failing = step / 1_000 % 2 == 1;
      while (failing && random.nextInt(3) > 0 && daemon.tryRetry()) {
        retries.add(nowMillis);
      }
      while (!requests.isEmpty() && requests.peek() <= nowMillis - WINDOW_MILLIS) {
        requests.poll();
      }
      while (!retries.isEmpty() && retries.peek() <= nowMillis - WINDOW_MILLIS) {
        retries.poll();
      }
      assertThat(retries.size()).isLessThanOrEqualTo((int) (0.2 * requests.size() + 56));
    }
  }
}
