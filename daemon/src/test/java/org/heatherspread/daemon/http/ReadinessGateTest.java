package org.heatherspread.daemon.http;

import static org.apache.pekko.http.javadsl.server.Directives.complete;
import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.Optional;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReadinessGateTest {
  private static final int OK = 200;
  private static final int REFUSED = 503;

  private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "gate");
  private Optional<String> reason = Optional.empty();
  private boolean leaving;
  private final ReadinessGate gate =
      ReadinessGate.create(
          () -> reason, () -> leaving, ProblemResponses.create(new SimpleMeterRegistry()));

  @AfterEach
  void stop() {
    system.terminate();
  }

  @Test
  void leavingDaemonRefusesNewRequestsButServesAddressesAndOutcomes() throws Exception {
    leaving = true;
    assertThat(status("/v1/chat/completions")).isEqualTo(REFUSED);
    assertThat(status("/v1/services/registry/charge")).isEqualTo(REFUSED);
    assertThat(status("/v1/addresses")).isEqualTo(OK);
    assertThat(status("/v1/requests/r1/stream")).isEqualTo(OK);
  }

  @Test
  void daemonThatIsNotReadyRefusesNewRequests() throws Exception {
    reason = Optional.of("no configuration");
    assertThat(status("/v1/chat/completions")).isEqualTo(REFUSED);
    assertThat(status("/v1/addresses")).isEqualTo(REFUSED);
    assertThat(status("/v1/requests/r1")).isEqualTo(OK);
    assertThat(status("/metrics")).isEqualTo(OK);
  }

  private int status(String path) throws Exception {
    return gate.guard(complete(StatusCodes.OK))
        .handler(system)
        .apply(HttpRequest.GET(path))
        .toCompletableFuture()
        .join()
        .status()
        .intValue();
  }
}
