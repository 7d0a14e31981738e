package org.heatherspread.daemon.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.routing.LoadReport;
import org.heatherspread.core.routing.LoadedModels;
import org.heatherspread.core.time.ManualClock;
import org.heatherspread.daemon.DaemonContext;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CostSelectorTest {
  private static final FailureDomain DOMAIN = new FailureDomain("marmara", "kadikoy");

  private final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "selector");
  private final ManualClock clock = ManualClock.create();
  private final Map<String, Member> members = new HashMap<>();
  private final DaemonContext context =
      new DaemonContext(
          instance("daemon", InstanceKind.DAEMON),
          system,
          new SimpleMeterRegistry(),
          clock,
          () -> Instant.ofEpochMilli(0),
          () -> new MembershipSnapshot(1, members),
          Configuration::empty,
          null,
          null,
          null);
  private final RoutingSettings settings = RoutingSettings.defaults();
  private final EndpointTelemetry telemetry = EndpointTelemetry.create(context, settings);
  private final CostSelector selector = CostSelector.create(context, settings, telemetry);

  @AfterEach
  void stop() {
    system.terminate();
  }

  @Test
  void repeatedPromptIsRoutedToSameEndpoint() {
    clock.advance(Duration.ofSeconds(100));
    add("e1", Health.ALIVE);
    add("e2", Health.ALIVE);
    add("e3", Health.ALIVE);
    Selection first = selector.select(request("x".repeat(8_000), Set.of()));
    first.recordFirstToken(0);
    first.recordCompletion();

    for (int i = 0; i < 10; i++) {
      Selection again = selector.select(request("x".repeat(8_000), Set.of()));
      assertThat(again.endpoint()).isEqualTo(first.endpoint());
      again.recordCompletion();
    }
  }

  @Test
  void leavingAndExcludedEndpointsAreNotSelected() {
    add("e1", Health.LEAVING);
    assertThatThrownBy(() -> selector.select(request("hello", Set.of())))
        .isInstanceOfSatisfying(
            ServingException.class,
            e -> {
              assertThat(e.kind()).isEqualTo(ErrorKind.NO_ENDPOINT);
              assertThat(e.retryAfter()).isPresent();
            });
    add("e2", Health.ALIVE);
    assertThat(selector.select(request("hello", Set.of())).endpoint().id()).isEqualTo("e2");
    assertThatThrownBy(() -> selector.select(request("hello", Set.of("e2"))))
        .isInstanceOf(ServingException.class);
  }

  @Test
  void endpointThatLeftAfterLastRoundIsNotSelected() {
    add("e1", Health.ALIVE);
    add("e2", Health.ALIVE);
    Selection first = selector.select(request("hello", Set.of()));
    first.recordCompletion();
    String preferred = first.endpoint().id();
    add(preferred, Health.LEAVING);
    assertThat(selector.select(request("hello", Set.of())).endpoint().id()).isNotEqualTo(preferred);
    members.remove(preferred);
    assertThat(selector.select(request("hello", Set.of())).endpoint().id()).isNotEqualTo(preferred);
  }

  @Test
  void parsesEngineTelemetry() throws Exception {
    String text =
        "# TYPE engine_running_requests gauge\nengine_running_requests 7\n"
            + "engine_waiting_prompt_tokens{x=\"y\"} 4096\nengine_report_time_ms 900\nother 1\n";
    LoadReport report = EngineTelemetryParser.parseLoadReport(text, 50_000, 1_400);
    assertThat(report.running()).isEqualTo(7);
    assertThat(report.waitingPromptTokens()).isEqualTo(4_096);
    assertThat(report.measuredAtMillis()).isEqualTo(49_500);

    EngineTelemetryParser.CacheEvents events =
        EngineTelemetryParser.parseCacheEvents(
            "{\"incarnation\":3,\"events\":[{\"seq\":9,\"kind\":\"stored\","
                + "\"hashes\":[\"ffffffffffffffff\"]},{\"seq\":10,\"kind\":\"unheard\"}]}");
    assertThat(events.incarnation()).isEqualTo(3);
    assertThat(events.events()).hasSize(1);
    assertThat(events.events().get(0).hashes()).containsExactly(-1L);

    LoadedModels models =
        EngineTelemetryParser.parseLoadedModels(
            "{\"models\":[{\"service\":\"signs\",\"version\":\"v2\",\"adapters\":[\"a\"]},"
                + "{\"service\":\"other\",\"version\":\"v9\",\"adapters\":[]}]}",
            "signs");
    assertThat(models.canServe("v2", "a")).isTrue();
    assertThat(models.canServe("v9", "")).isFalse();
  }

  private void add(String id, Health health) {
    members.put(id, new Member(instance(id, InstanceKind.ENGINE), health));
  }

  private static Instance instance(String id, InstanceKind kind) {
    return new Instance(
        id,
        1,
        kind,
        "assistant",
        DOMAIN,
        "127.0.0.1",
        1,
        0,
        "small",
        Market.RECLAIMABLE,
        1,
        InstanceState.LIVE,
        Optional.empty());
  }

  private static SelectionRequest request(String prompt, Set<String> excluded) {
    return new SelectionRequest(
        "account",
        "assistant",
        "",
        "",
        prompt.getBytes(StandardCharsets.UTF_8),
        100,
        0,
        Optional.empty(),
        excluded,
        Duration.ofSeconds(30));
  }
}
