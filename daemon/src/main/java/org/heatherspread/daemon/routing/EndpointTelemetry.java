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
 * Keeps this daemon's view of the endpoints: in rounds it takes over the membership and reads load,
 * cache events and loaded models of a bounded number of engines, in turns.
 *
 * <p>Requests read one immutable snapshot for each service, which a round replaces as a whole. Safe
 * for use by any thread; one round at a time changes the views.
 */
public final class EndpointTelemetry implements DaemonComponent {
  private static final Logger LOGGER = LoggerFactory.getLogger(EndpointTelemetry.class);
  private static final int MOST_BYTES = 1 << 20;
  private static final int SWEEP_SETS = 4_096;
  private static final double PEER_FACTOR = 1;

  private final DaemonContext context;
  private final RoutingSettings settings;
  private final PrefixIndex index;
  private final EndpointRegistry registry;
  private final ConnectionPoolSettings pool;
  private final Counter failures;
  private final Counter gaps;
  private final Map<String, LoadedModels> models = new ConcurrentHashMap<>();
  private final Map<String, CacheEventConsumer> feeds = new ConcurrentHashMap<>();
  private final Map<String, Boolean> reading = new ConcurrentHashMap<>();
  private volatile Map<String, RoutingSnapshot> snapshots = Map.of();
  private volatile int daemons = 1;
  private Cancellable timer;
  private int nextTurn;

  private EndpointTelemetry(DaemonContext context, RoutingSettings settings) {
    this.context = context;
    this.settings = settings;
    this.index =
        PrefixIndex.create(
            settings.maxIndexBytes(), (int) settings.indexEntryLifetime().toSeconds());
    this.registry = EndpointRegistry.create(index, HealthPolicy.defaults());
    this.pool = pool(context.system());
    MeterRegistry meters = context.meters();
    this.failures = meters.counter("heatherspread.routing.telemetry.failures");
    this.gaps = meters.counter("heatherspread.routing.cache.event.gaps");
    meters.gauge("heatherspread.routing.endpoints.ejected", this, EndpointTelemetry::ejected);
  }

  /** Creates the telemetry; it reads nothing before its start. */
  public static EndpointTelemetry create(DaemonContext context, RoutingSettings settings) {
    return new EndpointTelemetry(context, settings);
  }

  private static ConnectionPoolSettings pool(ActorSystem<?> system) {
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
                this::round,
                context.system().executionContext());
  }

  @Override
  public void close() {
    if (timer != null) {
      timer.cancel();
    }
  }

  /** Returns the endpoints of a service that may get new work. */
  RoutingSnapshot snapshot(String service) {
    return snapshots.getOrDefault(service, RoutingSnapshot.empty());
  }

  /** Returns the least wait that is expected at an endpoint of a service, zero if unknown. */
  public Duration expectedWait(String service) {
    RoutingSnapshot snapshot = snapshot(service);
    long now = context.clock().millis();
    double least = Double.MAX_VALUE;
    for (int i = 0; i < snapshot.size() && least > 0; i++) {
      EndpointView view = snapshot.endpoint(i);
      if (view.health().admits(now)) {
        least = Math.min(least, view.expectedWaitMillis(PEER_FACTOR, now));
      }
    }
    return least == Double.MAX_VALUE ? Duration.ZERO : Duration.ofMillis((long) least);
  }

  /** Returns how many daemons route in this region. */
  int regionDaemonCount() {
    return daemons;
  }

  PrefixIndex index() {
    return index;
  }

  private double ejected() {
    int count = 0;
    for (RoutingSnapshot snapshot : snapshots.values()) {
      count += snapshot.ejectedCount();
    }
    return count;
  }

  // ---- rounds ----

  private void round() {
    try {
      refresh();
      read();
      index.removeExpired(SWEEP_SETS, context.clock().millis());
    } catch (RuntimeException e) {
      failures.increment();
      LOGGER.atWarn().setCause(e).log("a round of endpoint telemetry failed");
    }
  }

  /** Takes over the membership; also called by a request that finds it changed. */
  synchronized void refresh() {
    MembershipSnapshot membership = context.membership().get();
    Map<String, List<Instance>> services = new HashMap<>();
    for (Member member : usable(membership)) {
      services.computeIfAbsent(member.instance().service(), s -> new ArrayList<>());
      services.get(member.instance().service()).add(member.instance());
    }
    List<EndpointProfile> profiles = new ArrayList<>();
    List<Instance> order = new ArrayList<>();
    for (List<Instance> instances : services.values()) {
      for (Instance instance : near(instances)) {
        order.add(instance);
        profiles.add(profile(instance));
      }
    }
    List<EndpointView> views = registry.update(profiles, context.clock().millis());
    Map<String, List<EndpointView>> byService = new HashMap<>();
    for (int i = 0; i < views.size(); i++) {
      byService.computeIfAbsent(order.get(i).service(), s -> new ArrayList<>()).add(views.get(i));
    }
    Map<String, RoutingSnapshot> next = new HashMap<>();
    byService.forEach((service, list) -> next.put(service, RoutingSnapshot.of(list)));
    forgetGone(views);
    snapshots = Map.copyOf(next);
    daemons = countDaemons(membership);
  }

  /** Members that may get new work; for a service that has none, those that are only suspect. */
  private static List<Member> usable(MembershipSnapshot membership) {
    List<Member> result = new ArrayList<>();
    Map<String, Boolean> alive = new HashMap<>();
    for (Member member : membership.members().values()) {
      if (member.instance().kind() != InstanceKind.DAEMON && member.takesNewWork()) {
        alive.put(member.instance().service(), true);
        result.add(member);
      }
    }
    for (Member member : membership.members().values()) {
      boolean suspect = member.health() == org.heatherspread.core.membership.Health.SUSPECT;
      if (suspect
          && member.instance().kind() != InstanceKind.DAEMON
          && !alive.containsKey(member.instance().service())) {
        result.add(member);
      }
    }
    return result;
  }

  private List<Instance> near(List<Instance> instances) {
    String region = context.self().domain().region();
    List<Instance> own =
        instances.stream().filter(i -> i.domain().region().equals(region)).toList();
    return own.isEmpty() ? instances : own;
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

  private void forgetGone(List<EndpointView> views) {
    Map<String, Boolean> live = new HashMap<>();
    views.forEach(view -> live.put(view.profile().id(), true));
    models.keySet().retainAll(live.keySet());
    feeds.keySet().retainAll(live.keySet());
  }

  // ---- reading ----

  private void read() {
    List<Instance> engines = new ArrayList<>();
    for (Member member : context.membership().get().members().values()) {
      Instance instance = member.instance();
      if (instance.kind() == InstanceKind.ENGINE && registry.view(instance.id()).isPresent()) {
        engines.add(instance);
      }
    }
    int count = Math.min(engines.size(), settings.maxPollsPerRound());
    for (int i = 0; i < count; i++) {
      read(engines.get((nextTurn + i) % engines.size()));
    }
    nextTurn = engines.isEmpty() ? 0 : (nextTurn + count) % engines.size();
  }

  private void read(Instance engine) {
    EndpointView view = registry.view(engine.id()).orElse(null);
    if (view == null || reading.putIfAbsent(engine.id(), true) != null) {
      return;
    }
    CacheEventConsumer feed =
        feeds.computeIfAbsent(engine.id(), id -> CacheEventConsumer.create(index, view.slot()));
    get(engine, "/metrics")
        .thenAccept(text -> applyLoad(view, text))
        .thenCompose(
            done -> get(engine, "/v1/cache/events?after=" + Math.max(0, feed.lastSequence())))
        .thenAccept(text -> applyEvents(feed, text))
        .thenCompose(done -> get(engine, "/v1/state"))
        .thenAccept(text -> applyState(engine, text))
        .whenComplete((done, e) -> readEnded(engine, e));
  }

  private void readEnded(Instance engine, Throwable failure) {
    reading.remove(engine.id());
    if (failure != null) {
      failures.increment();
      LOGGER
          .atDebug()
          .addKeyValue("instance", engine.id())
          .addKeyValue("cause", String.valueOf(failure.getMessage()))
          .log("could not read an engine's telemetry");
    }
  }

  private void applyLoad(EndpointView view, String text) {
    view.applyReport(
        EngineTelemetryParser.parseLoadReport(
            text, context.clock().millis(), context.wallClock().millis()));
  }

  private void applyEvents(CacheEventConsumer feed, String text) {
    try {
      EngineTelemetryParser.CacheEvents batch = EngineTelemetryParser.parseCacheEvents(text);
      long now = context.clock().millis();
      long before = feed.gapCount();
      feed.updateIncarnation(batch.incarnation(), now);
      batch.events().forEach(event -> feed.apply(event, now));
      gaps.increment(feed.gapCount() - before);
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
                    .withSizeLimit(MOST_BYTES)
                    .toStrict(timeout, context.system())
                    .thenApply(strict -> strict.getData().utf8String()))
        .toCompletableFuture()
        .orTimeout(timeout, TimeUnit.MILLISECONDS);
  }
}
