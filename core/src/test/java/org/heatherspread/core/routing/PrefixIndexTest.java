package org.heatherspread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.heatherspread.core.routing.CacheEvent.Kind;
import org.junit.jupiter.api.Test;

class PrefixIndexTest {
  private static final int LIFETIME_SECONDS = 600;
  private static final long NOW = 10_000_000;

  private final PrefixIndex index = PrefixIndex.create(1 << 20, LIFETIME_SECONDS);
  private final PrefixMatch match = PrefixMatch.withCapacity(16);

  @Test
  void returnsTheLongestPrefixFirst() {
    long[] hashes = {11, 12, 13, 14};
    index.add(hashes, 2, 5, NOW);
    index.add(hashes, 4, 9, NOW);

    index.lookup(hashes, match, NOW);

    assertThat(match.size()).isEqualTo(2);
    assertThat(match.slot(0)).isEqualTo(9);
    assertThat(match.blocks(0)).isEqualTo(4);
    assertThat(match.blocksForSlot(5)).isEqualTo(2);
    assertThat(match.blocksForSlot(7)).isZero();
  }

  @Test
  void entriesExpireUnlessConfirmed() {
    long[] hashes = {1, 2};
    index.add(hashes, 2, 1, NOW);
    index.add(hashes, 1, 2, NOW);
    long later = NOW + LIFETIME_SECONDS * 1_000L + 1_000;
    index.add(hashes, 1, 2, later - 2_000);

    index.lookup(hashes, match, later);

    assertThat(match.blocksForSlot(1)).isZero();
    assertThat(match.blocksForSlot(2)).isEqualTo(1);
  }

  @Test
  void removedEntriesStayRemovedAfterTimestampsWrapAround() {
    long[] hashes = {1};
    index.add(hashes, 1, 1, NOW);
    index.removeExpired(Integer.MAX_VALUE, NOW + 2_000_000);
    long wrapAroundMillis = 65_536_000;

    index.lookup(hashes, match, NOW + wrapAroundMillis);

    assertThat(match.size()).isZero();
  }

  @Test
  void gapInEventsInvalidatesEntriesNotConfirmedRecently() {
    CacheEventConsumer consumer = CacheEventConsumer.create(index, 3);
    consumer.updateIncarnation(1, NOW);
    consumer.apply(new CacheEvent(7, Kind.STORED, new long[] {21, 22}), NOW);
    index.add(21, 4, NOW);
    index.add(21, 3, NOW + 50_000);

    consumer.apply(new CacheEvent(9, Kind.STORED, new long[] {31}), NOW + 70_000);

    index.lookup(new long[] {21, 22}, match, NOW + 71_000);
    assertThat(match.blocksForSlot(3)).isEqualTo(1);
    assertThat(match.blocksForSlot(4)).isEqualTo(1);
    assertThat(consumer.gapCount()).isEqualTo(1);
  }

  @Test
  void ignoresOldEventsAndStartsNewIncarnationsEmpty() {
    CacheEventConsumer consumer = CacheEventConsumer.create(index, 3);
    consumer.updateIncarnation(1, NOW);
    consumer.apply(new CacheEvent(1, Kind.STORED, new long[] {21}), NOW);
    consumer.apply(new CacheEvent(2, Kind.EVICTED, new long[] {21}), NOW);

    assertThat(consumer.apply(new CacheEvent(1, Kind.STORED, new long[] {21}), NOW)).isFalse();
    index.lookup(new long[] {21}, match, NOW);
    assertThat(match.size()).isZero();

    index.add(21, 3, NOW);
    consumer.updateIncarnation(2, NOW + 5_000);
    index.lookup(new long[] {21}, match, NOW + 5_000);
    assertThat(match.size()).isZero();
    assertThat(consumer.lastSequence()).isEqualTo(-1);
  }

  @Test
  void sharedPrefixEndsWherePromptsDiverge() {
    index.add(new long[] {1, 2, 3, 4}, 4, 1, NOW);
    index.add(new long[] {1, 2, 5, 6}, 4, 2, NOW);

    index.lookup(new long[] {1, 2, 3, 4}, match, NOW);

    assertThat(match.sharedBlocks()).isEqualTo(2);
  }

  @Property(seed = "71", tries = 200)
  void matchContainsOnlyAddedBlocks(
      @ForAll @LongRange(min = 1, max = 1_000) long base,
      @ForAll @IntRange(min = 1, max = 64) int blocks,
      @ForAll @IntRange(min = 0, max = 1_332) int slot) {
    PrefixIndex small = PrefixIndex.create(PrefixIndex.BYTES_PER_BLOCK * 64L, LIFETIME_SECONDS);
    Set<Long> added = new HashSet<>();
    long[] hashes = new long[64];
    for (int i = 0; i < hashes.length; i++) {
      hashes[i] = base * 64 + i;
      if (i < blocks) {
        added.add(hashes[i]);
      }
    }
    small.add(hashes, blocks, slot, NOW);

    small.lookup(hashes, match, NOW);

    assertThat(match.size()).isLessThanOrEqualTo(1);
    assertThat(match.blocksForSlot(slot)).isLessThanOrEqualTo(blocks);
    if (match.size() == 1) {
      assertThat(added).contains(hashes[match.blocks(0) - 1]);
    }
    assertThat(small.capacity()).isEqualTo(64);
  }
}
