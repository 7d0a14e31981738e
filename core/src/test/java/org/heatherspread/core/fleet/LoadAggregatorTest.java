package org.heatherspread.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;

class LoadAggregatorTest {
  private final LoadAggregator aggregator = LoadAggregator.create(1_000);

  @Test
  void sumsLatestLoadsOfAllOtherSources() {
    aggregator.update("a", Map.of("e1", new EndpointLoad(2, 100)), 0);
    aggregator.update("b", Map.of("e1", new EndpointLoad(3, 50), "e2", new EndpointLoad(1, 10)), 0);
    aggregator.update("b", Map.of("e1", new EndpointLoad(4, 60)), 100);
    assertThat(aggregator.sum(200)).isEqualTo(Map.of("e1", new EndpointLoad(6, 160)));
    assertThat(aggregator.sumExcluding("a", 200)).isEqualTo(Map.of("e1", new EndpointLoad(4, 60)));
  }

  /** The load of a killed daemon must soon cease to count against endpoints. */
  @Test
  void ignoresSourcesThatStoppedReporting() {
    aggregator.update("a", Map.of("e1", new EndpointLoad(2, 100)), 0);
    aggregator.update("b", Map.of("e1", new EndpointLoad(3, 50)), 900);
    assertThat(aggregator.sum(1_001)).isEqualTo(Map.of("e1", new EndpointLoad(3, 50)));
  }
}
