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
  void versionNeverDecreasesForUpdatesInAnyOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<LogEntry> history = history(40);
    CurrentConfiguration current = CurrentConfiguration.create();
    long before = 0;
    for (int i = 0; i < 60; i++) {
      int from = random.nextInt(40);
      int to = from + random.nextInt(41 - from);
      if (random.nextInt(4) == 0) {
        current.offer(ConfigurationLog.replay(Configuration.empty(), history.subList(0, to)));
      } else {
        boolean complete = current.offer(history.subList(from, to));
        assertThat(complete || current.get().version() < from).isTrue();
      }
      long after = current.get().version();
      assertThat(after).isGreaterThanOrEqualTo(before);
      before = after;
      checkEntriesAfter(current, random.nextInt(41));
    }
  }

  private static void checkEntriesAfter(CurrentConfiguration current, long version) {
    current
        .entriesAfter(version)
        .ifPresent(
            entries -> {
              long next = version;
              for (LogEntry entry : entries) {
                assertThat(entry.version()).isEqualTo(++next);
              }
              assertThat(Math.max(version, current.get().version())).isEqualTo(next);
            });
  }

  @Test
  void olderUpdatesAreIgnored() {
    CurrentConfiguration current = CurrentConfiguration.create();
    current.offer(history(5));
    assertThat(current.offer(Configuration.empty())).isFalse();
    current.offer(history(3));
    assertThat(current.get().version()).isEqualTo(5);
  }

  @Test
  void daemonIsNotReadyWithoutConfigurationOrContact() {
    ReadinessPolicy policy = new ReadinessPolicy(Duration.ofSeconds(10));
    Duration recent = Duration.ofSeconds(1);
    Duration tooLong = Duration.ofSeconds(11);
    assertThat(policy.notReadyReason(false, recent, recent)).isPresent();
    assertThat(policy.notReadyReason(true, tooLong, recent)).isEmpty();
    assertThat(policy.notReadyReason(true, recent, tooLong)).isEmpty();
    assertThat(policy.notReadyReason(true, tooLong, tooLong)).isPresent();
    assertThat(policy.notReadyReason(true, tooLong, Duration.ZERO)).isEmpty();
  }

  /** Operations that two threads run concurrently. */
  public static class Concurrent {
    private static final List<LogEntry> FIRST_ENTRIES = history(2);
    private static final Configuration SNAPSHOT =
        ConfigurationLog.replay(Configuration.empty(), history(3));

    private final CurrentConfiguration current = CurrentConfiguration.create();

    /** Offers the first two entries of the log. */
    @Operation
    public boolean offerEntries() {
      return current.offer(FIRST_ENTRIES);
    }

    /** Offers a later snapshot. */
    @Operation
    public boolean offerSnapshot() {
      return current.offer(SNAPSHOT);
    }

    /** Reads the current version. */
    @Operation
    public long version() {
      return current.get().version();
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
