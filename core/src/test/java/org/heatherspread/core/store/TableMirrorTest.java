package org.heatherspread.core.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TableMirrorTest {
  private static SharedRow row(String key, long version, boolean deleted) {
    return new SharedRow(key, new byte[0], version, deleted);
  }

  private static SharedReadResult readResult(long version, SharedRow... rows) {
    return new SharedReadResult(List.of(rows), version, 0);
  }

  @Test
  void hasNoResultBeforeFirstFullRead() {
    TableMirror mirror = TableMirror.create();
    assertThat(mirror.changesAfter(0)).isEmpty();
    mirror.replaceAll(readResult(10, row("a", 3, false)));
    assertThat(mirror.changesAfter(9)).isEmpty();
    assertThat(mirror.changesAfter(10)).contains(List.of());
  }

  @Test
  void rowsMissingFromLaterFullReadAreReportedAsDeleted() {
    TableMirror mirror = TableMirror.create();
    mirror.replaceAll(readResult(10, row("a", 3, false), row("b", 4, false)));
    mirror.replaceAll(readResult(20, row("a", 3, false)));
    assertThat(mirror.changesAfter(10).orElseThrow())
        .singleElement()
        .matches(row -> row.key().equals("b") && row.deleted());
  }

  /** A follower that requests changes at random times must hold the same rows as the table. */
  @Property(tries = 200)
  void followersMissNoChange(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    TableMirror mirror = TableMirror.create();
    mirror.replaceAll(readResult(0));
    Map<String, Long> table = new HashMap<>();
    Map<String, Long> follower = new HashMap<>();
    long followedVersion = 0;
    for (long version = 1; version <= 300; version++) {
      String key = "k" + random.nextInt(8);
      boolean deleted = random.nextInt(3) == 0;
      if (deleted) {
        table.remove(key);
      } else {
        table.put(key, version);
      }
      mirror.applyChanges(readResult(version, row(key, version, deleted)));
      if (random.nextInt(5) == 0 || version == 300) {
        Optional<List<SharedRow>> changes = mirror.changesAfter(followedVersion);
        for (SharedRow each : changes.orElseThrow()) {
          if (each.deleted()) {
            follower.remove(each.key());
          } else {
            follower.put(each.key(), each.version());
          }
        }
        followedVersion = mirror.version();
        assertThat(follower).isEqualTo(table);
      }
    }
  }
}
