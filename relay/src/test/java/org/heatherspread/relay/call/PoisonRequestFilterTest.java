package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.placement.EndpointTable;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.poison.CrashPolicy;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.CallKind;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.serving.TrafficShare;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.relay.caller.CallerRequest;
import org.junit.jupiter.api.Test;

class PoisonRequestFilterTest {
  private static final Duration RETENTION = Duration.ofMinutes(10);

  private final ManualClock clock = ManualClock.create();
  private final List<String> probes = new ArrayList<>();
  private final PoisonRequestFilter reporter = createFilter();
  private final PoisonRequestFilter receiver = createFilter();

  private PoisonRequestFilter createFilter() {
    CrashPolicy policy =
        new CrashPolicy(3, 4, Duration.ofMinutes(1), RETENTION, Duration.ofMinutes(1), 100);
    return PoisonRequestFilter.create(policy, clock, endpoint -> probes.add(endpoint.id()));
  }

  private static CallContext context() {
    Route route =
        new Route(
            "r",
            "h",
            "/r/",
            CallKind.STREAM,
            100,
            100,
            0,
            List.of(new TrafficShare("s", 1)),
            3,
            false,
            true,
            400);
    CallerRequest request =
        new CallerRequest(HttpMethod.POST, "/r/x", new DefaultHttpHeaders(), new byte[] {1}, "", 0);
    CallSuspects suspects = CallSuspects.of(request, "acme", Workload.NONE);
    return new CallContext(
        "id",
        request,
        route,
        "s",
        "acme",
        suspects,
        Workload.NONE,
        0,
        0,
        1_000,
        1_000,
        -1,
        1,
        "",
        1);
  }

  private static TrackedEndpoint endpoint(String id) {
    EndpointTable table = EndpointTable.create(HealthPolicy.defaults(), service -> 1_000);
    HostPort address = new HostPort("127.0.0.1", 1);
    table.put(new RegisteredEndpoint(id, "s", address, "z", 6, false, false, -1, "v1", 1));
    return table.get(id).orElseThrow();
  }

  private void crash(String id) {
    TrackedEndpoint endpoint = endpoint(id);
    reporter.connectionLost(endpoint, context(), false);
    reporter.endpointCrashed(endpoint);
  }

  @Test
  void poisonedRequestIsRefusedByDaemonsThatReceivedTheEvidence() {
    crash("e1");
    crash("e2");
    receiver.mergeEvidence(reporter.evidence(), 0);
    assertThat(receiver.refusal(context())).isEmpty();
    crash("e3");
    receiver.mergeEvidence(reporter.evidence(), 0);
    assertThat(receiver.refusal(context())).isPresent();
  }

  /** Other daemons repeat the evidence on what is refused, which must not keep it alive. */
  @Test
  void evidenceBelowTheThresholdIsReportedOnlyByItsOriginAndAllExpires() {
    crash("e1");
    receiver.mergeEvidence(reporter.evidence(), 0);
    assertThat(reporter.evidence()).hasSize(1);
    assertThat(receiver.evidence()).isEmpty();
    crash("e2");
    crash("e3");
    receiver.mergeEvidence(reporter.evidence(), 0);
    assertThat(receiver.evidence()).hasSize(1);
    clock.advance(RETENTION.plusSeconds(1));
    reporter.mergeEvidence(receiver.evidence(), 0);
    assertThat(reporter.evidence()).isEmpty();
    assertThat(receiver.evidence()).isEmpty();
  }

  @Test
  void lostConnectionIsProbedOnceUntilTheProbeIsAccepted() {
    TrackedEndpoint endpoint = endpoint("e1");
    reporter.connectionLost(endpoint, context(), false);
    reporter.connectionLost(endpoint, context(), false);
    assertThat(probes).containsExactly("e1");
    reporter.connectionAccepted(endpoint);
    reporter.connectionLost(endpoint, context(), false);
    assertThat(probes).containsExactly("e1", "e1");
  }

  @Test
  void endOfLeavingEndpointIsNoEvidence() {
    EndpointTable table = EndpointTable.create(HealthPolicy.defaults(), service -> 1_000);
    HostPort address = new HostPort("127.0.0.1", 1);
    table.put(new RegisteredEndpoint("e1", "s", address, "z", 6, true, false, -1, "v1", 1));
    TrackedEndpoint leaving = table.get("e1").orElseThrow();
    reporter.connectionLost(leaving, context(), false);
    reporter.endpointCrashed(leaving);
    assertThat(reporter.evidence()).isEmpty();
  }
}
