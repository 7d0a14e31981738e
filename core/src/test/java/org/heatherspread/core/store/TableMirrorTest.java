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

  private static StorePosition at(long version) {
    return new StorePosition(0, version);
  }

  private static SharedReadResult readResult(long version, SharedRow... rows) {
    return new SharedReadResult(List.of(rows), version, 0);
  }

  @Test
  void hasNoResultBeforeFirstFullRead() {
    TableMirror mirror = TableMirror.create();
    assertThat(mirror.changesAfter(at(0))).isEmpty();
    mirror.replaceAll(readResult(10, row("a", 3, false)));
    assertThat(mirror.changesAfter(at(9))).isEmpty();
    assertThat(mirror.changesAfter(at(10))).contains(List.of());
  }

  @Test
  void rowsMissingFromLaterFullReadAreReportedAsDeleted() {
    TableMirror mirror = TableMirror.create();
    mirror.replaceAll(readResult(10, row("a", 3, false), row("b", 4, false)));
    mirror.replaceAll(readResult(20, row("a", 3, false)));
    assertThat(mirror.changesAfter(at(10)).orElseThrow())
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
        Optional<List<SharedRow>> changes = mirror.changesAfter(at(followedVersion));
        for (SharedRow each : changes.orElseThrow()) {
          if (each.deleted()) {
            follower.remove(each.key());
          } else {
            follower.put(each.key(), each.version());
          }
        }
        followedVersion = mirror.position().version();
        assertThat(follower).isEqualTo(table);
      }
    }
  }

  /** A restored store assigns versions again that followers have already seen. */
  @Test
  void followersOfAnEarlierEraMustReadTheWholeTable() {
    TableMirror mirror = TableMirror.create();
    mirror.replaceAll(new SharedReadResult(List.of(), new StorePosition(1, 20), 0, 0));
    SharedRow row = new SharedRow("a", new byte[0], 8, false);
    mirror.replaceAll(new SharedReadResult(List.of(row), new StorePosition(2, 9), 0, 0));
    assertThat(mirror.changesAfter(new StorePosition(1, 20))).isEmpty();
    assertThat(mirror.changesAfter(new StorePosition(2, 9))).contains(List.of());
    SharedRow changed = new SharedRow("a", new byte[0], 10, false);
    mirror.applyChanges(new SharedReadResult(List.of(changed), new StorePosition(2, 10), 0, 0));
    assertThat(mirror.changesAfter(new StorePosition(2, 9)).orElseThrow()).hasSize(1);
  }
}
