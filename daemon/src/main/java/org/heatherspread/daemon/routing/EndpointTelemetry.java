package org.heatherspread.daemon.routing;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.actor.Cancellable;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.settings.ConnectionPoolSettings;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.routing.CacheEventConsumer;
import org.heatherspread.core.routing.EndpointProfile;
import org.heatherspread.core.routing.EndpointRegistry;
import org.heatherspread.core.routing.EndpointView;
import org.heatherspread.core.routing.HealthPolicy;
import org.heatherspread.core.routing.LoadedModels;
import org.heatherspread.core.routing.PrefixIndex;
import org.heatherspread.core.routing.RoutingSnapshot;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this daemon's views of the endpoints. Each round applies the current membership and
 * polls a bounded number of engines, in turn, for their load, cache events and loaded models.
 *
 * <p>Thread-safe. Selections read an immutable snapshot for each service, which a round replaces as
 * a whole. Updates of the endpoint set are mutually exclusive.
 */
public final class EndpointTelemetry implements DaemonComponent {
  private static final Logger LOGGER = LoggerFactory.getLogger(EndpointTelemetry.class);
  private static final int MAX_RESPONSE_BYTES = 1 << 20;
  private static final int EXPIRY_SETS_PER_ROUND = 4_096;
  private static final double PEER_FACTOR = 1;

  private final DaemonContext context;
  private final RoutingSettings settings;
  private final PrefixIndex index;
  private final EndpointRegistry registry;
  private final ConnectionPoolSettings pool;
  private final Counter failures;
  private final Counter eventGaps;
  private final Map<String, LoadedModels> models = new ConcurrentHashMap<>();
  private final Map<String, CacheEventConsumer> eventConsumers = new ConcurrentHashMap<>();
  private final Map<String, Boolean> readsInProgress = new ConcurrentHashMap<>();
  private volatile Map<String, RoutingSnapshot> snapshots = Map.of();
  private volatile int regionDaemons = 1;
  private Cancellable timer;
  private int nextEngine;

  private EndpointTelemetry(DaemonContext context, RoutingSettings settings) {
    this.context = context;
    this.settings = settings;
    this.index =
        PrefixIndex.create(
            settings.maxIndexBytes(), (int) settings.indexEntryLifetime().toSeconds());
    this.registry = EndpointRegistry.create(index, HealthPolicy.defaults());
    this.pool = poolSettings(context.system());
    MeterRegistry meters = context.meters();
    this.failures = meters.counter("heatherspread.routing.telemetry.failures");
    this.eventGaps = meters.counter("heatherspread.routing.cache.event.gaps");
    meters.gauge("heatherspread.routing.endpoints.ejected", this, EndpointTelemetry::ejectedCount);
  }

  /** Creates the telemetry; polling begins with {@link #start}. */
  public static EndpointTelemetry create(DaemonContext context, RoutingSettings settings) {
    return new EndpointTelemetry(context, settings);
  }

  private static ConnectionPoolSettings poolSettings(ActorSystem<?> system) {
    return ConnectionPoolSettings.create(system.classicSystem())
        .withMaxConnections(2)
        .withMaxRetries(0)
        .withIdleTimeout(scala.concurrent.duration.Duration.create(5, TimeUnit.SECONDS));
  }

  @Override
  public void start() {
    timer =
        context
            .system()
            .scheduler()
            .scheduleWithFixedDelay(
                Duration.ZERO,
                settings.pollInterval(),
                this::runRound,
                context.system().executionContext());
  }

  @Override
  public void close() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Returns the endpoints of a service that accept new requests; empty if there are none. */
  RoutingSnapshot snapshot(String service) {
    return snapshots.getOrDefault(service, RoutingSnapshot.empty());
  }

  /**
   * Returns the shortest expected wait among the healthy endpoints of a service; zero if unknown.
   */
  public Duration expectedWait(String service) {
    RoutingSnapshot snapshot = snapshot(service);
    long now = context.clock().millis();
    double shortest = Double.MAX_VALUE;
    for (int i = 0; i < snapshot.size() && shortest > 0; i++) {
      EndpointView view = snapshot.endpoint(i);
      if (view.health().admits(now)) {
        shortest = Math.min(shortest, view.expectedWaitMillis(PEER_FACTOR, now));
      }
    }
    return shortest == Double.MAX_VALUE ? Duration.ZERO : Duration.ofMillis((long) shortest);
  }

  /** Returns the number of live daemons in this region, at least one. */
  int regionDaemonCount() {
    return regionDaemons;
  }

  PrefixIndex index() {
    return index;
  }

  private double ejectedCount() {
    int count = 0;
    for (RoutingSnapshot snapshot : snapshots.values()) {
      count += snapshot.ejectedCount();
    }
    return count;
  }

  private void runRound() {
    try {
      refresh();
      pollEngines();
      index.removeExpired(EXPIRY_SETS_PER_ROUND, context.clock().millis());
    } catch (RuntimeException e) {
      failures.increment();
      LOGGER.atWarn().setCause(e).log("endpoint telemetry round failed");
    }
  }

  /** Applies the current membership; also called if a selection finds its snapshot outdated. */
  synchronized void refresh() {
    MembershipSnapshot membership = context.membership().get();
    Map<String, List<Instance>> services = new HashMap<>();
    for (Member member : usableEndpoints(membership)) {
      services.computeIfAbsent(member.instance().service(), s -> new ArrayList<>());
      services.get(member.instance().service()).add(member.instance());
    }
    List<EndpointProfile> profiles = new ArrayList<>();
    List<Instance> ordered = new ArrayList<>();
    for (List<Instance> instances : services.values()) {
      for (Instance instance : preferOwnRegion(instances)) {
        ordered.add(instance);
        profiles.add(profile(instance));
      }
    }
    List<EndpointView> views = registry.update(profiles, context.clock().millis());
    Map<String, List<EndpointView>> byService = new HashMap<>();
    for (int i = 0; i < views.size(); i++) {
      byService.computeIfAbsent(ordered.get(i).service(), s -> new ArrayList<>()).add(views.get(i));
    }
    Map<String, RoutingSnapshot> updated = new HashMap<>();
    byService.forEach((service, list) -> updated.put(service, RoutingSnapshot.of(list)));
    removeMissing(views);
    snapshots = Map.copyOf(updated);
    regionDaemons = countDaemons(membership);
  }

  /**
   * Returns the endpoints that accept new requests and, for a service without any, those that are
   * suspected of having failed.
   */
  private static List<Member> usableEndpoints(MembershipSnapshot membership) {
    List<Member> result = new ArrayList<>();
    Map<String, Boolean> alive = new HashMap<>();
    for (Member member : membership.members().values()) {
      if (member.instance().kind() != InstanceKind.DAEMON && member.takesNewWork()) {
        alive.put(member.instance().service(), true);
        result.add(member);
      }
    }
    for (Member member : membership.members().values()) {
      boolean isSuspect = member.health() == org.heatherspread.core.membership.Health.SUSPECT;
      if (isSuspect
          && member.instance().kind() != InstanceKind.DAEMON
          && !alive.containsKey(member.instance().service())) {
        result.add(member);
      }
    }
    return result;
  }

  private List<Instance> preferOwnRegion(List<Instance> instances) {
    String region = context.self().domain().region();
    List<Instance> inRegion =
        instances.stream().filter(i -> i.domain().region().equals(region)).toList();
    return inRegion.isEmpty() ? instances : inRegion;
  }

  private int countDaemons(MembershipSnapshot membership) {
    String region = context.self().domain().region();
    int count = 0;
    for (Member member : membership.daemons()) {
      if (member.takesNewWork() && member.instance().domain().region().equals(region)) {
        count++;
      }
    }
    return Math.max(1, count);
  }

  private EndpointProfile profile(Instance instance) {
    boolean reclaimable = instance.market() == Market.RECLAIMABLE;
    return new EndpointProfile(
        instance.id(),
        instance.incarnation(),
        instance.domain(),
        instance.machineClass(),
        instance.pricePerHour(),
        reclaimable ? settings.reclaimsPerHour() : 0,
        models.getOrDefault(instance.id(), LoadedModels.unknown()));
  }

  private void removeMissing(List<EndpointView> views) {
    Map<String, Boolean> registered = new HashMap<>();
    views.forEach(view -> registered.put(view.profile().id(), true));
    models.keySet().retainAll(registered.keySet());
    eventConsumers.keySet().retainAll(registered.keySet());
  }

  private void pollEngines() {
    List<Instance> engines = new ArrayList<>();
    for (Member member : context.membership().get().members().values()) {
      Instance instance = member.instance();
      if (instance.kind() == InstanceKind.ENGINE && registry.view(instance.id()).isPresent()) {
        engines.add(instance);
      }
    }
    int count = Math.min(engines.size(), settings.maxPollsPerRound());
    for (int i = 0; i < count; i++) {
      poll(engines.get((nextEngine + i) % engines.size()));
    }
    nextEngine = engines.isEmpty() ? 0 : (nextEngine + count) % engines.size();
  }

  private void poll(Instance engine) {
    EndpointView view = registry.view(engine.id()).orElse(null);
    if (view == null || readsInProgress.putIfAbsent(engine.id(), true) != null) {
      return;
    }
    CacheEventConsumer consumer =
        eventConsumers.computeIfAbsent(
            engine.id(), id -> CacheEventConsumer.create(index, view.slot()));
    get(engine, "/metrics")
        .thenAccept(text -> applyLoad(view, text))
        .thenCompose(
            done -> get(engine, "/v1/cache/events?after=" + Math.max(0, consumer.lastSequence())))
        .thenAccept(text -> applyEvents(consumer, text))
        .thenCompose(done -> get(engine, "/v1/state"))
        .thenAccept(text -> applyState(engine, text))
        .whenComplete((done, e) -> onReadCompleted(engine, e));
  }

  private void onReadCompleted(Instance engine, Throwable failure) {
    readsInProgress.remove(engine.id());
    if (failure != null) {
      failures.increment();
      LOGGER
          .atDebug()
          .addKeyValue("instance", engine.id())
          .addKeyValue("cause", String.valueOf(failure.getMessage()))
          .log("telemetry of an engine could not be read");
    }
  }

  private void applyLoad(EndpointView view, String text) {
    view.applyReport(
        EngineTelemetryParser.parseLoadReport(
            text, context.clock().millis(), context.wallClock().millis()));
  }

  private void applyEvents(CacheEventConsumer consumer, String text) {
    try {
      EngineTelemetryParser.CacheEvents batch = EngineTelemetryParser.parseCacheEvents(text);
      long now = context.clock().millis();
      long gapsBefore = consumer.gapCount();
      consumer.updateIncarnation(batch.incarnation(), now);
      batch.events().forEach(event -> consumer.apply(event, now));
      eventGaps.increment(consumer.gapCount() - gapsBefore);
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private void applyState(Instance engine, String text) {
    try {
      models.put(engine.id(), EngineTelemetryParser.parseLoadedModels(text, engine.service()));
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private CompletableFuture<String> get(Instance engine, String path) {
    long timeout = settings.pollInterval().toMillis();
    return Http.get(context.system())
        .singleRequest(
            HttpRequest.GET(engine.baseUrl() + path),
            Http.get(context.system()).defaultClientHttpsContext(),
            pool,
            context.system().classicSystem().log())
        .thenCompose(
            response ->
                response
                    .entity()
                    .withSizeLimit(MAX_RESPONSE_BYTES)
                    .toStrict(timeout, context.system())
                    .thenApply(strict -> strict.getData().utf8String()))
        .toCompletableFuture()
        .orTimeout(timeout, TimeUnit.MILLISECONDS);
  }
}
