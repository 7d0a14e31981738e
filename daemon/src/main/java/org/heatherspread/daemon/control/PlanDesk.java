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
 * Makes, keeps and confirms plans. Any daemon can do each step, since plans lie in the table
 * service.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class PlanDesk {
  private static final Logger logger = LoggerFactory.getLogger(PlanDesk.class);
  private static final Duration VALIDITY = Duration.ofMinutes(30);
  private static final int SNAPSHOT_INTERVAL = 64;

  private final ConfigurationLog log;
  private final CurrentConfiguration inForce;
  private final Supplier<MembershipSnapshot> membership;
  private final InForceCheck check;
  private final InstantSource clock;
  private final Supplier<String> ids;
  private final MeterRegistry meters;

  PlanDesk(
      ConfigurationLog log,
      CurrentConfiguration inForce,
      Supplier<MembershipSnapshot> membership,
      InForceCheck check,
      InstantSource clock,
      Supplier<String> ids,
      MeterRegistry meters) {
    this.log = log;
    this.inForce = inForce;
    this.membership = membership;
    this.check = check;
    this.clock = clock;
    this.ids = ids;
    this.meters = meters;
  }

  /** Makes a plan against the head of the log, and keeps it. */
  CompletableFuture<Plan> plan(Intent intent, String operator) {
    return catchUp()
        .thenCompose(
            base -> {
              Planner planner = Planner.create(base, membership.get());
              return log.savePlan(
                  planner.plan(intent, ids.get(), operator, clock.millis(), VALIDITY));
            });
  }

  private CompletableFuture<Configuration> catchUp() {
    if (!inForce.isInitialized()) {
      return log.readHead()
          .thenApply(
              head -> {
                inForce.offer(head);
                return inForce.get();
              });
    }
    return log.readAfter(inForce.get().version())
        .thenApply(
            entries -> {
              inForce.offer(entries);
              return inForce.get();
            });
  }

  /** Finds a plan; fails with kind {@code NOT_FOUND}. */
  CompletableFuture<Plan> find(String id) {
    return log.readPlan(id)
        .thenApply(
            found ->
                found.orElseThrow(
                    () -> ServingException.of(ErrorKind.NOT_FOUND, "there is no plan " + id)));
  }

  /** Confirms a plan and waits until its version is in force, or the time is up. */
  CompletableFuture<Confirmation> confirm(String id, String operator, Duration wait) {
    return find(id)
        .thenCompose(plan -> log.confirm(plan, operator))
        .whenComplete((entry, failure) -> count(id, operator, failure))
        .thenCompose(entry -> afterCommit(entry, wait));
  }

  private CompletableFuture<Confirmation> afterCommit(LogEntry entry, Duration wait) {
    return catchUp()
        .handle((head, failure) -> inForce.offer(List.of(entry)))
        .thenCompose(
            nothing -> {
              keepSnapshot(entry.version());
              return check.missing(entry.version(), wait);
            })
        .thenApply(
            missing ->
                new Confirmation(
                    "committed", entry.planId(), entry.version(), missing.isEmpty(), missing));
  }

  private void keepSnapshot(long version) {
    if (version % SNAPSHOT_INTERVAL != 0) {
      return;
    }
    log.writeSnapshot(inForce.get())
        .exceptionally(
            failure -> {
              logger.atWarn().addKeyValue("error", failure.toString()).log("snapshot not kept");
              return null;
            });
  }

  private void count(String id, String operator, Throwable failure) {
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
   * The answer to a confirmation. Immutable.
   *
   * @param result always {@code committed}; anything else is an error
   * @param planId the plan
   * @param version the version it made
   * @param inForce whether every daemon that is not known dead has the version in force
   * @param missing ids of the daemons that have not reported it
   */
  record Confirmation(
      String result, String planId, long version, boolean inForce, List<String> missing) {
    Confirmation {
      missing = List.copyOf(missing);
    }
  }
}
