package org.heatherspread.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

class EndpointTableTest {
  private final EndpointTable table =
      EndpointTable.create(HealthPolicy.defaults(), service -> 10_000);

  private static RegisteredEndpoint endpoint(String id, boolean leaving, long startedAtMillis) {
    HostPort address = new HostPort("10.0.0.1", 80);
    return new RegisteredEndpoint(
        id, "s", address, "a", 6, leaving, false, -1, "v1", startedAtMillis);
  }

  @Test
  void sendsNoRequestsToLeavingEndpoints() {
    table.put(endpoint("e", false, 1));
    assertThat(table.get("e").get().isUsable(0)).isTrue();
    table.put(endpoint("e", true, 1));
    assertThat(table.get("e").get().isUsable(0)).isFalse();
  }

  @Test
  void usesEndpointsWithLapsedRegistrationUntilTheGivenTime() {
    table.put(endpoint("e", false, 1));
    table.markMissing("e", 500);
    assertThat(table.get("e").get().isUsable(499)).isTrue();
    assertThat(table.get("e").get().isUsable(500)).isFalse();
    table.put(endpoint("e", false, 1));
    assertThat(table.get("e").get().isUsable(500)).isTrue();
  }

  @Test
  void discardsTheCacheEstimateOfAnEarlierIncarnation() {
    table.put(endpoint("e", false, 1));
    Workload work =
        new Workload(List.of(new PromptSegment(7, 100), new PromptSegment(8, 50)), 150, 10);
    table.get("e").get().startRequest(work).end();
    assertThat(table.get("e").get().cachedTokens(work)).isEqualTo(150);
    table.put(endpoint("e", false, 2));
    assertThat(table.get("e").get().cachedTokens(work)).isZero();
  }

  @Test
  void keepsMissingEndpointsWhileTheirRequestsRun() {
    table.put(endpoint("e", false, 1));
    TrackedEndpoint.TrackedRequest request = table.get("e").get().startRequest(Workload.NONE);
    table.markMissingExcept(Set.of(), 100);
    assertThat(table.removeDrained(200)).isEmpty();
    request.end();
    assertThat(table.removeDrained(200)).hasSize(1);
    assertThat(table.forService("s")).isEmpty();
  }
}
