package org.heatherspread.daemon;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import io.grpc.BindableService;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.server.Route;
import org.heatherspread.daemon.http.HttpFrontend;
import org.heatherspread.daemon.http.ReadinessGate;
import org.heatherspread.daemon.peer.PeerServer;
import org.heatherspread.daemon.security.PeerCredentials;
import org.heatherspread.daemon.settings.DaemonSettingsFile;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one daemon: starts its components and servers, and stops them in order. Life cycle: {@link
 * #start} once, {@link #stop} once.
 *
 * <p>Safe for use by any thread.
 */
public final class DaemonRuntime {
  private static final Logger logger = LoggerFactory.getLogger(DaemonRuntime.class);
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration NOTICE_CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration NOTICE_MARGIN = Duration.ofMillis(1_000);

  private final DaemonSettingsFile file;
  private final ActorSystem<Void> system;
  private final DaemonAssembly assembly;
  private final PeerServer peerServer;
  private final ServerBinding binding;
  private final AtomicBoolean stopping = new AtomicBoolean();

  private DaemonRuntime(
      DaemonSettingsFile file,
      ActorSystem<Void> system,
      DaemonAssembly assembly,
      PeerServer peerServer,
      ServerBinding binding) {
    this.file = file;
    this.system = system;
    this.assembly = assembly;
    this.peerServer = peerServer;
    this.binding = binding;
  }

  /** Starts a daemon and returns once it accepts connections. */
  public static DaemonRuntime start(DaemonSettingsFile file) throws IOException {
    ActorSystem<Void> system =
        ActorSystem.create(Behaviors.empty(), "heatherspread", actorConfig(file));
    DaemonAssembly assembly =
        DaemonAssembly.create(file, system, () -> new Thread(DaemonRuntime::exit, "stop").start());
    List<DaemonComponent> components = assembly.components();
    components.forEach(DaemonComponent::start);
    PeerServer peerServer = startPeerServer(file, components, assembly.credentials());
    ServerBinding binding = bind(file, system, assembly);
    DaemonRuntime runtime = new DaemonRuntime(file, system, assembly, peerServer, binding);
    runtime.scheduleNoticeChecks();
    return runtime;
  }

  /** Exits the process; its shutdown hook drains the daemon. */
  private static void exit() {
    System.exit(0);
  }

  /** Schedules a check that stops the daemon once its instance is under notice. */
  private void scheduleNoticeChecks() {
    system
        .scheduler()
        .scheduleAtFixedRate(
            NOTICE_CHECK_INTERVAL,
            NOTICE_CHECK_INTERVAL,
            this::checkNotice,
            system.executionContext());
  }

  private void checkNotice() {
    if (assembly.remainingNotice().isPresent() && stopping.compareAndSet(false, true)) {
      logger.atInfo().log("instance is under notice; stopping the daemon");
      new Thread(DaemonRuntime::exit, "stop").start();
    }
  }

  private static Config actorConfig(DaemonSettingsFile file) {
    Config actorDefaults =
        ConfigFactory.parseString(
            """
            pekko.loggers = ["org.apache.pekko.event.slf4j.Slf4jLogger"]
            pekko.logging-filter = "org.apache.pekko.event.slf4j.Slf4jLoggingFilter"
            pekko.loglevel = WARNING
            pekko.coordinated-shutdown.run-by-jvm-shutdown-hook = off
            pekko.actor.default-dispatcher.fork-join-executor.parallelism-min = 2
            pekko.actor.default-dispatcher.fork-join-executor.parallelism-max = 2
            """);
    return HttpFrontend.serverConfig(file.http())
        .withFallback(actorDefaults)
        .withFallback(defaults());
  }

  private static Config defaults() {
    return ConfigFactory.load();
  }

  private static PeerServer startPeerServer(
      DaemonSettingsFile file, List<DaemonComponent> components, PeerCredentials credentials)
      throws IOException {
    List<BindableService> services = new ArrayList<>();
    components.forEach(component -> services.addAll(component.peerServices()));
    return PeerServer.start(
        file.daemon().host(), file.daemon().peerPort(), services, List.of(), credentials);
  }

  private static ServerBinding bind(
      DaemonSettingsFile file, ActorSystem<Void> system, DaemonAssembly assembly)
      throws IOException {
    ReadinessGate readinessGate = assembly.readinessGate();
    List<Route> routes = new ArrayList<>();
    for (DaemonComponent component : assembly.components()) {
      component.routes().map(readinessGate::guard).ifPresent(routes::add);
    }
    try {
      return HttpFrontend.bind(
              system, file.daemon().host(), file.daemon().httpPort(), routes, assembly.problems())
          .toCompletableFuture()
          .get(START_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IOException("HTTP port cannot be bound", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while binding the HTTP port", e);
    }
  }

  /** Drains the components, then stops the servers; returns once all have stopped. */
  public void stop() {
    stopping.set(true);
    Duration timeLimit = drainTimeLimit();
    logger.atInfo().addKeyValue("bound_ms", timeLimit.toMillis()).log("draining");
    assembly.markDraining();
    List<DaemonComponent> components = assembly.components();
    CompletableFuture<?>[] drains =
        components.stream().map(c -> c.drain(timeLimit)).toArray(CompletableFuture[]::new);
    await(
        CompletableFuture.allOf(drains),
        timeLimit,
        "work in progress did not end within the drain time limit");
    await(
        HttpFrontend.stop(binding, CLOSE_TIMEOUT).toCompletableFuture(),
        CLOSE_TIMEOUT,
        "HTTP server did not stop within the time limit");
    peerServer.close();
    components.forEach(DaemonComponent::close);
    assembly.close();
    system.terminate();
    logger.atInfo().log("daemon stopped");
  }

  /** Returns the time limit of a drain, which must end before the instance does. */
  private Duration drainTimeLimit() {
    Duration configured = file.daemon().drainTimeout();
    Duration remaining =
        assembly.remainingNotice().map(d -> d.minus(NOTICE_MARGIN)).orElse(configured);
    Duration available = remaining.compareTo(NOTICE_MARGIN) < 0 ? NOTICE_MARGIN : remaining;
    return available.compareTo(configured) < 0 ? available : configured;
  }

  private static void await(CompletableFuture<?> work, Duration timeLimit, String failure) {
    try {
      work.get(timeLimit.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException e) {
      logger.atWarn().setCause(e).log(failure);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
