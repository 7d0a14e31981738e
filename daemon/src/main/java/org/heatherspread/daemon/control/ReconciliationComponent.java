package org.heatherspread.daemon.control;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceKind;
import org.heatherspread.core.order.EndpointReconciler;
import org.heatherspread.core.order.EndpointState;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires leases and, for each lease that it holds, reconciles the engines of the service and
 * region with the model versions in the configuration. Life cycle: {@link #create}, {@link #start},
 * {@link #drain}, which releases the leases, {@link #close}.
 *
 * <p>Thread-safe; all decisions are made in a single thread.
 */
public final class ReconciliationComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(ReconciliationComponent.class);
  private static final long STEP_INTERVAL_MILLIS = 500;

  private final DaemonContext context;
  private final ReconciliationSettings settings;
  private final LeaseManager leases;
  private final EngineControlClient engineClient;
  private final Map<String, EndpointReconciler> reconcilers = new HashMap<>();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(ReconciliationComponent::newThread);
  private boolean draining;

  private ReconciliationComponent(DaemonContext context, ReconciliationSettings settings) {
    this.context = context;
    this.settings = settings;
    leases =
        LeaseManager.create(context.self(), settings.leases(), context.store(), context.clock());
    engineClient = new EngineControlClient(context.system(), settings.requestTimeout());
    Gauge.builder("heatherspread.leases.held", leases, m -> m.heldScopes().size())
        .description("Leases that this daemon holds")
        .register(context.meters());
  }

  /** Creates the component. */
  public static ReconciliationComponent create(
      DaemonContext context, ReconciliationSettings settings) {
    return new ReconciliationComponent(context, settings);
  }

  private static Thread newThread(Runnable task) {
    Thread thread = new Thread(task, "orders");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the leases, for use by other control tasks of the same services and regions. */
  public LeaseManager leaseManager() {
    return leases;
  }

  /** Returns the sorted names of the leases that this daemon holds, for the operator API. */
  public List<String> heldLeaseNames() {
    return leases.heldScopes().stream().map(LeaseManager.Scope::toString).sorted().toList();
  }

  @Override
  public void start() {
    scheduler.schedule(this::step, randomDelayMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    return CompletableFuture.runAsync(() -> draining = true, scheduler)
        .thenCompose(unused -> leases.releaseAll())
        .exceptionally(failure -> null);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  private static long randomDelayMillis() {
    return STEP_INTERVAL_MILLIS / 2 + ThreadLocalRandom.current().nextLong(STEP_INTERVAL_MILLIS);
  }

  private void step() {
    try {
      if (!draining && context.configuration().get().version() > 0) {
        leases.step(context.configuration().get(), context.membership().get());
        reconcileEndpoints();
      }
    } catch (RuntimeException e) {
      logger.atError().setCause(e).log("lease and reconciliation step failed");
    }
    if (!scheduler.isShutdown()) {
      scheduler.schedule(this::step, randomDelayMillis(), TimeUnit.MILLISECONDS);
    }
  }

  private void reconcileEndpoints() {
    Set<String> activeKeys = new HashSet<>();
    for (LeaseManager.Scope scope : leases.heldScopes()) {
      ServiceSpec service = context.configuration().get().services().get(scope.service());
      if (service == null || service.kind() != ServiceKind.MODEL) {
        continue;
      }
      for (Member member : context.membership().get().endpoints(scope.service())) {
        Instance engine = member.instance();
        boolean isInScope =
            engine.kind() == InstanceKind.ENGINE
                && member.takesNewWork()
                && engine.domain().region().equals(scope.region());
        if (isInScope) {
          String key = engine.id() + "#" + engine.incarnation();
          activeKeys.add(key);
          reconcile(scope, engine, reconcilers.computeIfAbsent(key, k -> newReconciler()));
        }
      }
    }
    reconcilers.keySet().retainAll(activeKeys);
  }

  private EndpointReconciler newReconciler() {
    return EndpointReconciler.create(
        settings.enginesCheckFencing(), settings.requestTimeout(), settings.readInterval());
  }

  private void reconcile(LeaseManager.Scope scope, Instance engine, EndpointReconciler reconciler) {
    LeaseClient lease = leases.findLease(scope.service(), scope.region()).orElse(null);
    if (lease == null) {
      return;
    }
    long now = context.clock().millis();
    if (reconciler.nextAction(lease.fencingToken(), lease.acquiredMillis(), now).isEmpty()) {
      return;
    }
    engineClient
        .fetchState(engine)
        .whenComplete(
            (state, failure) ->
                execute(() -> onStateRead(scope, engine, reconciler, state, failure)));
  }

  private void execute(Runnable task) {
    try {
      scheduler.execute(task);
    } catch (RejectedExecutionException e) {
      logger.atDebug().log("response of an engine ignored after shutdown");
    }
  }

  private void onStateRead(
      LeaseManager.Scope scope,
      Instance engine,
      EndpointReconciler reconciler,
      EndpointState state,
      Throwable failure) {
    long now = context.clock().millis();
    ServiceSpec service = context.configuration().get().services().get(scope.service());
    LeaseClient lease = leases.findLease(scope.service(), scope.region()).orElse(null);
    if (failure != null || service == null || lease == null) {
      recordResult(failure == null ? "lease_lost" : "read_failed");
      reconciler.onReadFailure(now);
      return;
    }
    reconciler
        .onStateRead(state, service, lease.fencingToken(), now)
        .ifPresent(
            action -> sendOrder(engine, lease, (EndpointReconciler.Action.SendOrder) action));
  }

  private void sendOrder(
      Instance engine, LeaseClient lease, EndpointReconciler.Action.SendOrder order) {
    logger
        .atInfo()
        .addKeyValue("endpoint", engine.id())
        .addKeyValue("fencing", order.fencing())
        .addKeyValue("models", order.desired().models().toString())
        .log("sending order to engine");
    engineClient
        .sendOrder(engine, order.fencing(), order.desired())
        .whenComplete(
            (accepted, failure) -> {
              if (failure != null) {
                recordResult("failed");
              } else if (accepted) {
                recordResult("accepted");
              } else {
                recordResult("stale");
                lease.invalidate();
              }
            });
  }

  private void recordResult(String result) {
    Counter.builder("heatherspread.orders")
        .description("Orders to endpoints by result")
        .tag("result", result)
        .register(context.meters())
        .increment();
  }
}
