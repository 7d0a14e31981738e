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
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.HealthComponent;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.http.ReadinessGate;
import org.heatherspread.daemon.limit.SharedLimitAdmission;
import org.heatherspread.daemon.membership.HttpEndpointProber;
import org.heatherspread.daemon.membership.MembershipComponent;
import org.heatherspread.daemon.peer.PeerChannels;
import org.heatherspread.daemon.permit.PermitService;
import org.heatherspread.daemon.plain.PlainComponent;
import org.heatherspread.daemon.platform.PlatformClients;
import org.heatherspread.daemon.poison.PoisonFilterComponent;
import org.heatherspread.daemon.record.RecordsComponent;
import org.heatherspread.daemon.routing.CostSelector;
import org.heatherspread.daemon.routing.EndpointSelector;
import org.heatherspread.daemon.routing.EndpointTelemetry;
import org.heatherspread.daemon.security.PeerCredentials;
import org.heatherspread.daemon.settings.DaemonSettingsFile;

/**
 * Creates and connects the components of one daemon in the order of their dependencies.
 *
 * <p>Confined to the thread that starts the daemon; the components are safe for use by any thread.
 */
final class DaemonAssembly {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  private final DaemonSettingsFile file;
  private final ActorSystem<Void> system;
  private final PrometheusMeterRegistry meters;
  private final ProblemResponses problems;
  private final PlatformClients platform;
  private final PeerCredentials credentials;
  private final PeerChannels peerChannels;
  private final MonotonicClock clock = MonotonicClock.system();
  private final InstantSource wallClock = InstantSource.system();
  private final AtomicBoolean draining = new AtomicBoolean();
  private ConfigurationComponent configuration;
  private DaemonContext context;
  private final List<DaemonComponent> components = new ArrayList<>();

  private DaemonAssembly(DaemonSettingsFile file, ActorSystem<Void> system) throws IOException {
    this.file = file;
    this.system = system;
    meters = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    problems = ProblemResponses.create(meters);
    credentials = PeerCredentials.load(file.peerTls());
    peerChannels = PeerChannels.create(credentials);
    platform = PlatformClients.create(file.platform(), meters);
  }

  /**
   * Creates all components.
   *
   * @param stop starts the planned stop of the daemon
   */
  static DaemonAssembly create(DaemonSettingsFile file, ActorSystem<Void> system, Runnable stop)
      throws IOException {
    DaemonAssembly assembly = new DaemonAssembly(file, system);
    assembly.build(stop);
    return assembly;
  }

  /** Returns the components in the order in which they start. */
  List<DaemonComponent> components() {
    return List.copyOf(components);
  }

  /** Returns the credentials for calls between daemons. */
  PeerCredentials credentials() {
    return credentials;
  }

  /** Returns the converter that turns failures into responses. */
  ProblemResponses problems() {
    return problems;
  }

  /** Returns the gate that refuses new requests while the daemon is not ready. */
  ReadinessGate readinessGate() {
    return ReadinessGate.create(
        configuration::notReadyReason,
        () -> draining.get() || remainingNotice().isPresent(),
        problems);
  }

  /** Returns the time until the end of this instance if it is under notice. */
  Optional<Duration> remainingNotice() {
    return context
        .membership()
        .get()
        .member(context.self().id())
        .filter(self -> self.health() == Health.LEAVING)
        .map(self -> timeUntilEnd(self.instance()));
  }

  private Duration timeUntilEnd(Instance self) {
    long now = wallClock.millis();
    return Duration.ofMillis(Math.max(0, self.leavingAtMillis().orElse(now) - now));
  }

  /** Makes the daemon report that it is not ready. */
  void markDraining() {
    draining.set(true);
  }

  /** Closes the connections to other daemons and to the platform. */
  void close() {
    peerChannels.close();
    platform.close();
  }

  private void build(Runnable stop) {
    Instance self = createSelf();
    CurrentConfiguration currentConfiguration = CurrentConfiguration.create();
    MembershipComponent membership = createMembership(self, currentConfiguration);
    ConfigurationLog log =
        ConfigurationLog.create(
            platform.store(),
            ConfigurationCodec.shared(),
            wallClock,
            OperatorComponentFactory::randomId);
    configuration =
        ConfigurationComponent.create(
            log,
            currentConfiguration,
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
            peerChannels);
    ReconciliationComponent reconciliation = ReconciliationComponent.create(context, file.orders());
    components.add(membership);
    components.add(configuration);
    components.add(reconciliation);
    components.add(
        OperatorComponentFactory.create(
            context,
            file.operators(),
            log,
            currentConfiguration,
            membership.client(),
            reconciliation::heldLeaseNames,
            this::notReadyReason,
            stop,
            problems));
    addServingComponents(context);
    components.add(
        HealthComponent.create(
            meters, List.of(this::drainingReason, configuration::notReadyReason)));
  }

  private MembershipComponent createMembership(
      Instance self, CurrentConfiguration currentConfiguration) {
    return MembershipComponent.create(
        self,
        MembershipSettings.defaults(),
        currentConfiguration,
        ConfigurationCodec.shared(),
        platform,
        HttpEndpointProber.create(system, PROBE_TIMEOUT),
        peerChannels,
        clock,
        wallClock,
        new SplittableRandom(),
        meters);
  }

  private void addServingComponents(DaemonContext context) {
    AccountAuthenticator accounts = AccountAuthenticator.create(context.configuration());
    EndpointTelemetry telemetry = EndpointTelemetry.create(context, file.routing());
    components.add(telemetry);
    EndpointSelector selector = CostSelector.create(context, file.routing(), telemetry);
    SharedLimitAdmission admission =
        SharedLimitAdmission.create(context, file.limits(), telemetry::expectedWait);
    components.add(admission);
    RecordsComponent records =
        RecordsComponent.create(context, file.records(), file.permits().lifetime());
    PermitService permits = PermitService.create(context, file.permits());
    PoisonFilterComponent poisonFilter = PoisonFilterComponent.create(context, file.poison());
    components.add(poisonFilter);
    components.add(records);
    components.add(
        ChatComponent.create(
            context,
            file.chat(),
            accounts,
            problems,
            EngineClient.create(system, file.engines()),
            poisonFilter.wrap(selector),
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
            poisonFilter,
            admission,
            accounts,
            problems));
    components.add(AddressComponent.create(context, file.addresses(), permits, accounts, problems));
  }

  private Instance createSelf() {
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

  private Optional<String> notReadyReason() {
    Optional<String> reason = drainingReason();
    return reason.isPresent() ? reason : configuration.notReadyReason();
  }
}
