package org.heatherspread.bench.relay;

import com.typesafe.config.ConfigFactory;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.chat.ChatComponent;
import org.heatherspread.daemon.chat.ChatSettings;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.engine.EngineClientSettings;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.HttpFrontend;
import org.heatherspread.daemon.http.KeyHash;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.limit.UnlimitedAdmission;
import org.heatherspread.daemon.record.InMemoryRequestRecords;
import org.heatherspread.daemon.routing.LeastInFlightSelector;
import org.heatherspread.daemon.settings.HttpSettings;

/**
 * Runs only the request path of a daemon, in front of engines at given ports: {@code RelayProcess
 * ENGINE_PORT...}. Prints {@code READY PORT}. Request records are kept in memory, so that
 * measurements cover relaying without control work and replication.
 *
 * <p>Stateless.
 */
public final class RelayProcess {
  static final String API_KEY = "relay-key";
  static final String MODEL = "assistant";
  private static final String HOST = "127.0.0.1";

  private RelayProcess() {}

  /** Starts the server, which runs until the process is terminated. */
  public static void main(String[] ports) {
    HttpSettings http = new HttpSettings(1 << 20, 16_384, Duration.ofSeconds(60));
    ActorSystem<Void> system =
        ActorSystem.create(
            Behaviors.empty(),
            "relay",
            HttpFrontend.serverConfig(http)
                .withFallback(ConfigFactory.parseString("pekko.loglevel = WARNING"))
                .withFallback(ConfigFactory.load()));
    PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    DaemonContext context = createContext(system, meterRegistry, createSnapshot(ports));
    ProblemResponses problemResponses = ProblemResponses.create(meterRegistry);
    ChatComponent chat =
        ChatComponent.create(
            context,
            ChatSettings.defaults(),
            AccountAuthenticator.create(context.configuration()),
            problemResponses,
            EngineClient.create(system, new EngineClientSettings(8_192, seconds(), seconds(10))),
            LeastInFlightSelector.create(context.membership()),
            UnlimitedAdmission.create(),
            InMemoryRequestRecords.create());
    chat.start();
    int port =
        HttpFrontend.bind(system, HOST, 0, List.of(chat.routes().orElseThrow()), problemResponses)
            .toCompletableFuture()
            .join()
            .localAddress()
            .getPort();
    System.out.println("READY " + port);
  }

  private static Duration seconds() {
    return seconds(1);
  }

  private static Duration seconds(int count) {
    return Duration.ofSeconds(count);
  }

  private static DaemonContext createContext(
      ActorSystem<Void> system,
      PrometheusMeterRegistry meterRegistry,
      MembershipSnapshot snapshot) {
    Configuration configuration = createConfiguration();
    return new DaemonContext(
        createInstance("daemon", InstanceKind.DAEMON, "", 0),
        system,
        meterRegistry,
        MonotonicClock.system(),
        InstantSource.system(),
        () -> snapshot,
        () -> configuration,
        null,
        null,
        null);
  }

  private static MembershipSnapshot createSnapshot(String[] ports) {
    Map<String, Member> members = new HashMap<>();
    for (String port : ports) {
      Instance engine =
          createInstance("engine-" + port, InstanceKind.ENGINE, MODEL, Integer.parseInt(port));
      members.put(engine.id(), new Member(engine, Health.ALIVE));
    }
    return new MembershipSnapshot(1, members);
  }

  private static Instance createInstance(String id, InstanceKind kind, String service, int port) {
    return new Instance(
        id,
        1,
        kind,
        service,
        new FailureDomain("marmara", "kadikoy"),
        HOST,
        port,
        0,
        "small",
        Market.ON_DEMAND,
        1,
        InstanceState.LIVE,
        Optional.empty());
  }

  private static Configuration createConfiguration() {
    ServiceSpec service =
        new ServiceSpec(
            MODEL,
            ServiceKind.MODEL,
            new LatencyTarget(Duration.ofMillis(520), Duration.ofMillis(33)),
            List.of(new ModelVersion("v1", List.of(), VersionState.ACTIVE)),
            List.of(),
            List.of());
    AccountLimits limits = new AccountLimits(1e6, 1e9, 1_000_000);
    AccountSpec account = new AccountSpec("bench", KeyHash.of(API_KEY), limits, 0, List.of());
    return new Configuration(1, Map.of(MODEL, service), Map.of("bench", account));
  }
}
