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
 * early where the endpoints cannot answer in time.
 *
 * <p>A request reads and writes only this process. The daemons tell each other what they use by the
 * topic {@code usage}, in rounds. Safe for use by any thread.
 */
public final class SharedLimitAdmission implements Admission, DaemonComponent {
  private static final Logger LOGGER = LoggerFactory.getLogger(SharedLimitAdmission.class);
  private static final String TOPIC = "usage";
  private static final Duration DEFAULT_TARGET = Duration.ofMillis(520);
  private static final Duration SHORTEST_DELAY = Duration.ofMillis(100);

  private final DaemonContext context;
  private final LimitSettings settings;
  private final QueueDelayEstimator waits;
  private final SharedLimiter limiter;
  private final Map<String, FairShareAdmission> gates = new ConcurrentHashMap<>();
  private final Map<LimitDecision.Reason, Counter> overLimit =
      new EnumMap<>(LimitDecision.Reason.class);
  private final Counter overloaded;
  private final Counter unreachable;
  private final Counter unreadable;
  private final ReportSchedule pace;
  private volatile Cancellable timer;
  private volatile boolean closed;

  private SharedLimitAdmission(
      DaemonContext context, LimitSettings settings, QueueDelayEstimator waits) {
    this.context = context;
    this.settings = settings;
    this.waits = waits;
    this.pace = ReportSchedule.of(settings.reportInterval());
    this.limiter = SharedLimiter.create(settings.burstDuration().toMillis() / 1_000.0);
    MeterRegistry meters = context.meters();
    for (LimitDecision.Reason reason : LimitDecision.Reason.values()) {
      if (reason != LimitDecision.Reason.NONE) {
        overLimit.put(reason, refusals(meters, reason.name().toLowerCase(Locale.ROOT)));
      }
    }
    this.overloaded = refusals(meters, "overloaded");
    this.unreachable = refusals(meters, "deadline");
    this.unreadable = meters.counter("heatherspread.limits.reports.unreadable");
  }

  private static Counter refusals(MeterRegistry meters, String reason) {
    return meters.counter("heatherspread.limits.refusals", "reason", reason);
  }

  /**
   * Creates an admission that starts with one part in N of each limit.
   *
   * @param waits how long requests wait at the endpoints
   */
  public static SharedLimitAdmission create(
      DaemonContext context, LimitSettings settings, QueueDelayEstimator waits) {
    return new SharedLimitAdmission(context, settings, waits);
  }

  // ---- life cycle ----

  @Override
  public void start() {
    schedule(Duration.ZERO);
  }

  private void schedule(Duration delay) {
    timer =
        context
            .system()
            .scheduler()
            .scheduleOnce(delay, this::roundAndSchedule, context.system().executionContext());
  }

  private void roundAndSchedule() {
    round();
    if (!closed) {
      schedule(pace.interval(peers().size() + 1));
    }
  }

  @Override
  public void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private void round() {
    try {
      List<String> peers = peers();
      LimitUsageReport report =
          limiter.runRound(
              context.configuration().get().accounts(), peers, reports(), context.clock().nanos());
      context
          .dissemination()
          .publish(
              TOPIC,
              context.self().id(),
              report.encode(),
              pace.lifetime(peers.size() + 1, settings.reportLifetime()));
    } catch (RuntimeException e) {
      LOGGER.atWarn().setCause(e).log("a round of limit sharing failed");
    }
  }

  private List<String> peers() {
    List<String> peers = new ArrayList<>();
    for (Member member : context.membership().get().daemons()) {
      String id = member.instance().id();
      if (member.health() != Health.DEAD && !id.equals(context.self().id())) {
        peers.add(id);
      }
    }
    return peers;
  }

  private Map<String, LimitUsageReport> reports() {
    Map<String, LimitUsageReport> reports = new HashMap<>();
    for (SharedEntry entry : context.dissemination().entries(TOPIC)) {
      try {
        reports.put(entry.key(), LimitUsageReport.decode(entry.value()));
      } catch (IllegalArgumentException e) {
        unreadable.increment();
      }
    }
    return reports;
  }

  // ---- requests ----

  @Override
  public Grant admit(AdmissionRequest request) {
    String service = request.service();
    String name = request.account().name();
    Duration wait = waits.expectedWait(service);
    if (wait.compareTo(request.remaining()) > 0) {
      unreachable.increment();
      throw refusal(
          ErrorKind.DEADLINE_UNREACHABLE,
          "the queue is longer than the time left",
          wait.minus(request.remaining()));
    }
    Duration target = target(service);
    double pressure = (double) wait.toNanos() / Math.max(1, target.toNanos());
    FairShareAdmission gate = gates.computeIfAbsent(service, s -> FairShareAdmission.create());
    if (!gate.tryAcquire(name, request.priority(), pressure)) {
      overloaded.increment();
      throw refusal(ErrorKind.OVERLOADED, "the endpoints are overloaded", wait.minus(target));
    }
    AccountLimiter account = limiter.limiter(request.account(), context.clock().nanos());
    LimitDecision decision = account.admit(request.promptTokens(), context.clock().nanos());
    if (!decision.admitted()) {
      gate.release(name);
      overLimit.get(decision.reason()).increment();
      throw refusal(
          ErrorKind.ACCOUNT_LIMIT,
          "over the limit of " + decision.reason().name().toLowerCase(Locale.ROOT),
          decision.retryAfter());
    }
    return new Held(gate, name, account);
  }

  private Duration target(String service) {
    ServiceSpec spec = context.configuration().get().services().get(service);
    return spec == null ? DEFAULT_TARGET : spec.target().firstToken();
  }

  private static ServingException refusal(ErrorKind kind, String detail, Duration delay) {
    Duration honest = delay.compareTo(SHORTEST_DELAY) < 0 ? SHORTEST_DELAY : delay;
    return ServingException.of(kind, detail).withRetryAfter(honest);
  }

  /** What an admitted request holds; given back once. */
  private final class Held implements Grant {
    private final FairShareAdmission gate;
    private final String name;
    private final AccountLimiter account;
    private final AtomicBoolean open = new AtomicBoolean(true);

    Held(FairShareAdmission gate, String name, AccountLimiter account) {
      this.gate = gate;
      this.name = name;
      this.account = account;
    }

    @Override
    public void release(long answerTokens) {
      if (open.compareAndSet(true, false)) {
        gate.release(name);
        account.release(answerTokens, context.clock().nanos());
      }
    }
  }
}
