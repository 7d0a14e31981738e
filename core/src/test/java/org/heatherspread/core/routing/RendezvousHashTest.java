package org.heatherspread.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
  private static final List<String> CANDIDATES = List.of("d-0", "d-1", "d-2", "d-3", "d-4");

  private static long score(String candidate) {
    return RendezvousHash.score(RendezvousHash.seed(candidate), RendezvousHash.seed("key"));
  }

  @Test
  void selectsTheHighestScoresInAnyOrderOfCandidates() {
    List<String> all = RendezvousHash.select(CANDIDATES, "key", 10);
    assertThat(all).containsExactlyInAnyOrderElementsOf(CANDIDATES);
    for (int i = 1; i < all.size(); i++) {
      assertThat(score(all.get(i))).isLessThan(score(all.get(i - 1)));
    }
    List<String> reversed = new ArrayList<>(CANDIDATES);
    Collections.reverse(reversed);
    assertThat(RendezvousHash.select(reversed, "key", 3)).isEqualTo(all.subList(0, 3));
  }

  @Test
  void removedCandidateLeavesTheOrderOfTheOthers() {
    List<String> expected = new ArrayList<>(RendezvousHash.select(CANDIDATES, "key", 5));
    String removed = expected.remove(0);
    List<String> others = new ArrayList<>(CANDIDATES);
    others.remove(removed);
    assertThat(RendezvousHash.select(others, "key", 5)).isEqualTo(expected);
    assertThat(RendezvousHash.select(List.of(), "key", 5)).isEmpty();
  }
}
