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
public final class OrderComponent implements DaemonComponent {
  private static final Logger logger = LoggerFactory.getLogger(OrderComponent.class);
  private static final long STEP_MILLIS = 500;

  private final DaemonContext context;
  private final OrderSettings settings;
  private final LeaseBoard board;
  private final EngineOrders engines;
  private final Map<String, EndpointReconciler> givers = new HashMap<>();
  private final ScheduledExecutorService scheduler =
      Executors.newSingleThreadScheduledExecutor(OrderComponent::thread);
  private boolean draining;

  private OrderComponent(DaemonContext context, OrderSettings settings) {
    this.context = context;
    this.settings = settings;
    board = LeaseBoard.create(context.self(), settings.leases(), context.store(), context.clock());
    engines = new EngineOrders(context.system(), settings.timeout());
    Gauge.builder("heatherspread.leases.held", board, b -> b.held().size())
        .description("Leases that this daemon holds")
        .register(context.meters());
  }

  /** Creates the component. */
  public static OrderComponent create(DaemonContext context, OrderSettings settings) {
    return new OrderComponent(context, settings);
  }

  private static Thread thread(Runnable work) {
    Thread thread = new Thread(work, "orders");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the leases, for other control work of the same services and regions. */
  public LeaseBoard leases() {
    return board;
  }

  /** Returns the names of the leases held, for operators. */
  public List<String> leaseNames() {
    return board.held().stream().map(LeaseBoard.Work::toString).sorted().toList();
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
        .thenCompose(nothing -> board.releaseAll())
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
        board.step(context.configuration().get(), context.membership().get());
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
    for (LeaseBoard.Work work : board.held()) {
      ServiceSpec service = context.configuration().get().services().get(work.service());
      if (service == null || service.kind() != ServiceKind.MODEL) {
        continue;
      }
      for (Member member : context.membership().get().endpoints(work.service())) {
        Instance engine = member.instance();
        boolean ours =
            engine.kind() == InstanceKind.ENGINE
                && member.takesNewWork()
                && engine.domain().region().equals(work.region());
        if (ours) {
          String name = engine.id() + "#" + engine.incarnation();
          used.add(name);
          stepEndpoint(work, engine, givers.computeIfAbsent(name, key -> newGiver()));
        }
      }
    }
    givers.keySet().retainAll(used);
  }

  private EndpointReconciler newGiver() {
    return EndpointReconciler.create(
        settings.checksFencing(), settings.timeout(), settings.readInterval());
  }

  private void stepEndpoint(LeaseBoard.Work work, Instance engine, EndpointReconciler giver) {
    LeaseClient keeper = board.keeper(work.service(), work.region()).orElse(null);
    if (keeper == null) {
      return;
    }
    long now = context.clock().millis();
    if (giver.nextAction(keeper.fencingToken(), keeper.acquiredMillis(), now).isEmpty()) {
      return;
    }
    engines
        .state(engine)
        .whenComplete(
            (state, failure) -> later(() -> afterRead(work, engine, giver, state, failure)));
  }

  private void later(Runnable work) {
    try {
      scheduler.execute(work);
    } catch (RejectedExecutionException e) {
      logger.atDebug().log("stopped while an engine answered");
    }
  }

  private void afterRead(
      LeaseBoard.Work work,
      Instance engine,
      EndpointReconciler giver,
      EndpointState state,
      Throwable failure) {
    long now = context.clock().millis();
    ServiceSpec service = context.configuration().get().services().get(work.service());
    LeaseClient keeper = board.keeper(work.service(), work.region()).orElse(null);
    if (failure != null || service == null || keeper == null) {
      count(failure == null ? "lease_lost" : "read_failed");
      giver.onReadFailure(now);
      return;
    }
    giver
        .onStateRead(state, service, keeper.fencingToken(), now)
        .ifPresent(action -> give(engine, keeper, (EndpointReconciler.Action.SendOrder) action));
  }

  private void give(
      Instance engine, LeaseClient keeper, EndpointReconciler.Action.SendOrder order) {
    logger
        .atInfo()
        .addKeyValue("endpoint", engine.id())
        .addKeyValue("fencing", order.fencing())
        .addKeyValue("models", order.desired().models().toString())
        .log("giving an order");
    engines
        .give(engine, order.fencing(), order.desired())
        .whenComplete(
            (accepted, failure) -> {
              if (failure != null) {
                count("failed");
              } else if (accepted) {
                count("accepted");
              } else {
                count("stale");
                keeper.invalidate();
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
