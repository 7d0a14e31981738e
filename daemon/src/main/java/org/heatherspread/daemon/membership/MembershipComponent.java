package org.heatherspread.daemon.membership;

import io.grpc.BindableService;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.heatherspread.core.config.ConfigurationFormat;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.membership.Dissemination;
import org.heatherspread.core.membership.ExchangeMessage;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipAction;
import org.heatherspread.core.membership.MembershipCore;
import org.heatherspread.core.membership.MembershipSettings;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.peer.PeerChannels;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drives the membership logic: one thread holds the logic, sends what it asks for over gRPC, probes
 * endpoints and reads the platform's instance list and notices. Life cycle: {@link #create}, {@link
 * #start}, any number of calls, {@link #announceLeaving}, {@link #close}.
 *
 * <p>Safe for use by any thread. {@link #get} and {@link #entries} take no lock and are at most one
 * flush interval late.
 */
public final class MembershipComponent
    implements DaemonComponent, Dissemination, Supplier<MembershipSnapshot> {
  private static final Logger logger = LoggerFactory.getLogger(MembershipComponent.class);
  private static final double LIST_READS_PER_SECOND = 1;
  private static final double NOTICE_READS_PER_SECOND = 8;
  private static final long CLOSE_WAIT_MILLIS = 200;

  private final MembershipSettings settings;
  private final MembershipCore core;
  private final PlatformReader platform;
  private final PeerChannels peers;
  private final MembershipClient client;
  private final EndpointProber prober;
  private final MembershipMetrics metrics;
  private final ScheduledExecutorService scheduler;
  private final MembershipService service;
  private final PlatformPoller listPoller;
  private final PlatformPoller noticePoller;
  private final Map<String, List<Consumer<SharedEntry>>> listeners = new ConcurrentHashMap<>();
  private final Map<String, List<SharedEntry>> topics = new ConcurrentHashMap<>();
  private volatile MembershipSnapshot snapshot = MembershipSnapshot.empty();
  private volatile int daemonsAlive = 1;
  private volatile Duration silence = Duration.ZERO;
  private long noticeSequence;

  private MembershipComponent(
      Instance self,
      MembershipSettings settings,
      CurrentConfiguration config,
      ConfigurationFormat format,
      PlatformReader platform,
      EndpointProber prober,
      PeerChannels peers,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomGenerator random,
      MeterRegistry meters) {
    this.settings = settings;
    this.platform = platform;
    this.prober = prober;
    this.peers = peers;
    core = MembershipCore.create(self, settings, config, clock, wallClock, random);
    snapshot = core.snapshot();
    metrics = MembershipMetrics.create(meters);
    MembershipCodec codec = MembershipCodec.create(format);
    client = new MembershipClient(peers, codec, format, config, metrics);
    scheduler = Executors.newSingleThreadScheduledExecutor(MembershipComponent::thread);
    service = new MembershipService(self, this, client, codec, format, config, metrics);
    listPoller =
        new PlatformPoller(
            scheduler, random, LIST_READS_PER_SECOND, () -> daemonsAlive, this::readList);
    noticePoller =
        new PlatformPoller(
            scheduler, random, NOTICE_READS_PER_SECOND, () -> daemonsAlive, this::readNotices);
    registerGauges(meters);
  }

  /**
   * Creates the component of one daemon.
   *
   * @param config the configuration in force, which the exchange spreads
   * @param random decides turns and delays; used by one thread only
   */
  public static MembershipComponent create(
      Instance self,
      MembershipSettings settings,
      CurrentConfiguration config,
      ConfigurationFormat format,
      PlatformReader platform,
      EndpointProber prober,
      PeerChannels peers,
      MonotonicClock clock,
      InstantSource wallClock,
      RandomGenerator random,
      MeterRegistry meters) {
    return new MembershipComponent(
        self, settings, config, format, platform, prober, peers, clock, wallClock, random, meters);
  }

  private static Thread thread(Runnable work) {
    Thread thread = new Thread(work, "membership");
    thread.setDaemon(true);
    return thread;
  }

  private void registerGauges(MeterRegistry meters) {
    for (Health health : Health.values()) {
      Gauge.builder("heatherspread.membership.members", this, c -> c.count(health))
          .description("Instances by what this daemon believes of them")
          .tag("health", health.name().toLowerCase(java.util.Locale.ROOT))
          .register(meters);
    }
    Gauge.builder("heatherspread.membership.silence", this, c -> c.silence.toMillis() / 1_000.0)
        .description("Seconds since any other daemon was heard")
        .register(meters);
  }

  private long count(Health health) {
    return snapshot.members().values().stream().filter(m -> m.health() == health).count();
  }

  // ---------------------------------------------------------------------------------------------
  // Life cycle
  // ---------------------------------------------------------------------------------------------

  @Override
  public List<BindableService> peerServices() {
    return List.of(service);
  }

  @Override
  public void start() {
    long interval = settings.flushInterval().toMillis();
    scheduler.scheduleAtFixedRate(
        () -> handle(core::tick), interval, interval, TimeUnit.MILLISECONDS);
    listPoller.start();
    noticePoller.start();
  }

  /** Tells all that this daemon is leaving; completes when the news has been sent. */
  public CompletableFuture<Void> announceLeaving(long endsAtMillis) {
    return run(
        () -> {
          core.announceLeaving(endsAtMillis);
          core.tick();
        });
  }

  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    return announceLeaving(System.currentTimeMillis() + bound.toMillis());
  }

  @Override
  public void close() {
    run(
        () -> {
          core.announceStopped();
          core.tick();
        });
    scheduler.shutdown();
    try {
      if (!scheduler.awaitTermination(CLOSE_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
        scheduler.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Results
  // ---------------------------------------------------------------------------------------------

  @Override
  public MembershipSnapshot get() {
    return snapshot;
  }

  /** Returns for how long no other daemon was heard; zero where none is known. */
  public Duration timeSinceLastMessage() {
    return silence;
  }

  /** Returns the calls to other daemons that the control component shares. */
  public MembershipClient client() {
    return client;
  }

  @Override
  public void publish(String topic, String key, byte[] value, Duration lifetime) {
    byte[] copy = value.clone();
    run(() -> core.publish(topic, key, copy, lifetime));
  }

  @Override
  public List<SharedEntry> entries(String topic) {
    long now = System.currentTimeMillis();
    List<SharedEntry> found = topics.getOrDefault(topic, List.of());
    return found.stream().filter(entry -> entry.expiresAtMillis() > now).toList();
  }

  @Override
  public void subscribe(String topic, Consumer<SharedEntry> listener) {
    listeners.computeIfAbsent(topic, key -> new CopyOnWriteArrayList<>()).add(listener);
  }

  // ---------------------------------------------------------------------------------------------
  // Events
  // ---------------------------------------------------------------------------------------------

  /** Hands a message of another daemon to the logic. */
  CompletableFuture<ExchangeMessage> onRequest(ExchangeMessage request) {
    CompletableFuture<ExchangeMessage> reply = new CompletableFuture<>();
    run(() -> reply.complete(core.onRequest(request)))
        .exceptionally(
            failure -> {
              reply.completeExceptionally(failure);
              return null;
            });
    return reply;
  }

  private CompletableFuture<Void> run(Runnable event) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    try {
      scheduler.execute(
          () -> {
            handle(event);
            done.complete(null);
          });
    } catch (RejectedExecutionException e) {
      done.completeExceptionally(e);
    }
    return done;
  }

  private void handle(Runnable event) {
    long start = System.nanoTime();
    try {
      event.run();
      core.drainActions().forEach(this::act);
      publishResults();
    } catch (RuntimeException e) {
      logger.atError().setCause(e).log("membership event failed");
    }
    metrics.recordHandling(System.nanoTime() - start);
  }

  private void publishResults() {
    silence = core.timeSinceLastMessage();
    if (core.version() != snapshot.version()) {
      snapshot = core.snapshot();
      closeGone();
      daemonsAlive = (int) snapshot.daemons().stream().filter(Member::takesNewWork).count();
    }
    for (SharedEntry entry : core.drainNewEntries()) {
      topics.put(entry.topic(), core.entries(entry.topic()));
      for (Consumer<SharedEntry> listener : listeners.getOrDefault(entry.topic(), List.of())) {
        notify(listener, entry);
      }
    }
  }

  /** Closes connections to daemons that are no longer known. */
  private void closeGone() {
    List<Instance> daemons = new ArrayList<>();
    for (Member member : snapshot.daemons()) {
      if (member.health() != Health.DEAD) {
        daemons.add(member.instance());
      }
    }
    peers.retain(daemons);
  }

  private static void notify(Consumer<SharedEntry> listener, SharedEntry entry) {
    try {
      listener.accept(entry);
    } catch (RuntimeException e) {
      logger.atError().addKeyValue("topic", entry.topic()).setCause(e).log("listener failed");
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Actions
  // ---------------------------------------------------------------------------------------------

  private void act(MembershipAction action) {
    if (action instanceof MembershipAction.Send send) {
      send(send);
    } else if (action instanceof MembershipAction.IndirectProbe ask) {
      askProbe(ask);
    } else if (action instanceof MembershipAction.ProbeEndpoint probe) {
      probeEndpoint(probe.endpoint());
    } else if (action instanceof MembershipAction.FetchConfiguration fetch) {
      client.fetchConfiguration(fetch.from());
    }
  }

  private void send(MembershipAction.Send send) {
    client
        .exchange(send.to(), send.message())
        .whenComplete(
            (reply, failure) ->
                run(
                    () -> {
                      if (failure == null) {
                        core.onReply(send.to(), send.message(), reply);
                      } else {
                        metrics.recordExchangeFailure();
                        core.onPeerUnreachable(send.to());
                      }
                    }));
  }

  private void askProbe(MembershipAction.IndirectProbe ask) {
    client
        .probe(ask.via(), ask.target())
        .thenAccept(
            answered -> {
              if (answered) {
                run(() -> core.onIndirectProbeAnswered(ask.target().id()));
              }
            });
  }

  private void probeEndpoint(Instance endpoint) {
    prober
        .probe(endpoint)
        .whenComplete(
            (incarnation, failure) ->
                run(
                    () -> {
                      if (failure == null) {
                        core.onEndpointAnswered(endpoint.id(), incarnation);
                      } else {
                        core.onEndpointFailed(endpoint.id());
                      }
                    }));
  }

  // ---------------------------------------------------------------------------------------------
  // Platform
  // ---------------------------------------------------------------------------------------------

  private CompletableFuture<Void> readList() {
    return platform
        .readInstances()
        .whenComplete((list, failure) -> countFailure(failure))
        .thenCompose(list -> run(() -> core.onInstanceList(list.asOfMillis(), list.instances())));
  }

  private CompletableFuture<Void> readNotices() {
    return platform
        .readNotices(noticeSequence)
        .whenComplete((page, failure) -> countFailure(failure))
        .thenCompose(page -> run(() -> takeNotices(page)));
  }

  private void takeNotices(PlatformReader.NoticePage page) {
    for (PlatformReader.Notice notice : page.notices()) {
      core.onReclaimNotice(notice.instanceId(), notice.endsAtMillis());
    }
    noticeSequence = Math.max(noticeSequence, page.next());
  }

  private void countFailure(Throwable failure) {
    if (failure != null) {
      metrics.recordPlatformFailure();
      logger.atWarn().addKeyValue("error", failure.toString()).log("platform did not answer");
    }
  }
}
