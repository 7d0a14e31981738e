package org.heatherspread.daemon.plain;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.function.Consumer;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.Directives;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.core.config.AccountLimits;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.LatencyTarget;
import org.heatherspread.core.config.MethodRule;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.permit.PermitKey;
import org.heatherspread.core.permit.PermitSigner;
import org.heatherspread.core.record.RecordLimits;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.DaemonContext;
import org.heatherspread.daemon.address.AddressComponent;
import org.heatherspread.daemon.address.AddressSettings;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.KeyHash;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.limit.UnlimitedAdmission;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.daemon.peer.PeerServer;
import org.heatherspread.daemon.permit.PermitService;
import org.heatherspread.daemon.permit.PermitSettings;
import org.heatherspread.daemon.poison.PoisonFilterComponent;
import org.heatherspread.daemon.poison.PoisonSettings;
import org.heatherspread.daemon.record.RecordSettings;
import org.heatherspread.daemon.record.RecordsComponent;
import org.heatherspread.daemon.routing.LeastInFlightSelector;

/**
 * Runs daemons with real HTTP and gRPC on the loopback interface, and endpoints that count the
 * executions of each request id.
 */
public final class PlainServiceHarness implements AutoCloseable {
  static final String ACCOUNT_KEY = "key-of-patikoop";
  static final String OTHER_KEY = "key-of-oberland";
  private static final String SERVICE = "fees";
  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final RecordSettings RECORD_SETTINGS =
      new RecordSettings(
          RecordLimits.defaults(), TIMEOUT, TIMEOUT, TIMEOUT, Duration.ofSeconds(60));
  private static final PlainSettings PLAIN_SETTINGS =
      new PlainSettings(TIMEOUT, TIMEOUT, Duration.ofSeconds(60), 1 << 20);

  final Map<String, Integer> executionsByRequestId = new ConcurrentHashMap<>();
  final List<Map<String, List<String>>> receivedHeaders = new CopyOnWriteArrayList<>();
  final InMemoryTableStore store = InMemoryTableStore.create();
  private static final ActorSystem<Void> SYSTEM = ActorSystem.create(Behaviors.empty(), "test");
  private final Map<String, Member> members = new ConcurrentHashMap<>();
  private final Map<String, Daemon> daemons = new HashMap<>();
  private final List<HttpServer> endpoints = new ArrayList<>();
  private final SharedState shared = new SharedState();
  private final HttpClient client = HttpClient.newHttpClient();

  /** A daemon of the harness. */
  public record Daemon(
      Instance instance, ServerBinding http, PeerServer peer, RecordsComponent records) {}

  /** Shared entries that reach all daemons immediately. */
  private static final class SharedState implements Dissemination {
    private final Map<String, SharedEntry> entries = new ConcurrentHashMap<>();
    private final List<Consumer<SharedEntry>> listeners = new CopyOnWriteArrayList<>();

    @Override
    public void publish(String topic, String key, byte[] value, Duration lifetime) {
      SharedEntry entry = new SharedEntry(topic, key, 1, "test", value, Long.MAX_VALUE);
      entries.put(topic + "/" + key, entry);
      listeners.forEach(listener -> listener.accept(entry));
    }

    @Override
    public List<SharedEntry> entries(String topic) {
      return entries.values().stream().filter(e -> e.topic().equals(topic)).toList();
    }

    @Override
    public void subscribe(String topic, Consumer<SharedEntry> listener) {
      listeners.add(
          entry -> {
            if (entry.topic().equals(topic)) {
              listener.accept(entry);
            }
          });
    }
  }

  /** Starts daemons named d1, d2 and so on, each in a separate failure domain. */
  public static PlainServiceHarness start(int count) throws Exception {
    PlainServiceHarness harness = new PlainServiceHarness();
    for (int i = 1; i <= count; i++) {
      harness.addDaemon("d" + i, "domain-" + i);
    }
    return harness;
  }

  private void addDaemon(String id, String domain) throws Exception {
    Instance self = instance(id, InstanceKind.DAEMON, "", domain, freePort(), freePort());
    DaemonContext context =
        new DaemonContext(
            self,
            SYSTEM,
            new SimpleMeterRegistry(),
            MonotonicClock.system(),
            InstantSource.system(),
            () -> new MembershipSnapshot(1, members),
            PlainServiceHarness::configuration,
            shared,
            store,
            PeerChannels.create());
    members.put(id, new Member(self, Health.ALIVE));
    PermitSettings permitSettings =
        PermitSettings.defaults()
            .withSigner(PermitSigner.create(PermitKey.of("k1", "0123456789abcdef")));
    PermitService permits = PermitService.create(context, permitSettings);
    RecordsComponent records =
        RecordsComponent.create(context, RECORD_SETTINGS, permitSettings.lifetime());
    PoisonFilterComponent poisonFilter =
        PoisonFilterComponent.create(context, PoisonSettings.defaults());
    poisonFilter.start();
    AccountAuthenticator auth = AccountAuthenticator.create(context.configuration());
    ProblemResponses problems = ProblemResponses.create(context.meters());
    PlainComponent plain =
        PlainComponent.create(
            context,
            PLAIN_SETTINGS,
            permitSettings.lifetime(),
            records,
            permits,
            LeastInFlightSelector.create(context.membership()),
            poisonFilter,
            UnlimitedAdmission.create(),
            auth,
            problems);
    AddressComponent addresses =
        AddressComponent.create(context, AddressSettings.defaults(), permits, auth, problems);
    Route routes = Directives.concat(plain.routes().get(), addresses.routes().get());
    ServerBinding http =
        Http.get(SYSTEM)
            .newServerAt(self.host(), self.port())
            .bind(routes)
            .toCompletableFuture()
            .get();
    PeerServer peer =
        PeerServer.start(self.host(), self.peerPort(), records.peerServices(), List.of());
    daemons.put(id, new Daemon(self, http, peer, records));
  }

  /** Returns a daemon by name. */
  public Daemon daemon(String id) {
    return daemons.get(id);
  }

  /** Closes both ports of a daemon, which remains alive in the membership view of the others. */
  public void kill(String id) throws Exception {
    daemons.get(id).peer().close();
    daemons.get(id).http().unbind().toCompletableFuture().get();
  }

  /** Sets the health of an instance in the membership view of all daemons. */
  public void setHealth(String id, Health health) {
    members.computeIfPresent(id, (key, member) -> new Member(member.instance(), health));
  }

  /**
   * Behavior of an endpoint. Except for {@code REFUSE}, the endpoint counts an execution before it
   * does anything else.
   */
  enum EndpointBehavior {
    ANSWER,
    REFUSE,
    DROP_AFTER_RUN,
    CROSS_ANSWERS,
    CRASH_ON_POISON
  }

  void addEndpoint(String id, EndpointBehavior behavior) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
    server.setExecutor(Executors.newCachedThreadPool());
    server.createContext("/", exchange -> serve(exchange, behavior));
    server.start();
    endpoints.add(server);
    int port = server.getAddress().getPort();
    members.put(
        id,
        new Member(instance(id, InstanceKind.PLAIN, SERVICE, "domain-1", port, 0), Health.ALIVE));
  }

  /** Adds an endpoint at a port without a listener. */
  void addDeadEndpoint(String id) throws IOException {
    Instance dead = instance(id, InstanceKind.PLAIN, SERVICE, "domain-1", freePort(), 0);
    members.put(id, new Member(dead, Health.ALIVE));
  }

  private void serve(HttpExchange exchange, EndpointBehavior behavior) throws IOException {
    final byte[] body = exchange.getRequestBody().readAllBytes();
    String id = exchange.getRequestHeaders().getFirst("X-Request-Id");
    final String attempt = exchange.getRequestHeaders().getFirst("X-Attempt");
    if (behavior == EndpointBehavior.REFUSE) {
      exchange.getResponseHeaders().set("X-Not-Run", "true");
      exchange.sendResponseHeaders(503, -1);
      exchange.close();
      return;
    }
    executionsByRequestId.merge(id, 1, Integer::sum);
    receivedHeaders.add(Map.copyOf(exchange.getRequestHeaders()));
    boolean isPoison = new String(body, StandardCharsets.UTF_8).equals("poison");
    if (behavior == EndpointBehavior.CRASH_ON_POISON && isPoison) {
      exchange.getHttpContext().getServer().stop(0);
      return;
    }
    if (behavior == EndpointBehavior.DROP_AFTER_RUN) {
      exchange.close();
      return;
    }
    exchange
        .getResponseHeaders()
        .set("X-Request-Id", behavior == EndpointBehavior.CROSS_ANSWERS ? "another" : id);
    exchange.getResponseHeaders().set("X-Attempt", attempt);
    exchange.getResponseHeaders().set("Content-Type", "text/plain; charset=UTF-8");
    String response =
        exchange.getRequestMethod()
            + " "
            + exchange.getRequestURI()
            + " "
            + new String(body, StandardCharsets.UTF_8);
    byte[] bytes = response.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  int executionCount() {
    return executionsByRequestId.values().stream().mapToInt(Integer::intValue).sum();
  }

  HttpResponse<String> post(String daemon, String path, String body, String... headers)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url(daemon) + "/v1/services/" + SERVICE + path))
            .header("Authorization", "Bearer " + ACCOUNT_KEY)
            .header("Content-Type", "text/plain; charset=UTF-8")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    for (int i = 0; i < headers.length; i += 2) {
      request.setHeader(headers[i], headers[i + 1]);
    }
    return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  HttpResponse<String> addresses(String daemon) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url(daemon) + "/v1/addresses"))
            .header("Authorization", "Bearer " + ACCOUNT_KEY)
            .build();
    return client.send(request, HttpResponse.BodyHandlers.ofString());
  }

  private String url(String daemon) {
    return daemons.get(daemon).instance().baseUrl();
  }

  private static Configuration configuration() {
    ServiceSpec spec =
        new ServiceSpec(
            SERVICE,
            ServiceKind.PLAIN,
            new LatencyTarget(Duration.ofSeconds(1), Duration.ZERO),
            List.of(),
            List.of(new MethodRule("*", "/read", true), new MethodRule("*", "/", false)),
            List.of());
    AccountSpec account = account("patikoop", ACCOUNT_KEY);
    AccountSpec other = account("oberland", OTHER_KEY);
    return new Configuration(
        1, Map.of(SERVICE, spec), Map.of(account.name(), account, other.name(), other));
  }

  private static AccountSpec account(String name, String key) {
    return new AccountSpec(
        name, KeyHash.of(key), new AccountLimits(1_000, 1_000_000, 100), 0, List.of());
  }

  private static Instance instance(
      String id, InstanceKind kind, String service, String domain, int port, int peerPort) {
    return new Instance(
        id,
        1,
        kind,
        service,
        new FailureDomain("region", domain),
        "127.0.0.1",
        port,
        peerPort,
        "small",
        Market.RECLAIMABLE,
        0.1,
        InstanceState.LIVE,
        Optional.empty());
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @Override
  public void close() {
    daemons.values().forEach(daemon -> daemon.peer().close());
    endpoints.forEach(server -> server.stop(0));
  }
}
