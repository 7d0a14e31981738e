package org.heatherspread.daemon.control;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ConfigurationLog;
import org.heatherspread.core.config.CurrentConfiguration;
import org.heatherspread.core.config.Intent;
import org.heatherspread.core.config.LogEntry;
import org.heatherspread.core.config.Plan;
import org.heatherspread.core.config.Planner;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.daemon.http.ProblemResponses;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Creates, stores and confirms plans. Each step can run at a different daemon, as plans are stored
 * in the table service.
 *
 * <p>Immutable and thread-safe.
 */
final class PlanService {
  private static final Logger logger = LoggerFactory.getLogger(PlanService.class);
  private static final Duration PLAN_VALIDITY = Duration.ofMinutes(30);
  private static final int SNAPSHOT_INTERVAL_VERSIONS = 64;

  private final ConfigurationLog log;
  private final CurrentConfiguration currentConfiguration;
  private final Supplier<MembershipSnapshot> membership;
  private final RolloutMonitor rollouts;
  private final InstantSource clock;
  private final Supplier<String> planIds;
  private final MeterRegistry meters;

  PlanService(
      ConfigurationLog log,
      CurrentConfiguration currentConfiguration,
      Supplier<MembershipSnapshot> membership,
      RolloutMonitor rollouts,
      InstantSource clock,
      Supplier<String> planIds,
      MeterRegistry meters) {
    this.log = log;
    this.currentConfiguration = currentConfiguration;
    this.membership = membership;
    this.rollouts = rollouts;
    this.clock = clock;
    this.planIds = planIds;
    this.meters = meters;
  }

  /** Creates a plan based on the latest version in the log, and stores it. */
  CompletableFuture<Plan> create(Intent intent, String operator) {
    return refreshConfiguration()
        .thenCompose(
            base -> {
              Planner planner = Planner.create(base, membership.get());
              return log.savePlan(
                  planner.plan(intent, planIds.get(), operator, clock.millis(), PLAN_VALIDITY));
            });
  }

  private CompletableFuture<Configuration> refreshConfiguration() {
    if (!currentConfiguration.isInitialized()) {
      return log.readHead()
          .thenApply(
              head -> {
                currentConfiguration.offer(head);
                return currentConfiguration.get();
              });
    }
    return log.readAfter(currentConfiguration.get().version())
        .thenApply(
            entries -> {
              currentConfiguration.offer(entries);
              return currentConfiguration.get();
            });
  }

  /** Reads a plan; fails with kind {@code NOT_FOUND} if it does not exist. */
  CompletableFuture<Plan> find(String id) {
    return log.readPlan(id)
        .thenApply(
            found ->
                found.orElseThrow(
                    () -> ServingException.of(ErrorKind.NOT_FOUND, "there is no plan " + id)));
  }

  /** Confirms a plan and waits until all daemons have applied its version, or until the timeout. */
  CompletableFuture<Confirmation> confirm(String id, String operator, Duration wait) {
    return find(id)
        .thenCompose(plan -> log.confirm(plan, operator))
        .whenComplete((entry, failure) -> recordConfirmation(id, operator, failure))
        .thenCompose(entry -> afterCommit(entry, wait));
  }

  private CompletableFuture<Confirmation> afterCommit(LogEntry entry, Duration wait) {
    return refreshConfiguration()
        .handle((head, failure) -> currentConfiguration.offer(List.of(entry)))
        .thenCompose(
            unused -> {
              writeSnapshotIfDue(entry.version());
              return rollouts.awaitRollout(entry.version(), wait);
            })
        .thenApply(
            missing ->
                new Confirmation(
                    "committed", entry.planId(), entry.version(), missing.isEmpty(), missing));
  }

  private void writeSnapshotIfDue(long version) {
    if (version % SNAPSHOT_INTERVAL_VERSIONS != 0) {
      return;
    }
    log.writeSnapshot(currentConfiguration.get())
        .exceptionally(
            failure -> {
              logger
                  .atWarn()
                  .addKeyValue("error", failure.toString())
                  .log("snapshot of the configuration could not be written");
              return null;
            });
  }

  private void recordConfirmation(String id, String operator, Throwable failure) {
    String result = failure == null ? "committed" : ProblemResponses.unwrap(failure).kind().code();
    Counter.builder("heatherspread.config.confirmations")
        .description("Confirmations of plans by result")
        .tag("result", result)
        .register(meters)
        .increment();
    logger
        .atInfo()
        .addKeyValue("plan_id", id)
        .addKeyValue("operator", operator)
        .addKeyValue("result", result)
        .log("plan confirmation");
  }

  /**
   * The response to a confirmation. Immutable.
   *
   * @param result always {@code committed}; failures are reported as errors
   * @param planId id of the plan
   * @param version configuration version that the plan created
   * @param inForce whether all daemons that are not dead have applied the version
   * @param missing ids of the daemons that have not reported the version
   */
  record Confirmation(
      String result, String planId, long version, boolean inForce, List<String> missing) {
    Confirmation {
      missing = List.copyOf(missing);
    }
  }
}
