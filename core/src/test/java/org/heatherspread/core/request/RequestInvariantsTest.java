package org.heatherspread.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.statistics.Statistics;
import org.heatherspread.core.error.Execution;

/** What must hold of every request, whatever the network, the engines and the daemon do. */
class RequestInvariantsTest {
  @Property(seed = "20261203", tries = 4_000, shrinking = ShrinkingMode.OFF)
  void requestEndsWholeOrWithHonestError(@ForAll long seed) {
    RequestSimulation run = new RequestSimulation(seed);
    run.run();
    assertThat(run.violations).as("seed %d", seed).isEmpty();
    assertThat(run.end).as("seed %d: the request never ended", seed).isNotNull();
    boolean whole = run.end.error().isEmpty();
    if (whole) {
      assertThat(run.marked).as("seed %d: end marker", seed).isTrue();
      assertThat(run.delivered).as("seed %d", seed).isEqualTo(RequestSimulation.LENGTH);
    }
    if (run.end.execution() == Execution.NOT_RUN) {
      assertThat(run.everRan()).as("seed %d: said not run, but ran", seed).isFalse();
    }
    Statistics.label("end").collect(run.end.error().map(Enum::name).orElse("WHOLE"));
    Statistics.label("end").coverage(c -> c.check("WHOLE").percentage(p -> p > 50));
  }
}
