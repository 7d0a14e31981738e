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
 * Holds leases and, for each one held, brings the engines of its service and region to the model
 * versions that the configuration asks for. Life cycle: {@link #create}, {@link #start}, {@link
 * #drain} (gives the leases up), {@link #close}.
 *
 * <p>Safe for use by any thread; all decisions are made by one.
 */
public final class ReconciliationComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(ReconciliationComponent.class);
  private static final long STEP_MILLIS = 500;

  private final DaemonContext context;
  private final ReconciliationSettings settings;
  private final LeaseManager leases;
  private final EngineControlClient engines;
  private final Map<String, EndpointReconciler> reconcilers = new HashMap<>();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(ReconciliationComponent::thread);
  private boolean draining;

  private ReconciliationComponent(DaemonContext context, ReconciliationSettings settings) {
    this.context = context;
    this.settings = settings;
    leases =
        LeaseManager.create(context.self(), settings.leases(), context.store(), context.clock());
    engines = new EngineControlClient(context.system(), settings.requestTimeout());
    Gauge.builder("heatherspread.leases.held", leases, b -> b.heldScopes().size())
        .description("Leases that this daemon holds")
        .register(context.meters());
  }

  /** Creates the component. */
  public static ReconciliationComponent create(
      DaemonContext context, ReconciliationSettings settings) {
    return new ReconciliationComponent(context, settings);
  }

  private static Thread thread(Runnable work) {
    Thread thread = new Thread(work, "orders");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the leases, for other control work of the same services and regions. */
  public LeaseManager leaseManager() {
    return leases;
  }

  /** Returns the names of the leases held, for operators. */
  public List<String> heldLeaseNames() {
    return leases.heldScopes().stream().map(LeaseManager.Scope::toString).sorted().toList();
  }

  // ---------------------------------------------------------------------------------------------
  // Life cycle
  // ---------------------------------------------------------------------------------------------

  @Override
  public void start() {
    scheduler.schedule(this::step, jitterMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public CompletableFuture<Void> drain(Duration bound) {
    return CompletableFuture.runAsync(() -> draining = true, scheduler)
        .thenCompose(nothing -> leases.releaseAll())
        .exceptionally(failure -> null);
  }

  @Override
  public void close() {
    scheduler.shutdownNow();
  }

  private static long jitterMillis() {
    return STEP_MILLIS / 2 + ThreadLocalRandom.current().nextLong(STEP_MILLIS);
  }

  private void step() {
    try {
      if (!draining && context.configuration().get().version() > 0) {
        leases.step(context.configuration().get(), context.membership().get());
        stepOrders();
      }
    } catch (RuntimeException e) {
      logger.atError().setCause(e).log("control step failed");
    }
    if (!scheduler.isShutdown()) {
      scheduler.schedule(this::step, jitterMillis(), TimeUnit.MILLISECONDS);
    }
  }

  // ---------------------------------------------------------------------------------------------
  // Orders
  // ---------------------------------------------------------------------------------------------

  private void stepOrders() {
    Set<String> used = new HashSet<>();
    for (LeaseManager.Scope scope : leases.heldScopes()) {
      ServiceSpec service = context.configuration().get().services().get(scope.service());
      if (service == null || service.kind() != ServiceKind.MODEL) {
        continue;
      }
      for (Member member : context.membership().get().endpoints(scope.service())) {
        Instance engine = member.instance();
        boolean ours =
            engine.kind() == InstanceKind.ENGINE
                && member.takesNewWork()
                && engine.domain().region().equals(scope.region());
        if (ours) {
          String name = engine.id() + "#" + engine.incarnation();
          used.add(name);
          stepEndpoint(scope, engine, reconcilers.computeIfAbsent(name, key -> newReconciler()));
        }
      }
    }
    reconcilers.keySet().retainAll(used);
  }

  private EndpointReconciler newReconciler() {
    return EndpointReconciler.create(
        settings.enginesCheckFencing(), settings.requestTimeout(), settings.readInterval());
  }

  private void stepEndpoint(
      LeaseManager.Scope scope, Instance engine, EndpointReconciler reconciler) {
    LeaseClient lease = leases.findLease(scope.service(), scope.region()).orElse(null);
    if (lease == null) {
      return;
    }
    long now = context.clock().millis();
    if (reconciler.nextAction(lease.fencingToken(), lease.acquiredMillis(), now).isEmpty()) {
      return;
    }
    engines
        .fetchState(engine)
        .whenComplete(
            (state, failure) -> later(() -> afterRead(scope, engine, reconciler, state, failure)));
  }

  private void later(Runnable work) {
    try {
      scheduler.execute(work);
    } catch (RejectedExecutionException e) {
      logger.atDebug().log("stopped while an engine answered");
    }
  }

  private void afterRead(
      LeaseManager.Scope scope,
      Instance engine,
      EndpointReconciler reconciler,
      EndpointState state,
      Throwable failure) {
    long now = context.clock().millis();
    ServiceSpec service = context.configuration().get().services().get(scope.service());
    LeaseClient lease = leases.findLease(scope.service(), scope.region()).orElse(null);
    if (failure != null || service == null || lease == null) {
      count(failure == null ? "lease_lost" : "read_failed");
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
        .log("giving an order");
    engines
        .sendOrder(engine, order.fencing(), order.desired())
        .whenComplete(
            (accepted, failure) -> {
              if (failure != null) {
                count("failed");
              } else if (accepted) {
                count("accepted");
              } else {
                count("stale");
                lease.invalidate();
              }
            });
  }

  private void count(String result) {
    Counter.builder("heatherspread.orders")
        .description("Orders to endpoints by result")
        .tag("result", result)
        .register(context.meters())
        .increment();
  }
}
