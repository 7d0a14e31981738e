package org.heatherspread.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.time.MonotonicClock;
import org.junit.jupiter.api.Test;

/** Daemons that admit requests before the owner of their limit learns of them. */
class AdvanceAdmissionTest {
  private static final int WINDOW_MILLIS = 8_000;
  private static final OvershootAllowance ALLOWANCE = new OvershootAllowance(8, 0.1, 140_000);
  private static final long VIEW_MILLIS = 600_000;
  private static final long REPORT_DELAY_MILLIS = 1_000;

  /** Longest time of a call to an owner that answers in time, and of any call. */
  private static final int PROMPT_CALL_MILLIS = 40;

  private static final int MAX_CALL_MILLIS = 2_000;
  private static final int STEP_MILLIS = 5;

  private long nowMillis = 1_000;
  private final MonotonicClock clock = () -> nowMillis * 1_000_000;

  /** Daemons whose calls to the owner take time in both directions. */
  private final class Fleet {
    private final RateLimit limit;
    private final int callMillis;
    private final SplittableRandom random;
    private final List<String> names = new ArrayList<>();
    private final Map<String, PartitionedLimiter> limits = new HashMap<>();
    private final Set<String> scheduledReports = new HashSet<>();
    private final PriorityQueue<Event> events =
        new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private final ArrayDeque<Event> admitted = new ArrayDeque<>();
    private double admittedInWindow;
    private double admittedInAdvance;

    private Fleet(int daemons, RateLimit limit, int callMillis, SplittableRandom random) {
      this.limit = limit;
      this.callMillis = callMillis;
      this.random = random;
      for (int i = 0; i < daemons; i++) {
        names.add("daemon-" + i);
      }
      start();
    }

    /** Starts all daemons, which forget what they have not reported. */
    private void start() {
      events.clear();
      scheduledReports.clear();
      for (String name : names) {
        limits.put(name, PartitionedLimiter.create(name, clock, ALLOWANCE));
      }
      for (PartitionedLimiter each : limits.values()) {
        each.updateDaemons(names, names, VIEW_MILLIS, List.of(limit));
      }
      for (PartitionedLimiter each : limits.values()) {
        each.startTakeover(limit.name()).ifPresent(holder -> each.endTakeover(limit, holder));
      }
    }

    private void advance() {
      nowMillis += STEP_MILLIS;
      while (!events.isEmpty() && events.peek().atMillis <= nowMillis) {
        events.poll().action.run();
      }
      while (!admitted.isEmpty() && admitted.peek().atMillis <= nowMillis - WINDOW_MILLIS) {
        admittedInWindow -= admitted.poll().amount;
      }
    }

    private void send(String daemon, double amount) {
      PartitionedLimiter local = limits.get(daemon);
      if (local.isOwner(limit.name())) {
        decide(local, amount);
      } else if (local.admitInAdvance(limit, LimitRequest.of(amount))) {
        admittedInAdvance += amount;
        record(amount);
        if (local.needsPromptReport(limit)) {
          call(daemon, 0);
        } else if (scheduledReports.add(daemon)) {
          after(
              REPORT_DELAY_MILLIS,
              () -> {
                scheduledReports.remove(daemon);
                call(daemon, 0);
              });
        }
      } else {
        call(daemon, amount);
      }
    }

    private void decide(PartitionedLimiter owner, double amount) {
      if (amount > 0 && owner.admit(limit, LimitRequest.of(amount)).admitted()) {
        record(amount);
      }
    }

    /** Calls the owner, which decides on a request unless its amount is 0. */
    private void call(String daemon, double amount) {
      PartitionedLimiter local = limits.get(daemon);
      Optional<String> owner = local.remoteOwner(limit.name());
      if (owner.isEmpty()) {
        return;
      }
      double unreported = local.startReport(limit.name());
      after(
          random.nextInt(callMillis / 2),
          () -> {
            PartitionedLimiter remote = limits.get(owner.get());
            remote.chargeReported(limit, unreported);
            decide(remote, amount);
            boolean ample = remote.isAmple(limit);
            after(
                random.nextInt(callMillis / 2),
                () -> {
                  if (unreported > 0) {
                    local.endReport(limit.name(), true);
                  }
                  local.recordSupply(limit.name(), ample);
                });
          });
    }

    private void record(double amount) {
      admitted.add(new Event(nowMillis, amount, () -> {}));
      admittedInWindow += amount;
    }

    private void after(long millis, Runnable action) {
      events.add(new Event(nowMillis + millis, 0, action));
    }
  }

  private record Event(long atMillis, double amount, Runnable action) {}

  private static AccountConfig account(double rate) {
    return new AccountConfig("acme", Set.of("k"), -1, true, 200, rate, rate);
  }

  private static double amount(SplittableRandom random) {
    return random.nextInt(4) == 0
        ? 200
        : Math.min(54_000, 1_600 / Math.sqrt(1 - random.nextDouble()));
  }

  /**
   * An account sends up to eight times its limit, in bursts, and all daemons restart in the middle.
   */
  @Property(tries = 60)
  void neverExceedsTheWindowLimitWhileDaemonsAdmitInAdvance(
      @ForAll long seed,
      @ForAll @IntRange(min = 2, max = 77) int daemons,
      @ForAll @IntRange(min = 1, max = 8) int load,
      @ForAll @IntRange(min = PROMPT_CALL_MILLIS, max = MAX_CALL_MILLIS) int callMillis) {
    double rate = 150_000;
    AccountConfig account = account(rate);
    double bound = (rate * WINDOW_MILLIS / 1_000 + account.burst()) * 1.1 + 140_000;
    SplittableRandom random = new SplittableRandom(seed);
    Fleet fleet = new Fleet(daemons, account, callMillis, random);
    double offered = 0;
    for (int millis = 0; millis < 30_000; millis += STEP_MILLIS) {
      fleet.advance();
      if (millis == 18_000) {
        fleet.start();
      }
      boolean quiet = millis / 3_000 % 3 == 2;
      offered += quiet ? 0 : load * rate * STEP_MILLIS / 1_000;
      while (offered > 0) {
        double amount = amount(random);
        offered -= amount;
        fleet.send("daemon-" + random.nextInt(daemons), amount);
      }
      assertThat(fleet.admittedInWindow).isLessThanOrEqualTo(bound);
    }
  }

  /** Most requests below the limit need not wait for the owner. */
  @Test
  void admitsMostSmallRequestsInAdvanceBelowTheLimit() {
    double rate = 1_000_000;
    SplittableRandom random = new SplittableRandom(1);
    Fleet fleet = new Fleet(77, account(rate), PROMPT_CALL_MILLIS, random);
    double sent = 0;
    for (int millis = 0; millis < 20_000; millis += STEP_MILLIS) {
      fleet.advance();
      if (millis % 10 == 0) {
        sent += 1_500;
        fleet.send("daemon-" + random.nextInt(77), 1_500);
      }
    }
    assertThat(fleet.admittedInAdvance).isGreaterThan(0.8 * sent);
  }
}
