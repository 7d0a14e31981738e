package org.heatherspread.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadAggregatorTest {
  private final LoadAggregator board = LoadAggregator.create(1_000);

  @Test
  void sumsWhatAllOthersTold() {
    board.update("a", Map.of("e1", new EndpointLoad(2, 100)), 0);
    board.update("b", Map.of("e1", new EndpointLoad(3, 50), "e2", new EndpointLoad(1, 10)), 0);
    board.update("b", Map.of("e1", new EndpointLoad(4, 60)), 100);
    assertThat(board.sum(200)).isEqualTo(Map.of("e1", new EndpointLoad(6, 160)));
    assertThat(board.sumExcluding("a", 200)).isEqualTo(Map.of("e1", new EndpointLoad(4, 60)));
  }

  /** A daemon that was killed must not hold its load against endpoints for long. */
  @Test
  void forgetsSourcesThatFellSilent() {
    board.update("a", Map.of("e1", new EndpointLoad(2, 100)), 0);
    board.update("b", Map.of("e1", new EndpointLoad(3, 50)), 900);
    assertThat(board.sum(1_001)).isEqualTo(Map.of("e1", new EndpointLoad(3, 50)));
  }
}
