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
import org.heatherspread.daemon.control.ControlFactory;
import org.heatherspread.daemon.control.OrderComponent;
import org.heatherspread.daemon.engine.EngineClient;
import org.heatherspread.daemon.http.AccountAuthenticator;
import org.heatherspread.daemon.http.HealthComponent;
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.http.ReadinessGate;
import org.heatherspread.daemon.limit.SharedAdmission;
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
 * Builds the parts of one daemon in the order of their dependencies.
 *
 * <p>Confined to the thread that starts the daemon; the parts are safe for use by any thread.
 */
final class DaemonAssembly {
  private static final Duration PROBE_TIMEOUT = Duration.ofSeconds(1);

  private final DaemonSettingsFile file;
  private final ActorSystem<Void> system;
  private final PrometheusMeterRegistry meters;
  private final ProblemResponses problems;
  private final PlatformClients platform;
  private final PeerCredentials credentials;
  private final PeerChannels channels;
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
    channels = PeerChannels.create(credentials);
    platform = PlatformClients.create(file.platform(), meters);
  }

  /**
   * Builds all parts.
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

  /** Returns the keys with which daemons authenticate each other. */
  PeerCredentials credentials() {
    return credentials;
  }

  /** Returns what turns failures into answers. */
  ProblemResponses problems() {
    return problems;
  }

  /** Returns the gate that refuses new work while the daemon is not ready. */
  ReadinessGate readinessGate() {
    return ReadinessGate.create(
        configuration::notReadyBecause,
        () -> draining.get() || remainingNotice().isPresent(),
        problems);
  }

  /** Returns the time left to this daemon's instance if it is under notice. */
  Optional<Duration> remainingNotice() {
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
            platform.store(), ConfigurationCodec.shared(), wallClock, ControlFactory::randomId);
    configuration =
        ConfigurationComponent.create(
            log,
            inForce,
            ReadinessPolicy.defaults(),
            membership,
            membership::silence,
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
    OrderComponent orders = OrderComponent.create(context, file.orders());
    components.add(membership);
    components.add(configuration);
    components.add(orders);
    components.add(
        ControlFactory.create(
            context,
            file.operators(),
            log,
            inForce,
            membership.calls(),
            orders::leaseNames,
            this::notReady,
            stop,
            problems));
    addServing(context);
    components.add(
        HealthComponent.create(
            meters, List.of(this::drainingReason, configuration::notReadyBecause)));
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
    AccountAuthenticator accounts = AccountAuthenticator.create(context.configuration());
    EndpointTelemetry telemetry = EndpointTelemetry.create(context, file.routing());
    components.add(telemetry);
    EndpointSelector selector = CostSelector.create(context, file.routing(), telemetry);
    SharedAdmission admission =
        SharedAdmission.create(context, file.limits(), telemetry::expectedWait);
    components.add(admission);
    RecordsComponent records =
        RecordsComponent.create(context, file.records(), file.permits().lifetime());
    PermitService permits = PermitService.create(context, file.permits());
    PoisonFilterComponent guard = PoisonFilterComponent.create(context, file.poison());
    components.add(guard);
    components.add(records);
    components.add(
        ChatComponent.create(
            context,
            file.chat(),
            accounts,
            problems,
            EngineClient.create(system, file.engines()),
            guard.wrap(selector),
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
    return reason.isPresent() ? reason : configuration.notReadyBecause();
  }
}
