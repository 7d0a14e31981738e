package org.heatherspread.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

/** Daemons that were all killed find the origins of streams in the last reports. */
class StreamReportTest {
  private static final long STORE_MILLIS = 1_000_000;
  private static final StreamOrigin OLD = new StreamOrigin("s", "v1");
  private static final StreamOrigin NEW = new StreamOrigin("s", "v2");

  private final ManualClock clock = ManualClock.create();
  private final OpenStreams streams = OpenStreams.create(clock, 40_000, 3);

  private static Map<String, Map<String, Integer>> registered(String... versions) {
    Map<String, Integer> slots = new HashMap<>();
    for (String version : versions) {
      slots.put(version, 8);
    }
    return Map.of("s", slots);
  }

  private static StreamReport reportOf(long era, String version) {
    return new StreamReport(era, true, Map.of(), Map.of("s", Set.of(version)), List.of(), 0, 0);
  }

  private Optional<String> singleVersion(StreamReport report, String... registered) {
    return StreamReport.findSingleVersion(List.of(report), 1, "s", Set.of(registered));
  }

  @Test
  void singleVersionIsTheOriginOfAllStreams() {
    streams.open("a", OLD, 10_000);
    StreamReport report = streams.report(1, STORE_MILLIS, registered("v1"));
    assertThat(report.open()).isEmpty();
    assertThat(singleVersion(report, "v1")).contains("v1");
  }

  @Test
  void streamsAreNamedWhileThereAreSeveralVersions() {
    streams.open("a", OLD, 10_000);
    streams.open("b", NEW, 10_000);
    StreamReport report = streams.report(1, STORE_MILLIS, registered("v1", "v2"));
    assertThat(singleVersion(report, "v1")).isEmpty();
    assertThat(StreamReport.findOpen(List.of(report), "a")).contains(OLD);
    assertThat(StreamReport.findOpen(List.of(report), "b")).contains(NEW);
    assertThat(StreamReport.findOpen(List.of(report), "c")).isEmpty();
  }

  /** The endpoints of the old version have just left, and only new ones are registered. */
  @Test
  void versionThatHasJustLeftIsNotForgotten() {
    streams.open("a", OLD, 10_000);
    StreamReport report = streams.report(1, STORE_MILLIS, registered("v2"));
    assertThat(singleVersion(report, "v2")).isEmpty();
    assertThat(StreamReport.findOpen(List.of(report), "a")).contains(OLD);
    clock.advance(Duration.ofMillis(40_001));
    assertThat(singleVersion(streams.report(1, STORE_MILLIS, registered("v2")), "v2"))
        .contains("v2");
  }

  /** A daemon that starts knows registrations that the daemons before it did not know. */
  @Test
  void versionThatOnlyTheRegistrationsNameCounts() {
    assertThat(singleVersion(streams.report(1, STORE_MILLIS, registered("v1")), "v1", "v2"))
        .isEmpty();
    assertThat(singleVersion(streams.report(1, STORE_MILLIS, registered("v1")), "v2")).isEmpty();
  }

  @Test
  void reportsOfAllDaemonsCount() {
    StreamReport one = streams.report(1, STORE_MILLIS, registered("v1"));
    StreamReport other = reportOf(1, "v2");
    assertThat(StreamReport.findSingleVersion(List.of(one, other), 1, "s", Set.of("v1"))).isEmpty();
    assertThat(StreamReport.findSingleVersion(List.of(), 1, "s", Set.of("v1"))).isEmpty();
  }

  /** A report from an earlier copy of the store may lack a version that the daemon used later. */
  @Test
  void reportsOfAnEarlierEraProveNoSingleVersion() {
    StreamReport before = reportOf(1, "v1");
    StreamReport after = reportOf(2, "v1");
    assertThat(StreamReport.findSingleVersion(List.of(before, after), 2, "s", Set.of("v1")))
        .isEmpty();
  }

  /** All daemons were killed and started after a restore, before any of them has reported. */
  @Test
  void reportsOfTheCopyAloneProveNothing() {
    streams.report(1, STORE_MILLIS, registered("v1"));
    streams.onReportWritten();
    StreamReport copied = streams.report(1, STORE_MILLIS, registered("v1"));
    assertThat(StreamReport.findSingleVersion(List.of(copied), 1, "s", Set.of("v1")))
        .contains("v1");
    assertThat(StreamReport.findAssigned(List.of(copied), 1, "a", "s")).contains("v1");
    assertThat(StreamReport.findSingleVersion(List.of(copied), 2, "s", Set.of("v1"))).isEmpty();
    assertThat(StreamReport.findAssigned(List.of(copied), 2, "a", "s")).isEmpty();
  }

  @Test
  void completeAndExpiredStreamsAreNotNamed() {
    streams.open("a", OLD, 10_000);
    streams.open("b", NEW, 500);
    streams.open("c", NEW, 10_000);
    streams.complete("a");
    clock.advance(Duration.ofMillis(1_000));
    assertThat(streams.report(1, STORE_MILLIS, registered("v1", "v2")).open())
        .extracting(StreamReport.OpenStream::attemptId)
        .containsExactly("c");
  }

  /** Its version is reported no longer, and the service has no endpoints any more. */
  @Test
  void streamOfRetiredServiceIsNamed() {
    streams.open("a", OLD, 100_000);
    clock.advance(Duration.ofMillis(40_001));
    StreamReport report = streams.report(1, STORE_MILLIS, Map.of());
    assertThat(StreamReport.findOpen(List.of(report), "a")).contains(OLD);
  }

  /** Only a new version is left, which must not be taken for that of the stream. */
  @Test
  void streamOfVersionThatIsReportedNoLongerIsNamed() {
    streams.open("a", OLD, 100_000);
    clock.advance(Duration.ofMillis(40_001));
    StreamReport report = streams.report(1, STORE_MILLIS, registered("v2"));
    assertThat(StreamReport.findOpen(List.of(report), "a")).contains(OLD);
  }

  @Test
  void oldestStreamsAreDroppedBeyondTheMaximum() {
    List<String> ids = new ArrayList<>(List.of("a", "b", "c", "d"));
    ids.forEach(id -> streams.open(id, OLD, 10_000));
    assertThat(streams.report(1, STORE_MILLIS, registered("v1", "v2")).open())
        .extracting(StreamReport.OpenStream::attemptId)
        .containsExactly("b", "c", "d");
  }

  /** Streams that began after the last report of their daemon. */
  @Test
  void streamThatNoReportNamesBeganAtItsAssignedVersion() {
    streams.report(1, STORE_MILLIS, registered("v1", "v2"));
    streams.onReportWritten();
    StreamReport last = streams.report(1, STORE_MILLIS, registered("v1", "v2"));
    Set<String> found = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      String attempt = "attempt-" + i;
      Optional<String> assigned = streams.assignedVersion("s", attempt);
      assertThat(assigned).isPresent();
      assertThat(StreamReport.findAssigned(List.of(last), 1, attempt, "s")).isEqualTo(assigned);
      found.add(assigned.get());
    }
    assertThat(found).containsExactlyInAnyOrder("v1", "v2");
  }

  /** Until the report is written, streams begin at the versions of the one before. */
  @Test
  void newVersionIsUsedOnlyOnceItIsReported() {
    streams.report(1, STORE_MILLIS, registered("v1"));
    assertThat(streams.assignedVersion("s", "a")).isEmpty();
    streams.onReportWritten();
    StreamReport pending = streams.report(1, STORE_MILLIS, registered("v2"));
    assertThat(streams.assignedVersion("s", "a")).contains("v1");
    assertThat(StreamReport.findAssigned(List.of(pending), 1, "a", "s")).isEmpty();
    assertThat(streams.onReportWritten()).isTrue();
    assertThat(streams.assignedVersion("s", "a")).contains("v2");
    StreamReport next = streams.report(1, STORE_MILLIS, registered("v2"));
    assertThat(streams.onReportWritten()).isFalse();
    assertThat(StreamReport.findAssigned(List.of(next), 1, "a", "s")).contains("v2");
  }

  /** Without the dropped streams, a missing name proves nothing. */
  @Test
  void reportThatDroppedStreamsProvesNoAssignment() {
    streams.report(1, STORE_MILLIS, registered("v1", "v2"));
    streams.onReportWritten();
    List.of("a", "b", "c", "d").forEach(id -> streams.open(id, OLD, 10_000));
    StreamReport report = streams.report(1, STORE_MILLIS, registered("v1", "v2"));
    assertThat(StreamReport.findAssigned(List.of(report), 1, "x", "s")).isEmpty();
    assertThat(StreamReport.findAssigned(List.of(StreamReport.UNKNOWN), 1, "x", "s")).isEmpty();
  }

  /** Each version gets streams in proportion to its slots. */
  @Test
  void splitFollowsTheSlots() {
    VersionSplit split = VersionSplit.of(Map.of("v1", 10, "v2", 30));
    long first =
        IntStream.range(0, 10_000)
            .filter(i -> split.versionOf(Integer.toHexString(i * 7_919)).equals("v1"))
            .count();
    assertThat(first).isBetween(2_200L, 2_800L);
  }
}
