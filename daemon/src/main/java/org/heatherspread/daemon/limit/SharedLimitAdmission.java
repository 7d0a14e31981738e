package org.heatherspread.daemon.limit;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.pekko.actor.Cancellable;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.limit.AccountLimiter;
import org.heatherspread.core.limit.LimitDecision;
import org.heatherspread.core.limit.LimitUsageReport;
import org.heatherspread.core.limit.ReportSchedule;
import org.heatherspread.core.limit.SharedLimiter;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.SharedEntry;
import org.heatherspread.core.overload.FairShareAdmission;
import org.heatherspread.daemon.DaemonComponent;
import org.heatherspread.daemon.DaemonContext;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits requests within the limits of their client account, which all daemons share, and refuses
 * requests early if the endpoints cannot serve them in time.
 *
 * <p>Decisions use local state only. The daemons periodically exchange reports of their usage under
 * the topic {@code usage}. Thread-safe.
 */
public final class SharedLimitAdmission implements Admission, DaemonComponent {
  private static final Logger LOGGER = LoggerFactory.getLogger(SharedLimitAdmission.class);
  private static final String USAGE_TOPIC = "usage";
  private static final Duration DEFAULT_FIRST_TOKEN_TARGET = Duration.ofMillis(520);
  private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(100);

  private final DaemonContext context;
  private final LimitSettings settings;
  private final QueueDelayEstimator delayEstimator;
  private final SharedLimiter limiter;
  private final Map<String, FairShareAdmission> fairShares = new ConcurrentHashMap<>();
  private final Map<LimitDecision.Reason, Counter> limitRefusals =
      new EnumMap<>(LimitDecision.Reason.class);
  private final Counter overloadRefusals;
  private final Counter deadlineRefusals;
  private final Counter unreadableReports;
  private final ReportSchedule schedule;
  private volatile Cancellable timer;
  private volatile boolean closed;

  private SharedLimitAdmission(
      DaemonContext context, LimitSettings settings, QueueDelayEstimator delayEstimator) {
    this.context = context;
    this.settings = settings;
    this.delayEstimator = delayEstimator;
    this.schedule = ReportSchedule.of(settings.reportInterval());
    this.limiter = SharedLimiter.create(settings.burstDuration().toMillis() / 1_000.0);
    MeterRegistry meters = context.meters();
    for (LimitDecision.Reason reason : LimitDecision.Reason.values()) {
      if (reason != LimitDecision.Reason.NONE) {
        limitRefusals.put(reason, refusalCounter(meters, reason.name().toLowerCase(Locale.ROOT)));
      }
    }
    this.overloadRefusals = refusalCounter(meters, "overloaded");
    this.deadlineRefusals = refusalCounter(meters, "deadline");
    this.unreadableReports = meters.counter("heatherspread.limits.reports.unreadable");
  }

  private static Counter refusalCounter(MeterRegistry meters, String reason) {
    return meters.counter("heatherspread.limits.refusals", "reason", reason);
  }

  /**
   * Creates an admission that starts with an even share of each limit among the known daemons.
   *
   * @param delayEstimator estimates the queueing delay at the endpoints
   */
  public static SharedLimitAdmission create(
      DaemonContext context, LimitSettings settings, QueueDelayEstimator delayEstimator) {
    return new SharedLimitAdmission(context, settings, delayEstimator);
  }

  @Override
  public void start() {
    schedule(Duration.ZERO);
  }

  private void schedule(Duration delay) {
    timer =
        context
            .system()
            .scheduler()
            .scheduleOnce(delay, this::runRoundAndReschedule, context.system().executionContext());
  }

  private void runRoundAndReschedule() {
    runRound();
    if (!closed) {
      schedule(schedule.interval(peerIds().size() + 1));
    }
  }

  @Override
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void runRound() {
    try {
      List<String> peers = peerIds();
      LimitUsageReport report =
          limiter.runRound(
              context.configuration().get().accounts(),
              peers,
              peerReports(),
              context.clock().nanos());
      context
          .dissemination()
          .publish(
              USAGE_TOPIC,
              context.self().id(),
              report.encode(),
              schedule.lifetime(peers.size() + 1, settings.reportLifetime()));
    } catch (RuntimeException e) {
      LOGGER.atWarn().setCause(e).log("limit sharing round failed");
    }
  }

  private List<String> peerIds() {
    List<String> peers = new ArrayList<>();
    for (Member member : context.membership().get().daemons()) {
      String id = member.instance().id();
      if (member.health() != Health.DEAD && !id.equals(context.self().id())) {
        peers.add(id);
      }
    }
    return peers;
  }

  private Map<String, LimitUsageReport> peerReports() {
    Map<String, LimitUsageReport> reports = new HashMap<>();
    for (SharedEntry entry : context.dissemination().entries(USAGE_TOPIC)) {
      try {
        reports.put(entry.key(), LimitUsageReport.decode(entry.value()));
      } catch (IllegalArgumentException e) {
        unreadableReports.increment();
      }
    }
    return reports;
  }

  @Override
  public Grant admit(AdmissionRequest request) {
    String service = request.service();
    String accountName = request.account().name();
    Duration wait = delayEstimator.expectedWait(service);
    if (wait.compareTo(request.remaining()) > 0) {
      deadlineRefusals.increment();
      throw refusal(
          ErrorKind.DEADLINE_UNREACHABLE,
          "the queue is longer than the time left",
          wait.minus(request.remaining()));
    }
    Duration target = target(service);
    double pressure = (double) wait.toNanos() / Math.max(1, target.toNanos());
    FairShareAdmission fairShare =
        fairShares.computeIfAbsent(service, s -> FairShareAdmission.create());
    if (!fairShare.tryAcquire(accountName, request.priority(), pressure)) {
      overloadRefusals.increment();
      throw refusal(ErrorKind.OVERLOADED, "the endpoints are overloaded", wait.minus(target));
    }
    AccountLimiter accountLimiter = limiter.limiter(request.account(), context.clock().nanos());
    LimitDecision decision = accountLimiter.admit(request.promptTokens(), context.clock().nanos());
    if (!decision.admitted()) {
      fairShare.release(accountName);
      limitRefusals.get(decision.reason()).increment();
      throw refusal(
          ErrorKind.ACCOUNT_LIMIT,
          "over the limit of " + decision.reason().name().toLowerCase(Locale.ROOT),
          decision.retryAfter());
    }
    return new AdmittedGrant(fairShare, accountName, accountLimiter);
  }

  private Duration target(String service) {
    ServiceSpec spec = context.configuration().get().services().get(service);
    return spec == null ? DEFAULT_FIRST_TOKEN_TARGET : spec.target().firstToken();
  }

  private static ServingException refusal(ErrorKind kind, String detail, Duration delay) {
    Duration retryAfter = delay.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : delay;
    return ServingException.of(kind, detail).withRetryAfter(retryAfter);
  }

  /** The grant of an admitted request, released once. */
  private final class AdmittedGrant implements Grant {
    private final FairShareAdmission fairShare;
    private final String accountName;
    private final AccountLimiter accountLimiter;
    private final AtomicBoolean active = new AtomicBoolean(true);

    AdmittedGrant(FairShareAdmission fairShare, String accountName, AccountLimiter accountLimiter) {
      this.fairShare = fairShare;
      this.accountName = accountName;
      this.accountLimiter = accountLimiter;
    }

    @Override
    public void release(long answerTokens) {
      if (active.compareAndSet(true, false)) {
        fairShare.release(accountName);
        accountLimiter.release(answerTokens, context.clock().nanos());
      }
    }
  }
}
