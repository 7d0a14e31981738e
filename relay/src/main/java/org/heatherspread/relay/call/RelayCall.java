package org.heatherspread.relay.call;

import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.admission.LoadShedder;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.EnginePerformance;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.placement.Workload;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.relay.caller.CallerAnswer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The life of one request after it was let in: it is sent to an endpoint, perhaps to further ones,
 * and its answer is passed on.
 *
 * <p>Invariants: a request that may not be repeated is sent again only if the endpoint stated that
 * it has not run, or nothing was sent; a status that promises "not run" is given only then; whole
 * answers are passed on when complete, streams in whole events with rising ids; after the answer,
 * or once the caller has left, nothing is sent any more. Confined to its event loop.
 */
final class RelayCall {
  private static final Logger log = LoggerFactory.getLogger(RelayCall.class);

  /** Shortest and longest time after which refused callers should come back, in seconds. */
  private static final double MIN_RETRY_SECONDS = 0.15;

  private static final double MAX_RETRY_SECONDS = 0.5;

  /** Time before its deadline below which a request is not sent again. */
  static final long MIN_LEFT_MILLIS = 10;

  /** Most endpoints that may refuse a request before the caller is told to come back. */
  private static final int MAX_REFUSALS = 3;

  private static final EnginePerformance PACE = EnginePerformance.defaults();

  /** Requests in a full batch where no endpoint is known. */
  private static final int USUAL_SLOTS = 24;

  private final RelayState state;
  private final RelayHeaders names;
  private final Forwarding forwarding;
  private final CallFacts facts;
  private final boolean needsKey;
  private final CallerAnswer answer;
  private final OwnAnswer own;
  private final Set<String> tried = new HashSet<>();
  private final ScheduledFuture<?> deadline;
  private Attempt current;
  private final CallProgress progress = new CallProgress();
  private boolean done;
  private boolean demanded;
  private long expectedMillis = -1;

  private RelayCall(
      RelayState state,
      RelayHeaders names,
      Forwarding forwarding,
      CallFacts facts,
      boolean needsKey,
      CallerAnswer answer,
      OwnAnswer own) {
    this.state = state;
    this.names = names;
    this.forwarding = forwarding;
    this.facts = facts;
    this.needsKey = needsKey;
    this.answer = answer;
    this.own = own;
    this.deadline =
        state.loop().schedule(this::expired, Math.max(0, leftMillis()), TimeUnit.MILLISECONDS);
  }

  static void start(
      RelayState state,
      RelayHeaders names,
      Forwarding forwarding,
      CallFacts facts,
      boolean needsKey,
      CallerAnswer answer,
      OwnAnswer own) {
    RelayCall call = new RelayCall(state, names, forwarding, facts, needsKey, answer, own);
    answer.onGone(call::callerGone);
    if (state.crashes().refuses(facts)) {
      call.giveUp(Refusal.CRASHES_ENDPOINTS);
      return;
    }
    state.budget(facts.service()).onRequest();
    call.attempt();
  }

  // ---------------------------------------------------------------------------------------------
  // Sending
  // ---------------------------------------------------------------------------------------------

  void attempt() {
    long now = state.clock().millis();
    Optional<Choice> choice =
        state
            .chooser(facts.service())
            .choose(
                state.endpoints().forService(facts.service()),
                facts.work(),
                tried,
                now,
                state.random());
    noteDemand(choice);
    if (choice.isEmpty()) {
      giveUp(progress.refusals > 0 ? Refusal.REFUSED_BY_ENDPOINTS : Refusal.NO_ENDPOINT);
      return;
    }
    double expected = choice.get().expectedMillis();
    boolean first = progress.sends == 0 && progress.refusals == 0;
    if (first && engineWork() && !admits(expected)) {
      overloaded(expected);
      return;
    }
    if (expectedMillis < 0) {
      expectedMillis = (long) expected;
    }
    send(choice.get(), null);
  }

  /** Counts the work that the request asks for, once, whether or not it is let in. */
  private void noteDemand(Optional<Choice> choice) {
    if (demanded || !engineWork()) {
      return;
    }
    demanded = true;
    Workload work = facts.work();
    int cached = choice.map(found -> found.endpoint().cachedTokens(work)).orElse(0);
    int uncached = Math.max(0, work.promptTokens() - cached);
    int slots = choice.map(found -> found.endpoint().registration().slots()).orElse(USUAL_SLOTS);
    double millis = PACE.workMillis(work.promptTokens(), uncached, work.answerTokens(), slots);
    state.addWork(facts.service(), millis);
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param copy memory that the run goes on from, null for none
   */
  void send(Choice choice, String copy) {
    current = new Attempt(this, choice, copy);
    TrackedEndpoint endpoint = choice.endpoint();
    tried.add(endpoint.id());
    int limit = state.connectionLimit(facts.service());
    state.pool().acquire(endpoint.registration().address(), limit, current);
  }

  private boolean engineWork() {
    return facts.work().promptTokens() > 0;
  }

  private boolean admits(double expected) {
    return LoadShedder.admits(expected, facts.route().targetMillis(), facts.urgency());
  }

  private void overloaded(double expected) {
    expectedMillis = (long) expected;
    int target = facts.route().targetMillis();
    double wait = LoadShedder.retryAfterSeconds(expected, target, state.random().nextDouble());
    finish(Refusal.OVERLOADED.code(), Refusal.OVERLOADED.status(), "");
    own.refuse(Refusal.OVERLOADED, wait);
  }

  /** Sends the request once more, if that is allowed; else ends it. */
  void again(RetryReason reason, Refusal otherwise) {
    boolean time = leftMillis() > MIN_LEFT_MILLIS;
    boolean attempts =
        progress.mayHaveRun < facts.route().maxAttempts() && progress.refusals <= MAX_REFUSALS;
    boolean repeatable = progress.mayHaveRun == 0 || facts.route().isRepeatable();
    if (!time || !attempts || !repeatable) {
      giveUp(otherwise);
      return;
    }
    if (progress.sends > 0 && !state.budget(facts.service()).tryRetry()) {
      state.metrics().budgetSpent(facts.service());
      giveUp(otherwise);
      return;
    }
    state.metrics().repeated(reason.code());
    attempt();
  }

  long leftMillis() {
    return facts.endsAtMillis() - state.clock().millis();
  }

  // ---------------------------------------------------------------------------------------------
  // Ending
  // ---------------------------------------------------------------------------------------------

  void expired() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    if (last != null) {
      last.abandon();
    }
    giveUp(progress.mayHaveRun > 0 ? Refusal.EXPIRED : Refusal.EXPIRED_UNSENT);
  }

  private void callerGone() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    finish("caller-gone", 0, last == null ? "" : last.endpointId());
    if (last != null) {
      last.abandon();
    }
  }

  void giveUp(Refusal reason) {
    if (done) {
      return;
    }
    current = null;
    if (progress.begun) {
      finish("stream-cut:" + reason.code(), 0, "");
      answer.abort();
      return;
    }
    Refusal told = progress.mayHaveRun > 0 && reason.status() == 503 ? Refusal.ANSWER_LOST : reason;
    finish(told.code(), told.status(), "");
    own.refuse(told, told.status() == 503 ? retryAfterSeconds() : 0);
  }

  private double retryAfterSeconds() {
    return MIN_RETRY_SECONDS
        + (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS) * state.random().nextDouble();
  }

  void finish(String outcome, int status, String endpoint) {
    done = true;
    deadline.cancel(false);
    log.atInfo()
        .addKeyValue("id", facts.id())
        .addKeyValue("outcome", outcome)
        .addKeyValue("status", status)
        .addKeyValue("route", facts.route().name())
        .addKeyValue("service", facts.service())
        .addKeyValue("account", facts.account())
        .addKeyValue("tokens", facts.statedTokens())
        .addKeyValue("endpoint", endpoint)
        .addKeyValue("sends", progress.sends)
        .addKeyValue("first_ms", progress.firstMillis)
        .addKeyValue("expected_ms", expectedMillis)
        .addKeyValue("ms", state.clock().millis() - facts.request().arrivedMillis())
        .addKeyValue("last_event", progress.lastEvent)
        .addKeyValue("config", facts.configVersion())
        .log("request ended");
  }

  void countUsage() {
    if (!progress.counted && !facts.account().isEmpty()) {
      progress.counted = true;
      state.usage().countRequest(facts.account(), state.time().unixMillis());
    }
  }

  // ---------------------------------------------------------------------------------------------
  // What attempts need
  // ---------------------------------------------------------------------------------------------

  boolean isCurrent(Attempt attempt) {
    return !done && current == attempt;
  }

  void callerCaughtUp() {
    if (current != null) {
      current.callerCaughtUp();
    }
  }

  RelayState state() {
    return state;
  }

  CallFacts facts() {
    return facts;
  }

  CallProgress progress() {
    return progress;
  }

  CallerAnswer answer() {
    return answer;
  }

  RelayHeaders names() {
    return names;
  }

  Forwarding forwarding() {
    return forwarding;
  }

  boolean needsKey() {
    return needsKey;
  }
}
