package org.heatherspread.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.actor.typed.ActorSystem;
import org.heatherspread.core.config.ConfigurationLog;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.ReadinessPolicy;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.MembershipSettings;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.model.InstanceState;
import org.heatherspread.core.model.Market;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.address.AddressComponent;
import org.heatherspread.daemon.chat.ChatComponent;
import org.heatherspread.daemon.config.ConfigurationCodec;
import org.heatherspread.daemon.config.ConfigurationComponent;
import org.heatherspread.daemon.control.OperatorComponentFactory;
import org.heatherspread.daemon.control.ReconciliationComponent;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.http.AccountAuth;
import org.heatherspread.daemon.http.HealthComponent;
import org.heatherspread.daemon.http.ProblemAnswers;
import org.heatherspread.daemon.http.ReadinessGate;
import org.heatherspread.daemon.limit.SharedLimitAdmission;
import org.heatherspread.daemon.membership.HttpEndpointProber;
import org.heatherspread.daemon.membership.MembershipComponent;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.daemon.permit.PermitService;
import org.heatherspread.daemon.plain.PlainComponent;
import org.heatherspread.daemon.platform.PlatformClients;
import org.heatherspread.daemon.poison.PoisonGuard;
import org.heatherspread.daemon.record.RecordsComponent;
import org.heatherspread.daemon.routing.CostSelector;
import org.heatherspread.daemon.routing.EndpointSelector;
import org.heatherspread.daemon.routing.EndpointTelemetry;
import org.heatherspread.daemon.security.PeerCredentials;
import org.heatherspread.daemon.settings.DaemonFile;

/**
 * Builds the parts of one daemon in the order of their dependencies.
 *
 * <p>Confined to the thread that starts the daemon; the parts are safe for use by any thread.
 */
final class DaemonAssembly {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  private final DaemonFile file;
  private final ActorSystem<Void> system;
  private final PrometheusMeterRegistry meters;
  private final ProblemAnswers problems;
  private final PlatformClients platform;
  private final PeerCredentials credentials;
  private final PeerChannels channels;
  private final MonotonicClock clock = MonotonicClock.system();
  private final InstantSource wallClock = InstantSource.system();
  private final AtomicBoolean draining = new AtomicBoolean();
  private ConfigurationComponent configuration;
  private DaemonContext context;
  private final List<DaemonComponent> components = new ArrayList<>();

  private DaemonAssembly(DaemonFile file, ActorSystem<Void> system) throws IOException {
    this.file = file;
    this.system = system;
    meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    problems = ProblemAnswers.create(meters);
    credentials = PeerCredentials.load(file.peerTls());
    channels = PeerChannels.create(credentials);
    platform = PlatformClients.create(file.platform(), meters);
  }

  /**
   * Builds all parts.
   *
   * @param stop starts the planned stop of the daemon
   */
  static DaemonAssembly create(DaemonFile file, ActorSystem<Void> system, Runnable stop)
      throws IOException {
    DaemonAssembly assembly = new DaemonAssembly(file, system);
    assembly.build(stop);
    return assembly;
  }

  /** Returns the components in the order in which they start. */
  List<DaemonComponent> components() {
    return List.copyOf(components);
  }

  /** Returns the keys with which daemons authenticate each other. */
  PeerCredentials credentials() {
    return credentials;
  }

  /** Returns what turns failures into answers. */
  ProblemAnswers problems() {
    return problems;
  }

  /** Returns the gate that refuses new work while the daemon is not ready. */
  ReadinessGate gate() {
    return ReadinessGate.create(
        configuration::notReadyReason, () -> draining.get() || noticeLeft().isPresent(), problems);
  }

  /** Returns the time left to this daemon's instance if it is under notice. */
  Optional<Duration> noticeLeft() {
    return context
        .membership()
        .get()
        .member(context.self().id())
        .filter(self -> self.health() == Health.LEAVING)
        .map(self -> left(self.instance()));
  }

  private Duration left(Instance self) {
    long now = wallClock.millis();
    return Duration.ofMillis(Math.max(0, self.leavingAtMillis().orElse(now) - now));
  }

  /** From now on the daemon tells that it is not ready. */
  void markDraining() {
    draining.set(true);
  }

  /** Closes the connections to other daemons and to the platform. */
  void close() {
    channels.close();
    platform.close();
  }

  // ---------------------------------------------------------------------------------------------
  // Parts
  // ---------------------------------------------------------------------------------------------

  private void build(Runnable stop) {
    Instance self = self();
    CurrentConfiguration inForce = CurrentConfiguration.create();
    MembershipComponent membership = membership(self, inForce);
    ConfigurationLog log =
        ConfigurationLog.create(
            platform.store(),
            ConfigurationCodec.shared(),
            wallClock,
            OperatorComponentFactory::randomId);
    configuration =
        ConfigurationComponent.create(
            log,
            inForce,
            ReadinessPolicy.defaults(),
            membership,
            membership::timeSinceLastMessage,
            clock,
            new SplittableRandom(),
            meters);
    context =
        new DaemonContext(
            self,
            system,
            meters,
            clock,
            wallClock,
            membership,
            configuration,
            membership,
            platform.store(),
            channels);
    ReconciliationComponent reconciliation = ReconciliationComponent.create(context, file.orders());
    components.add(membership);
    components.add(configuration);
    components.add(reconciliation);
    components.add(
        OperatorComponentFactory.create(
            context,
            file.operators(),
            log,
            inForce,
            membership.client(),
            reconciliation::heldLeaseNames,
            this::notReady,
            stop,
            problems));
    addServing(context);
    components.add(
        HealthComponent.create(
            meters, List.of(this::drainingReason, configuration::notReadyReason)));
  }

  private MembershipComponent membership(Instance self, CurrentConfiguration inForce) {
    return MembershipComponent.create(
        self,
        MembershipSettings.defaults(),
        inForce,
        ConfigurationCodec.shared(),
        platform,
        HttpEndpointProber.create(system, PROBE_TIMEOUT),
        channels,
        clock,
        wallClock,
        new SplittableRandom(),
        meters);
  }

  private void addServing(DaemonContext context) {
    AccountAuth accounts = AccountAuth.create(context.configuration());
    EndpointTelemetry telemetry = EndpointTelemetry.create(context, file.routing());
    components.add(telemetry);
    EndpointSelector selector = CostSelector.create(context, file.routing(), telemetry);
    SharedLimitAdmission admission =
        SharedLimitAdmission.create(context, file.limits(), telemetry::expectedWait);
    components.add(admission);
    RecordsComponent records =
        RecordsComponent.create(context, file.records(), file.permits().lifetime());
    PermitService permits = PermitService.create(context, file.permits());
    PoisonGuard guard = PoisonGuard.create(context, file.poison());
    components.add(guard);
    components.add(records);
    components.add(
        ChatComponent.create(
            context,
            file.chat(),
            accounts,
            problems,
            EngineClient.create(system, file.engines()),
            guard.guarding(selector),
            admission,
            records.streams()));
    components.add(
        PlainComponent.create(
            context,
            file.plain(),
            file.records().maxDispatchDelay(),
            records,
            permits,
            selector,
            guard,
            admission,
            accounts,
            problems));
    components.add(AddressComponent.create(context, file.addresses(), permits, accounts, problems));
  }

  private Instance self() {
    return new Instance(
        file.daemon().id(),
        wallClock.millis(),
        InstanceKind.DAEMON,
        "",
        file.daemon().domain(),
        file.daemon().host(),
        file.daemon().httpPort(),
        file.daemon().peerPort(),
        "",
        Market.RECLAIMABLE,
        0,
        InstanceState.LIVE,
        Optional.empty());
  }

  private Optional<String> drainingReason() {
    return draining.get() ? Optional.of("the daemon is leaving") : Optional.empty();
  }

  private Optional<String> notReady() {
    Optional<String> reason = drainingReason();
    return reason.isPresent() ? reason : configuration.notReadyReason();
  }
}
