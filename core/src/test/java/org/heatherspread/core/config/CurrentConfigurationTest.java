package org.heatherspread.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.StressOptions;
import org.junit.jupiter.api.Test;

class CurrentConfigurationTest {
  private static List<LogEntry> history(int length) {
    List<LogEntry> entries = new ArrayList<>();
    for (int version = 1; version <= length; version++) {
      List<Change> changes = List.of(new Change.RemoveAccount("none"));
      entries.add(new LogEntry(version, "plan-" + version, "ada", 0, changes));
    }
    return entries;
  }

  @Property(tries = 200, seed = "5")
  void versionNeverGoesBackWhateverIsOfferedInWhateverOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogEntry> history = history(40);
    CurrentConfiguration inForce = CurrentConfiguration.create();
    long before = 0;
    for (int i = 0; i < 60; i++) {
      int from = random.nextInt(40);
      int to = from + random.nextInt(41 - from);
      if (random.nextInt(4) == 0) {
        inForce.offer(ConfigurationLog.replay(Configuration.empty(), history.subList(0, to)));
      } else {
        boolean whole = inForce.offer(history.subList(from, to));
        assertThat(whole || inForce.get().version() < from).isTrue();
      }
      long after = inForce.get().version();
      assertThat(after).isGreaterThanOrEqualTo(before);
      before = after;
      checkEntriesAfter(inForce, random.nextInt(41));
    }
  }

  private static void checkEntriesAfter(CurrentConfiguration inForce, long version) {
    inForce
        .entriesAfter(version)
        .ifPresent(
            entries -> {
              long next = version;
              for (LogEntry entry : entries) {
                assertThat(entry.version()).isEqualTo(++next);
              }
              assertThat(Math.max(version, inForce.get().version())).isEqualTo(next);
            });
  }

  @Test
  void staleDaemonThatWakesTakesOverNothingOld() {
    CurrentConfiguration inForce = CurrentConfiguration.create();
    inForce.offer(history(5));
    assertThat(inForce.offer(Configuration.empty())).isFalse();
    inForce.offer(history(3));
    assertThat(inForce.get().version()).isEqualTo(5);
  }

  @Test
  void emptyStartIsNotReadyAndSilenceFromAllStopsNewWork() {
    ReadinessPolicy freshness = new ReadinessPolicy(Duration.ofSeconds(10));
    Duration shortly = Duration.ofSeconds(1);
    Duration silent = Duration.ofSeconds(11);
    assertThat(freshness.notReadyReason(false, shortly, shortly)).isPresent();
    assertThat(freshness.notReadyReason(true, silent, shortly)).isEmpty();
    assertThat(freshness.notReadyReason(true, shortly, silent)).isEmpty();
    assertThat(freshness.notReadyReason(true, silent, silent)).isPresent();
    assertThat(freshness.notReadyReason(true, silent, Duration.ZERO)).isEmpty();
  }

  /** Lets two threads offer and read at once. */
  public static class Concurrent {
    private static final List<LogEntry> TWO = history(2);
    private static final Configuration LATER =
        ConfigurationLog.replay(Configuration.empty(), history(3));

    private final CurrentConfiguration inForce = CurrentConfiguration.create();

    /** Offers the first entries of the log. */
    @Operation
    public boolean offerTwo() {
      return inForce.offer(TWO);
    }

    /** Offers a later snapshot. */
    @Operation
    public boolean offerSnapshot() {
      return inForce.offer(LATER);
    }

    /** Reads the version in force. */
    @Operation
    public long version() {
      return inForce.get().version();
    }
  }

  @Test
  void offersAndReadsAreLinearizable() {
    new StressOptions()
        .iterations(5)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(2)
        .check(Concurrent.class);
  }
}
