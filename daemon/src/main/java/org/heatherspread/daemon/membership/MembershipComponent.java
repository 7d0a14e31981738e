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
 * Runs the {@link MembershipCore} in a single thread and performs its actions: sends messages over
 * gRPC, probes endpoints, and reads the instance list and the reclaim notices of the platform. Life
 * cycle: {@link #create}, {@link #start}, any number of calls, {@link #announceLeaving}, {@link
 * #close}.
 *
 * <p>Thread-safe. {@link #get} and {@link #entries} acquire no lock, and their results are at most
 * one flush interval old.
 */
public final class MembershipComponent
    implements DaemonComponent, Dissemination, Supplier<MembershipSnapshot> {
  private static final Logger logger = LoggerFactory.getLogger(MembershipComponent.class);
  private static final double FLEET_LIST_READS_PER_SECOND = 1;
  private static final double FLEET_NOTICE_READS_PER_SECOND = 8;
  private static final long SHUTDOWN_TIMEOUT_MILLIS = 200;

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
  private volatile int liveDaemonCount = 1;
  private volatile Duration timeSinceLastMessage = Duration.ZERO;
  private long lastNoticeSequence;

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
    scheduler = Executors.newSingleThreadScheduledExecutor(MembershipComponent::newThread);
    service = new MembershipService(self, this, client, codec, format, config, metrics);
    listPoller =
        new PlatformPoller(
            scheduler, random, FLEET_LIST_READS_PER_SECOND, () -> liveDaemonCount, this::readList);
    noticePoller =
        new PlatformPoller(
            scheduler,
            random,
            FLEET_NOTICE_READS_PER_SECOND,
            () -> liveDaemonCount,
            this::readNotices);
    registerGauges(meters);
  }

  /**
   * Creates the component of one daemon.
   *
   * @param config current configuration, which the exchange disseminates
   * @param random source of random targets and delays; used by one thread only
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

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "membership");
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
    Gauge.builder(
            "heatherspread.membership.silence",
            this,
            c -> c.timeSinceLastMessage.toMillis() / 1_000.0)
        .description("Seconds since any other daemon was heard")
        .register(meters);
  }

  private long count(Health health) {
    return snapshot.members().values().stream().filter(m -> m.health() == health).count();
  }

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

  /**
   * Announces to the other daemons that this daemon leaves. Completes when the first messages have
   * been handed to the transport.
   *
   * @param endsAtMillis time in milliseconds since the epoch at which this daemon stops
   */
  public CompletableFuture<Void> announceLeaving(long endsAtMillis) {
    return submit(
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
    submit(
        () -> {
          core.announceStopped();
          core.tick();
        });
    scheduler.shutdown();
    try {
      if (!scheduler.awaitTermination(SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
        scheduler.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public MembershipSnapshot get() {
    return snapshot;
  }

  /** Returns the time since the last message of another daemon; zero if none is known. */
  public Duration timeSinceLastMessage() {
    return timeSinceLastMessage;
  }

  /** Returns the client for calls to other daemons. */
  public MembershipClient client() {
    return client;
  }

  @Override
  public void publish(String topic, String key, byte[] value, Duration lifetime) {
    byte[] copy = value.clone();
    submit(() -> core.publish(topic, key, copy, lifetime));
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

  /** Processes a message of another daemon and completes with the reply. */
  CompletableFuture<ExchangeMessage> onRequest(ExchangeMessage request) {
    CompletableFuture<ExchangeMessage> reply = new CompletableFuture<>();
    submit(() -> reply.complete(core.onRequest(request)))
        .exceptionally(
            failure -> {
              reply.completeExceptionally(failure);
              return null;
            });
    return reply;
  }

  private CompletableFuture<Void> submit(Runnable event) {
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
      core.drainActions().forEach(this::perform);
      publishResults();
    } catch (RuntimeException e) {
      logger.atError().setCause(e).log("membership event could not be processed");
    }
    metrics.recordHandling(System.nanoTime() - start);
  }

  private void publishResults() {
    timeSinceLastMessage = core.timeSinceLastMessage();
    if (core.version() != snapshot.version()) {
      snapshot = core.snapshot();
      closeDeadConnections();
      liveDaemonCount = (int) snapshot.daemons().stream().filter(Member::takesNewWork).count();
    }
    for (SharedEntry entry : core.drainNewEntries()) {
      topics.put(entry.topic(), core.entries(entry.topic()));
      for (Consumer<SharedEntry> listener : listeners.getOrDefault(entry.topic(), List.of())) {
        notify(listener, entry);
      }
    }
  }

  /** Closes connections to daemons that are dead or no longer known. */
  private void closeDeadConnections() {
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
      logger
          .atError()
          .addKeyValue("topic", entry.topic())
          .setCause(e)
          .log("listener of shared entries failed");
    }
  }

  private void perform(MembershipAction action) {
    if (action instanceof MembershipAction.Send send) {
      send(send);
    } else if (action instanceof MembershipAction.IndirectProbe probe) {
      probeIndirectly(probe);
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
                submit(
                    () -> {
                      if (failure == null) {
                        core.onReply(send.to(), send.message(), reply);
                      } else {
                        metrics.recordExchangeFailure();
                        core.onPeerUnreachable(send.to());
                      }
                    }));
  }

  private void probeIndirectly(MembershipAction.IndirectProbe probe) {
    client
        .probe(probe.via(), probe.target())
        .thenAccept(
            answered -> {
              if (answered) {
                submit(() -> core.onIndirectProbeAnswered(probe.target().id()));
              }
            });
  }

  private void probeEndpoint(Instance endpoint) {
    prober
        .probe(endpoint)
        .whenComplete(
            (incarnation, failure) ->
                submit(
                    () -> {
                      if (failure == null) {
                        core.onEndpointAnswered(endpoint.id(), incarnation);
                      } else {
                        core.onEndpointFailed(endpoint.id());
                      }
                    }));
  }

  private CompletableFuture<Void> readList() {
    return platform
        .readInstances()
        .whenComplete((list, failure) -> recordPlatformFailure(failure))
        .thenCompose(
            list -> submit(() -> core.onInstanceList(list.asOfMillis(), list.instances())));
  }

  private CompletableFuture<Void> readNotices() {
    return platform
        .readNotices(lastNoticeSequence)
        .whenComplete((page, failure) -> recordPlatformFailure(failure))
        .thenCompose(page -> submit(() -> applyNotices(page)));
  }

  private void applyNotices(PlatformReader.NoticePage page) {
    for (PlatformReader.Notice notice : page.notices()) {
      core.onReclaimNotice(notice.instanceId(), notice.endsAtMillis());
    }
    lastNoticeSequence = Math.max(lastNoticeSequence, page.next());
  }

  private void recordPlatformFailure(Throwable failure) {
    if (failure != null) {
      metrics.recordPlatformFailure();
      logger
          .atWarn()
          .addKeyValue("error", failure.toString())
          .log("instance list or reclaim notices could not be read from the platform");
    }
  }
}
