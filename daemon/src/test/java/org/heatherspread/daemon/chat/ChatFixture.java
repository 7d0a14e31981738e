package org.heatherspread.daemon.chat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.ServerBinding;
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
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.request.RequestPolicy;
import org.heatherspread.core.retry.Backoff;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.engine.EngineClientSettings;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.HttpFrontend;
import org.heatherspread.daemon.http.KeyHash;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.limit.UnlimitedAdmission;
import org.heatherspread.daemon.record.InMemoryRequestRecords;
import org.heatherspread.daemon.routing.LeastInFlightSelector;

/** Chat API of one daemon with fake engines, called over real connections. */
final class ChatFixture implements AutoCloseable {
  final ActorSystem<Void> system = ActorSystem.create(Behaviors.empty(), "chat-test");
  final List<FakeEngine> engines = new ArrayList<>();
  final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  final ChatComponent component;
  private final Map<String, Member> members = new TreeMap<>();
  private final HttpClient client = HttpClient.newHttpClient();
  private final ServerBinding binding;
  private volatile MembershipSnapshot snapshot = MembershipSnapshot.empty();

  ChatFixture(int engineCount) {
    this(engineCount, "assistant");
  }

  ChatFixture(int engineCount, String service) {
    for (int i = 0; i < engineCount; i++) {
      FakeEngine engine = new FakeEngine(system, "e" + i, service);
      engines.add(engine);
      putMember(engine.instance(), Health.ALIVE);
    }
    Configuration configuration = configuration(service);
    DaemonContext context =
        new DaemonContext(
            engines.get(0).instance(),
            system,
            meters,
            MonotonicClock.system(),
            InstantSource.system(),
            () -> snapshot,
            () -> configuration,
            null,
            null,
            null);
    ProblemResponses problems = ProblemResponses.create(meters);
    component =
        ChatComponent.create(
            context,
            settings(),
            AccountAuthenticator.create(context.configuration()),
            problems,
            EngineClient.create(system, EngineClientSettings.defaults()),
            LeastInFlightSelector.create(context.membership()),
            UnlimitedAdmission.create(),
            InMemoryRequestRecords.create());
    component.start();
    binding =
        HttpFrontend.bind(
                system, "127.0.0.1", 0, List.of(component.routes().orElseThrow()), problems)
            .toCompletableFuture()
            .join();
  }

  private static ChatSettings settings() {
    ChatSettings defaults = ChatSettings.defaults();
    RequestPolicy policy =
        new RequestPolicy(
            Duration.ofSeconds(10),
            Duration.ofSeconds(2),
            Duration.ofSeconds(20),
            Duration.ofSeconds(20),
            Duration.ofSeconds(5),
            Duration.ofMillis(100),
            5,
            Backoff.defaults());
    return new ChatSettings(
        policy,
        defaults.retryBudget(),
        defaults.defaultDeadline(),
        defaults.maxDeadline(),
        defaults.defaultMaxTokens(),
        defaults.slowCallerTimeout(),
        defaults.resumeWindow(),
        defaults.moveInterval());
  }

  private static Configuration configuration(String name) {
    ServiceSpec service =
        new ServiceSpec(
            name,
            ServiceKind.MODEL,
            new LatencyTarget(Duration.ofMillis(500), Duration.ofMillis(50)),
            List.of(new ModelVersion("v1", List.of("vets"), VersionState.ACTIVE)),
            List.of(),
            List.of());
    AccountLimits limits = new AccountLimits(100, 1e6, 100);
    return new Configuration(
        1,
        Map.of(name, service),
        Map.of(
            "kadikoy",
            new AccountSpec("kadikoy", KeyHash.of("key-1"), limits, 1, List.of()),
            "other",
            new AccountSpec("other", KeyHash.of("key-2"), limits, 1, List.of("signs"))));
  }

  void putMember(Instance instance, Health health) {
    members.put(instance.id(), new Member(instance, health));
    snapshot = new MembershipSnapshot(snapshot.version() + 1, members);
  }

  FakeEngine engine(int i) {
    return engines.get(i);
  }

  double counter(String name, String tag, String value) {
    return meters.get(name).tag(tag, value).counter().count();
  }

  static String chatBody(int maxTokens, boolean stream) {
    return "{\"model\":\"assistant\",\"stream\":"
        + stream
        + ",\"max_tokens\":"
        + maxTokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}";
  }

  HttpRequest.Builder requestBuilder(String path) {
    String defaults = "http://127.0.0.1:" + binding.localAddress().getPort();
    return HttpRequest.newBuilder(URI.create(defaults + path))
        .header("Authorization", "Bearer key-1")
        .timeout(Duration.ofSeconds(20));
  }

  HttpResponse<String> chat(String body) throws IOException, InterruptedException {
    return send(
        requestBuilder("/v1/chat/completions")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build());
  }

  HttpResponse<String> send(HttpRequest request) throws IOException, InterruptedException {
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  HttpClient client() {
    return client;
  }

  @Override
  public void close() {
    component.close();
    binding.terminate(Duration.ofMillis(10));
    engines.forEach(FakeEngine::close);
    system.terminate();
    system.getWhenTerminated().toCompletableFuture().join();
  }
}
