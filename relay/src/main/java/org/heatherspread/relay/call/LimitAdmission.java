package org.heatherspread.relay.call;

import java.net.ConnectException;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.limit.RateLimit;
import org.heatherspread.core.limit.SpendingDecision;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests under limits that all daemons share, either those of client accounts or those of
 * endpoints. The daemon that owns a limit decides; if it fails to, this daemon decides locally.
 * Confined to one event loop.
 */
public final class LimitAdmission {
  private static final Logger log = LoggerFactory.getLogger(LimitAdmission.class);

  /** Maximum number of limits that a log line names. */
  private static final int MAX_LOGGED_LIMITS = 30;

  /**
   * Time in which what was admitted in advance is collected into one report. The owner's processor
   * is scarcest when reports are most frequent, and requests to it carry them as well.
   */
  private static final long REPORT_DELAY_MILLIS = 1_000;

  private static final Decision ADMITTED_IN_ADVANCE =
      new Decision(OptionalDouble.empty(), false, "self");

  private final PartitionedLimiter limits;
  private final LimitOwnerClient ownerClient;
  private final LimitRefusalLog refusalLog;
  private final Optional<DelayedRunner> reportRunner;

  /** Limits of which a report is scheduled. */
  private final Set<String> scheduledReports = new HashSet<>();

  /** Runs actions later on the event loop. */
  public interface DelayedRunner {
    /** Runs an action after a time. */
    void runAfter(long millis, Runnable action);
  }

  private LimitAdmission(
      PartitionedLimiter limits,
      LimitOwnerClient ownerClient,
      LimitRefusalLog refusalLog,
      Optional<DelayedRunner> reportRunner) {
    this.limits = limits;
    this.ownerClient = ownerClient;
    this.refusalLog = refusalLog;
    this.reportRunner = reportRunner;
  }

  /**
   * Creates an admission control that does not log for whose sake requests are refused.
   *
   * @param limits limits of this daemon, which also decide locally
   * @param ownerClient client for the decisions of other daemons
   */
  public static LimitAdmission create(PartitionedLimiter limits, LimitOwnerClient ownerClient) {
    return new LimitAdmission(limits, ownerClient, LimitRefusalLog.none(), Optional.empty());
  }

  /**
   * Creates an admission control that admits small requests in advance, and reports them to the
   * owners of their limits.
   *
   * @param refusalLog tells for whose sake requests are refused
   * @param reportRunner runs reports
   */
  public static LimitAdmission create(
      PartitionedLimiter limits,
      LimitOwnerClient ownerClient,
      LimitRefusalLog refusalLog,
      DelayedRunner reportRunner) {
    return new LimitAdmission(limits, ownerClient, refusalLog, Optional.of(reportRunner));
  }

  /**
   * The decision on a request.
   *
   * @param waitSeconds empty if admitted, otherwise the time until the limit admits again
   * @param claimed whether tokens are kept for the request until it returns after the wait
   * @param decidedBy name of the daemon that decided, {@code self} for this one
   */
  record Decision(OptionalDouble waitSeconds, boolean claimed, String decidedBy) {}

  /**
   * Decides on a request.
   *
   * @param request the request, of a positive amount in the unit of the limit
   * @return completes immediately unless another daemon decides; never fails
   */
  CompletableFuture<Decision> admit(RateLimit limit, LimitRequest request) {
    if (limit.ratePerSecond() <= 0) {
      return CompletableFuture.completedFuture(decideLocally(limit, request));
    }
    limits.track(limit);
    takeOver(limit);
    if (reportRunner.isPresent() && limits.admitInAdvance(limit, request)) {
      scheduleReport(reportRunner.get(), limit);
      return CompletableFuture.completedFuture(ADMITTED_IN_ADVANCE);
    }
    Optional<String> owner = limits.remoteOwner(limit.name());
    if (owner.isPresent()) {
      return requestAdmission(owner.get(), limit, request, true);
    }
    return decideLocallyOrAsk(limits.slowOwner(limit.name()), limit, request);
  }

  /** Reports what was admitted in advance, with what is admitted until then. */
  private void scheduleReport(DelayedRunner runner, RateLimit limit) {
    if (limits.needsPromptReport(limit)) {
      report(limit);
    } else if (scheduledReports.add(limit.name())) {
      runner.runAfter(
          REPORT_DELAY_MILLIS,
          () -> {
            scheduledReports.remove(limit.name());
            report(limit);
          });
    }
  }

  private void report(RateLimit limit) {
    Optional<String> owner = limits.remoteOwner(limit.name());
    if (owner.isEmpty()) {
      // What is not reported now goes with the next request to the owner.
      return;
    }
    double unreported = limits.startReport(limit.name());
    if (unreported <= 0) {
      return;
    }
    ownerClient
        .requestAdmission(owner.get(), limit, LimitRequest.of(0), unreported)
        .whenComplete(
            (reply, failure) -> {
              if (onReply(owner.get(), limit, unreported, reply, failure)) {
                return;
              }
              if (failure == null) {
                limits.ownerDeclined(limit.name(), owner.get(), reply.owner().orElse(null));
              } else {
                limits.ownerFailed(owner.get(), isConnectionRefused(failure));
              }
            });
  }

  /** Records what an owner replied. Returns whether it decided. */
  private boolean onReply(
      String owner,
      RateLimit limit,
      double unreported,
      LimitOwnerClient.Decision reply,
      Throwable failure) {
    boolean decided = failure == null && reply.decidedByOwner();
    if (unreported > 0) {
      limits.endReport(limit.name(), decided);
    }
    if (decided) {
      limits.ownerAnswered(owner);
      limits.recordSupply(limit.name(), reply.ample());
    }
    return decided;
  }

  /**
   * Decides without the owner, but asks it once if this daemon may not admit the request: what it
   * may admit by itself is less than a large request.
   *
   * @param owner the owner to ask, empty to ask none
   */
  private CompletableFuture<Decision> decideLocallyOrAsk(
      Optional<String> owner, RateLimit limit, LimitRequest request) {
    Decision local = decideLocally(limit, request);
    if (local.waitSeconds().isPresent() && owner.isPresent()) {
      return requestAdmission(owner.get(), limit, request, false);
    }
    return CompletableFuture.completedFuture(local);
  }

  /**
   * Requests the decision of an owner.
   *
   * @param mayRetry whether to ask once more if the owner does not answer and this daemon may not
   *     admit the request
   */
  private CompletableFuture<Decision> requestAdmission(
      String owner, RateLimit limit, LimitRequest request, boolean mayRetry) {
    double unreported = limits.startReport(limit.name());
    return ownerClient
        .requestAdmission(owner, limit, request, unreported)
        .handle(
            (ownerDecision, failure) -> {
              if (onReply(owner, limit, unreported, ownerDecision, failure)) {
                return CompletableFuture.completedFuture(
                    new Decision(ownerDecision.waitSeconds(), ownerDecision.claimed(), owner));
              }
              return failure == null
                  ? onDeclined(owner, limit, request, ownerDecision, mayRetry)
                  : onFailed(owner, limit, request, failure, mayRetry);
            })
        .thenCompose(decision -> decision);
  }

  private CompletableFuture<Decision> onDeclined(
      String owner,
      RateLimit limit,
      LimitRequest request,
      LimitOwnerClient.Decision declined,
      boolean mayRetry) {
    String other = declined.owner().orElse(null);
    if (limits.ownerDeclined(limit.name(), owner, other)) {
      return requestAdmission(other, limit, request, mayRetry);
    }
    logUndecided(limit, owner, "daemon is not the owner of the limit");
    return CompletableFuture.completedFuture(decideLocally(limit, request));
  }

  private CompletableFuture<Decision> onFailed(
      String owner, RateLimit limit, LimitRequest request, Throwable failure, boolean mayRetry) {
    boolean stopped = isConnectionRefused(failure);
    limits.ownerFailed(owner, stopped);
    logUndecided(limit, owner, failure.getMessage());
    Optional<String> askAgain = mayRetry && !stopped ? Optional.of(owner) : Optional.empty();
    return decideLocallyOrAsk(askAgain, limit, request);
  }

  private static void logUndecided(RateLimit limit, String owner, String reason) {
    log.atInfo()
        .addKeyValue("account", limit.name())
        .addKeyValue("keeper", owner)
        .addKeyValue("reason", reason)
        .log("limit is decided without its keeper");
  }

  /** Asks the previous owner to release a newly owned limit, unless it was asked a moment ago. */
  private void takeOver(RateLimit limit) {
    Optional<String> previous = limits.startTakeover(limit.name());
    if (previous.isEmpty()) {
      return;
    }
    ownerClient
        .requestRelease(previous.get(), limit.name(), limits.self())
        .whenComplete((holder, failure) -> onReleased(limit, previous.get(), holder, failure));
  }

  private void onReleased(
      RateLimit limit, String previous, Optional<String> holder, Throwable failure) {
    String outcome = "released";
    if (failure == null && holder.isPresent() && !holder.get().equals(limits.self())) {
      limits.redirectTakeover(limit.name(), holder.get());
      outcome = "held by " + holder.get();
    } else if (failure == null || isConnectionRefused(failure)) {
      limits.endTakeover(limit, previous);
    }
    log.atInfo()
        .addKeyValue("account", limit.name())
        .addKeyValue("from", previous)
        .addKeyValue("outcome", failure == null ? outcome : String.valueOf(failure.getMessage()))
        .log("account limit taken over");
  }

  /** Returns whether nothing listens at the owner's address, so that it admits no requests. */
  private static boolean isConnectionRefused(Throwable failure) {
    for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException) {
        return true;
      }
    }
    return false;
  }

  private Decision decideLocally(RateLimit limit, LimitRequest request) {
    SpendingDecision decision = decide(limit, request);
    return new Decision(decision.waitSeconds(), decision.claimed(), "self");
  }

  private SpendingDecision decide(RateLimit limit, LimitRequest request) {
    SpendingDecision decision = limits.admit(limit, request);
    refusalLog.record(limit.name(), request, decision);
    return decision;
  }

  /** Returns the first names of a set of limits, which may have thousands of endpoints. */
  private static String summarize(Set<String> limitNames) {
    return new TreeSet<>(limitNames)
        .stream().limit(MAX_LOGGED_LIMITS).collect(Collectors.joining(" "));
  }

  /**
   * Decides on a request of another daemon, as the owner of the limit.
   *
   * @param request amount 0 if the other daemon only reports
   * @param unreported amount that the other daemon has admitted without this one
   */
  public LimitOwnerClient.Decision decideAsOwner(
      RateLimit limit, LimitRequest request, double unreported) {
    limits.track(limit);
    takeOver(limit);
    if (!limits.isOwner(limit.name())) {
      return LimitOwnerClient.Decision.declined(Optional.ofNullable(limits.owner(limit.name())));
    }
    limits.chargeReported(limit, unreported);
    SpendingDecision decision =
        request.amount() > 0 ? decide(limit, request) : SpendingDecision.ADMITTED;
    return LimitOwnerClient.Decision.decided(decision, limits.isAmple(limit));
  }

  /** Returns the part of each owned limit that was used recently, by the name of the limit. */
  public Map<String, Double> usedRatios() {
    return limits.usedRatios();
  }

  /**
   * Releases a limit to its new owner.
   *
   * @return the daemon that holds the limit instead of this one; empty if this daemon has released
   *     it or knows of no other holder
   */
  public Optional<String> release(String limit, String newOwner) {
    return limits.release(limit, newOwner);
  }

  /**
   * Sets the daemons that may own limits, and takes over those that this daemon owns from now on.
   *
   * @param names daemons that may own limits
   * @param admitting all daemons that may admit requests
   * @param leaseMillis time from this view for which its owners decide
   */
  public void updateDaemons(
      Collection<String> names,
      Collection<String> admitting,
      long leaseMillis,
      Collection<? extends RateLimit> all) {
    Set<String> ownedBefore = limits.ownedLimits();
    limits.updateDaemons(names, admitting, leaseMillis, all);
    all.forEach(this::takeOver);
    Set<String> owned = limits.ownedLimits();
    if (!owned.equals(ownedBefore)) {
      log.atInfo()
          .addKeyValue("accounts", summarize(owned))
          .addKeyValue("daemons", String.join(" ", new TreeSet<>(names)))
          .log("owned account limits changed");
    }
  }
}
