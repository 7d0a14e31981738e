package org.heatherspread.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.junit.jupiter.api.Test;

class SharedLimiterTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;
  private static final ResourceAmounts LIMITS = new ResourceAmounts(100, 10_000, 40);

  @Test
  void singleDaemonHoldsWholeLimitAndRefusesRequestsAboveIt() {
    AccountSpec spec = new AccountSpec("a", "", new AccountLimits(10, 1_000, 3), 0, List.of());
    SharedLimiter shared = SharedLimiter.create(1);
    AccountLimiter limiter = shared.limiter(spec, 0);
    for (int i = 0; i < 3; i++) {
      assertThat(limiter.admit(10, 0).admitted()).isTrue();
    }
    assertThat(limiter.admit(10, 0).reason()).isEqualTo(LimitDecision.Reason.CONCURRENCY);
    for (int i = 0; i < 3; i++) {
      limiter.release(0, 0);
    }
    for (int i = 0; i < 7; i++) {
      assertThat(limiter.admit(1, 0).admitted()).isTrue();
      limiter.release(0, 0);
    }
    LimitDecision refused = limiter.admit(1, 0);
    assertThat(refused.reason()).isEqualTo(LimitDecision.Reason.REQUESTS);
    assertThat(refused.retryAfter().toMillis()).isEqualTo(100);
    assertThat(limiter.admit(1, refused.retryAfter().toNanos()).admitted()).isTrue();
  }

  @Test
  void answerTokensAreChargedOnRelease() {
    AccountLimiter limiter = AccountLimiter.create(1, new ResourceAmounts(100, 100, 10), 0);
    assertThat(limiter.admit(50, 0).admitted()).isTrue();
    limiter.release(250, 0);
    LimitDecision refused = limiter.admit(1, 0);
    assertThat(refused.reason()).isEqualTo(LimitDecision.Reason.TOKENS);
    assertThat(refused.retryAfter().toMillis()).isEqualTo(2_010);
    assertThatThrownBy(() -> limiter.release(0, 0)).isInstanceOf(IllegalStateException.class);
  }

  @Test
  void sharesFollowDemand() {
    Fleet fleet = new Fleet(8);
    fleet.demand[3] = new ResourceAmounts(90, 9_000, 36);
    fleet.run(40, 0, new Random(1));
    assertThat(fleet.share(3).requests()).isGreaterThan(85);
    fleet.demand[3] = ResourceAmounts.zero();
    fleet.demand[5] = new ResourceAmounts(500, 9_000, 36);
    fleet.demand[6] = new ResourceAmounts(500, 9_000, 36);
    fleet.run(60, 0, new Random(1));
    assertThat(fleet.share(5).requests()).isBetween(40.0, 50.001);
    assertThat(fleet.share(6).requests()).isBetween(40.0, 50.001);
  }

  @Property(seed = "81", tries = 150)
  void sharesNeverExceedLimitsOnceAllDaemonsHaveReported(
      @ForAll @IntRange(min = 1, max = 9) int daemons,
      @ForAll @DoubleRange(min = 0, max = 0.9) double loss,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    Fleet fleet = new Fleet(daemons);
    Random random = new Random(seed);
    fleet.run(2, 0, random);
    for (int step = 0; step < 30; step++) {
      for (int d = 0; d < daemons; d++) {
        if (random.nextInt(4) == 0) {
          double size = random.nextDouble() * 200;
          fleet.demand[d] = new ResourceAmounts(size, size * 50, size / 4);
        }
      }
      boolean partition = step % 10 > 6;
      fleet.run(1, partition ? 1 : loss, random);
      ResourceAmounts sum = fleet.sum();
      assertThat(sum.requests()).isLessThanOrEqualTo(LIMITS.requests() * 1.001);
      assertThat(sum.tokens()).isLessThanOrEqualTo(LIMITS.tokens() * 1.001);
      assertThat(sum.concurrency()).isLessThanOrEqualTo(LIMITS.concurrency() * 1.001);
    }
  }

  @Property(seed = "82", tries = 100)
  void admittedRequestsStayWithinRateAndBurst(
      @ForAll @IntRange(min = 1, max = 50) int rate,
      @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
    AccountLimiter limiter = AccountLimiter.create(1, new ResourceAmounts(rate, 1e9, 1_000_000), 0);
    Random random = new Random(seed);
    long now = 0;
    int admitted = 0;
    for (int i = 0; i < 2_000; i++) {
      now += random.nextInt(20_000_000);
      if (limiter.admit(1, now).admitted()) {
        admitted++;
        limiter.release(1, now);
      }
    }
    assertThat(admitted)
        .isLessThanOrEqualTo((int) (rate * (1 + (double) now / NANOS_PER_SECOND)) + 1);
  }

  @Property(seed = "83", tries = 200)
  void reportsAreDecodedAsEncoded(
      @ForAll @LongRange(min = 0) long round,
      @ForAll @DoubleRange(min = 0, max = 1e6) double size) {
    float exact = (float) size;
    ResourceAmounts amounts = new ResourceAmounts(exact, 0, exact);
    LimitUsageReport report =
        new LimitUsageReport(round, Map.of("müşteri", new LimitUsage(amounts, amounts)));
    byte[] bytes = report.encode();
    assertThat(LimitUsageReport.decode(bytes)).isEqualTo(report);
    byte[] truncated = java.util.Arrays.copyOf(bytes, bytes.length - 1);
    assertThatThrownBy(() -> LimitUsageReport.decode(truncated))
        .isInstanceOf(IllegalArgumentException.class);
  }

  /** Daemons that exchange reports over lossy links. */
  private static final class Fleet {
    private final int size;
    private final ResourceAmounts[] demand;
    private final ShareNegotiator[] negotiators;
    private final List<Map<String, LimitUsageReport>> received = new ArrayList<>();
    private long round;

    Fleet(int size) {
      this.size = size;
      this.demand = new ResourceAmounts[size];
      this.negotiators = new ShareNegotiator[size];
      for (int d = 0; d < size; d++) {
        demand[d] = ResourceAmounts.zero();
        negotiators[d] = ShareNegotiator.create();
        received.add(new HashMap<>());
      }
    }

    void run(int rounds, double loss, Random random) {
      for (int i = 0; i < rounds; i++) {
        round++;
        for (int d = 0; d < size; d++) {
          List<String> peers = new ArrayList<>();
          for (int p = 0; p < size; p++) {
            if (p != d) {
              peers.add("d" + p);
            }
          }
          negotiators[d].negotiate(LIMITS, demand[d], peers, received.get(d), "a");
        }
        for (int d = 0; d < size; d++) {
          LimitUsage usage = new LimitUsage(demand[d], share(d));
          LimitUsageReport report = new LimitUsageReport(round, Map.of("a", usage));
          for (int p = 0; p < size; p++) {
            if (p != d && random.nextDouble() >= loss) {
              received.get(p).put("d" + d, report);
            }
          }
        }
      }
    }

    ResourceAmounts share(int daemon) {
      return negotiators[daemon].share();
    }

    ResourceAmounts sum() {
      ResourceAmounts sum = ResourceAmounts.zero();
      for (int d = 0; d < size; d++) {
        sum = sum.plus(share(d));
      }
      return sum;
    }
  }
}
