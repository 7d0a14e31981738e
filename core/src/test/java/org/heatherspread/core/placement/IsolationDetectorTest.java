package org.heatherspread.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.RegisteredEndpoint;
import org.junit.jupiter.api.Test;

class IsolationDetectorTest {
  private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);

  private final EndpointTable table =
      EndpointTable.create(HealthPolicy.defaults(), service -> 1_000);
  private final IsolationDetector detector = IsolationDetector.create();
  private long now = 10_000;

  private TrackedEndpoint endpoint(String id) {
    table.put(new RegisteredEndpoint(id, "s", ADDRESS, "z", 6, false, false, -1, "v1", 1));
    return table.get(id).orElseThrow();
  }

  private void fail(TrackedEndpoint endpoint) {
    endpoint.startRequest(Workload.NONE).recordFailure(now);
  }

  private boolean isIsolated() {
    return detector.update(table.all(), now);
  }

  @Test
  void severalFailuresWithoutAnyDataMeanPartition() {
    List<TrackedEndpoint> endpoints = List.of(endpoint("a"), endpoint("b"), endpoint("c"));
    endpoints.get(0).recordProgress(now);
    now += 100;
    endpoints.forEach(this::fail);
    assertThat(isIsolated()).isFalse();
    now += 600;
    assertThat(isIsolated()).isTrue();
  }

  @Test
  void dataOfOneEndpointDisprovesPartition() {
    List<TrackedEndpoint> endpoints = List.of(endpoint("a"), endpoint("b"), endpoint("c"));
    endpoints.forEach(this::fail);
    now += 600;
    TrackedEndpoint other = endpoint("d");
    other.recordProgress(now);
    assertThat(isIsolated()).isFalse();
    now += 700;
    assertThat(isIsolated()).isFalse();
  }

  @Test
  void fewFailuresAreNoPartition() {
    fail(endpoint("a"));
    endpoint("b");
    endpoint("c");
    now += 700;
    assertThat(isIsolated()).isFalse();
    fail(endpoint("b"));
    assertThat(isIsolated()).isFalse();
  }

  @Test
  void idleDaemonIsNotIsolated() {
    List.of(endpoint("a"), endpoint("b"), endpoint("c")).forEach(this::fail);
    now += 3_500;
    assertThat(isIsolated()).isFalse();
  }

  /** A daemon with few requests, which hang, would find out late. */
  @Test
  void connectionsThatFailOnSuspicionMeanPartition() {
    List<TrackedEndpoint> endpoints = List.of(endpoint("a"), endpoint("b"), endpoint("c"));
    endpoints.get(0).recordProgress(now);
    endpoints.get(0).startRequest(Workload.NONE);
    now += 500;
    assertThat(detector.isSuspected(table.all(), now)).isFalse();
    now += 100;
    assertThat(detector.isSuspected(table.all(), now)).isTrue();
    assertThat(isIsolated()).isFalse();
    endpoints.forEach(endpoint -> detector.recordUnreachable(endpoint, now));
    assertThat(isIsolated()).isTrue();
  }

  @Test
  void acceptedConnectionEndsSuspicion() {
    List<TrackedEndpoint> endpoints = List.of(endpoint("a"), endpoint("b"), endpoint("c"));
    endpoints.get(0).startRequest(Workload.NONE);
    endpoints.forEach(endpoint -> detector.recordUnreachable(endpoint, now));
    detector.recordReached(now);
    now += 100;
    assertThat(detector.isSuspected(table.all(), now)).isFalse();
    now += 600;
    assertThat(isIsolated()).isFalse();
  }

  @Test
  void idleDaemonSuspectsNothing() {
    endpoint("a");
    endpoint("b");
    assertThat(detector.isSuspected(table.all(), now)).isFalse();
  }

  /** An isolated daemon gets no requests, so that its failures grow old. */
  @Test
  void isolationEndsOnlyWithConnection() {
    List.of(endpoint("a"), endpoint("b")).forEach(this::fail);
    now += 700;
    assertThat(isIsolated()).isTrue();
    now += 10_000;
    assertThat(isIsolated()).isTrue();
    detector.recordReached(now);
    assertThat(detector.isIsolated()).isFalse();
    now += 700;
    assertThat(isIsolated()).isFalse();
  }
}
