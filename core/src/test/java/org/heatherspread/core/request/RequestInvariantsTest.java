package org.heatherspread.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;
import org.heatherspread.core.error.Execution;

/** Checks the invariants of a request under random network, engine and daemon faults. */
class RequestInvariantsTest {
  @Property(seed = "20261203", tries = 4_000, shrinking = ShrinkingMode.OFF)
  void requestCompletesOrReportsAccurateError(@ForAll long seed) {
    RequestSimulation simulation = new RequestSimulation(seed);
    simulation.run();
    assertThat(simulation.violations).as("seed %d", seed).isEmpty();
    assertThat(simulation.outcome).as("seed %d: request did not end", seed).isNotNull();
    boolean complete = simulation.outcome.error().isEmpty();
    if (complete) {
      assertThat(simulation.endMarkerSeen).as("seed %d: end marker received", seed).isTrue();
      assertThat(simulation.delivered)
          .as("seed %d", seed)
          .isEqualTo(RequestSimulation.RESPONSE_TOKENS);
    }
    if (simulation.outcome.execution() == Execution.NOT_RUN) {
      assertThat(simulation.hasRun()).as("seed %d: reported as not run but ran", seed).isFalse();
    }
    Statistics.label("end").collect(simulation.outcome.error().map(Enum::name).orElse("WHOLE"));
    Statistics.label("end").coverage(c -> c.check("WHOLE").percentage(p -> p > 50));
  }
}
