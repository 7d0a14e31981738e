package org.heatherspread.daemon.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Change;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.Intent;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.config.MethodRule;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.Plan;
import org.heatherspread.core.config.Planner;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.junit.jupiter.api.Test;

class ConfigurationCodecTest {
  private final ConfigurationCodec codec = ConfigurationCodec.shared();

  private static ServiceSpec service() {
    return new ServiceSpec(
        "chat",
        ServiceKind.MODEL,
        new LatencyTarget(Duration.ofMillis(520), Duration.ofNanos(33_500_000)),
        List.of(new ModelVersion("v1", List.of("tr"), VersionState.RETIRING)),
        List.of(),
        List.of("kadikoy"));
  }

  private static AccountSpec account() {
    return new AccountSpec(
        "patikoop", "a".repeat(64), new AccountLimits(1.5, 100, 8), 2, List.of("chat"));
  }

  @Test
  void changesAndConfigurationSurviveRoundTrip() {
    List<Change> changes =
        List.of(
            new Change.PutService(service()),
            new Change.PutAccount(account()),
            new Change.PutVersion("chat", new ModelVersion("v2", List.of(), VersionState.ACTIVE)),
            new Change.AddDomain("chat", "uskudar"),
            new Change.RemoveDomain("chat", "uskudar"),
            new Change.RemoveAccount("x"),
            new Change.RemoveService("y"));
    LogEntry entry = new LogEntry(7, "p", "ada", 99, changes);
    assertThat(codec.readEntry(codec.writeEntry(entry))).isEqualTo(entry);
    Configuration configuration = Change.applyAll(Configuration.empty(), changes, 7);
    assertThat(codec.readConfiguration(codec.writeConfiguration(configuration)))
        .isEqualTo(configuration);
    assertThat(codec.writeConfiguration(configuration))
        .contains("\"first_token_ms\":520", "\"inter_token_ms\":33.5", "\"state\":\"retiring\"");
  }

  @Test
  void plansWithKnownAndUnknownCostSurviveRoundTrip() {
    Configuration base =
        Change.applyAll(Configuration.empty(), List.of(new Change.PutService(service())), 1);
    Planner planner = Planner.create(base, MembershipSnapshot.empty());
    for (Intent intent :
        List.of(
            new Intent.KeepServing("chat", "uskudar"),
            new Intent.RetireModelVersion("chat", "v1"),
            new Intent.PutAccount(account()))) {
      if (intent instanceof Intent.RetireModelVersion) {
        assertThatThrownBy(() -> planner.plan(intent, "p", "ada", 5, Duration.ofMinutes(1)))
            .hasMessageContaining("retired already");
        continue;
      }
      Plan plan = planner.plan(intent, "p", "ada", 5, Duration.ofMinutes(1));
      assertThat(codec.readPlan(codec.writePlan(plan))).isEqualTo(plan);
    }
  }

  @Test
  void readsValidIntentsAndRejectsInvalidOnes() {
    Intent intent =
        codec.readIntent(
            """
            {"kind":"put_service","service":{"name":"registry","kind":"plain",
             "target":{"first_token_ms":800,"inter_token_ms":1},
             "rules":[{"method":"GET","path_prefix":"/","repeatable":true}]}}
            """);
    ServiceSpec read = ((Intent.PutService) intent).service();
    assertThat(read.rules()).containsExactly(new MethodRule("GET", "/", true));
    assertThat(read.versions()).isEmpty();
    for (String text : List.of("", "null", "[]", "{\"kind\":\"burn\"}", "{\"kind\":1}")) {
      assertThatThrownBy(() -> codec.readIntent(text)).isInstanceOf(IllegalArgumentException.class);
    }
  }
}
