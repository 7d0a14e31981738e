package org.heatherspread.relay.call;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.admission.OverloadGate;
import org.heatherspread.core.engine.EngineMoves;
import org.heatherspread.core.placement.EndpointChooser.Choice;
import org.heatherspread.core.placement.EnginePace;
import org.heatherspread.core.placement.TrackedEndpoint;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.serving.CallKind;
import org.heatherspread.core.serving.HostPort;
import org.heatherspread.core.serving.Route;
import org.heatherspread.core.stream.EventSplitter;
import org.heatherspread.relay.caller.CallerAnswer;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.EndpointConnection;
import org.heatherspread.relay.endpoint.Exchange;
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

  private static final EnginePace PACE = EnginePace.defaults();
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final int MAX_ANSWER_BYTES = 8 << 20;
  private static final int MISDIRECTED = 421;

  /** Silence of an endpoint towards all its requests after which a stream goes on elsewhere. */
  private static final long STREAM_SILENCE_MILLIS = 1_300;

  /** Silence towards one stream while others progress, a little before callers give it up. */
  private static final long STREAM_STARVED_MILLIS = 2_600;

  /** Earliest time after which an idempotent request is sent elsewhere. */
  private static final long MIN_ANSWER_SILENCE_MILLIS = 150;

  /** Part of the time left after which an idempotent request is sent elsewhere. */
  private static final double ANSWER_SILENCE_SHARE = 0.4;

  /** Shortest and longest time after which refused callers should come back, in seconds. */
  private static final double MIN_RETRY_SECONDS = 0.15;

  private static final double MAX_RETRY_SECONDS = 0.5;

  /** Time before its deadline below which a request is not sent again. */
  private static final long MIN_LEFT_MILLIS = 10;

  /** Most endpoints that may refuse a request before the caller is told to come back. */
  private static final int MAX_REFUSALS = 3;

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
  private int sends;
  private int refusals;
  private int mayHaveRun;
  private boolean done;
  private boolean begun;
  private boolean counted;
  private long lastEvent = -1;
  private long firstMillis = -1;
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

  private void attempt() {
    long now = state.clock().millis();
    Optional<Choice> choice =
        state
            .chooser(facts.service())
            .choose(
                state.endpoints().of(facts.service()), facts.work(), tried, now, state.random());
    if (choice.isEmpty()) {
      giveUp(refusals > 0 ? Refusal.REFUSED_BY_ENDPOINTS : Refusal.NO_ENDPOINT);
      return;
    }
    double expected = choice.get().expectedMillis();
    boolean first = sends == 0 && refusals == 0;
    if (first && engineWork() && !admits(expected)) {
      overloaded(expected);
      return;
    }
    if (expectedMillis < 0) {
      expectedMillis = (long) expected;
    }
    send(choice.get(), null);
  }

  /**
   * Sends the request to an endpoint.
   *
   * @param copy memory that the run goes on from, null for none
   */
  private void send(Choice choice, String copy) {
    current = new Attempt(choice, copy);
    TrackedEndpoint endpoint = choice.endpoint();
    tried.add(endpoint.id());
    int limit = state.connectionLimit(facts.service());
    state.pool().acquire(endpoint.registration().address(), limit, current);
  }

  private boolean engineWork() {
    return facts.work().promptTokens() > 0;
  }

  private boolean admits(double expected) {
    return OverloadGate.admits(expected, facts.route().targetMillis(), facts.urgency());
  }

  private void overloaded(double expected) {
    expectedMillis = (long) expected;
    int target = facts.route().targetMillis();
    double wait = OverloadGate.retryAfterSeconds(expected, target, state.random().nextDouble());
    finish(Refusal.OVERLOADED.code(), Refusal.OVERLOADED.status(), "");
    own.refuse(Refusal.OVERLOADED, wait);
  }

  /** Sends the request once more, if that is allowed; else ends it. */
  private void again(RetryReason reason, Refusal otherwise) {
    boolean time = leftMillis() > MIN_LEFT_MILLIS;
    boolean attempts = mayHaveRun < facts.route().maxAttempts() && refusals <= MAX_REFUSALS;
    if (!time || !attempts) {
      giveUp(otherwise);
      return;
    }
    if (sends > 0 && !state.budget(facts.service()).tryRepeat()) {
      state.metrics().budgetSpent(facts.service());
      giveUp(otherwise);
      return;
    }
    state.metrics().repeated(reason.code());
    attempt();
  }

  private long leftMillis() {
    return facts.endsAtMillis() - state.clock().millis();
  }

  // ---------------------------------------------------------------------------------------------
  // Ending
  // ---------------------------------------------------------------------------------------------

  private void expired() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    if (last != null) {
      last.abandon();
    }
    giveUp(mayHaveRun > 0 ? Refusal.EXPIRED : Refusal.EXPIRED_UNSENT);
  }

  private void callerGone() {
    if (done) {
      return;
    }
    Attempt last = current;
    current = null;
    finish("caller-gone", 0, last == null ? "" : last.endpoint.id());
    if (last != null) {
      last.abandon();
    }
  }

  private void giveUp(Refusal reason) {
    if (done) {
      return;
    }
    current = null;
    if (begun) {
      finish("stream-cut:" + reason.code(), 0, "");
      answer.abort();
      return;
    }
    Refusal told = mayHaveRun > 0 && reason.status() == 503 ? Refusal.ANSWER_LOST : reason;
    finish(told.code(), told.status(), "");
    own.refuse(told, told.status() == 503 ? retryAfterSeconds() : 0);
  }

  private double retryAfterSeconds() {
    return MIN_RETRY_SECONDS
        + (MAX_RETRY_SECONDS - MIN_RETRY_SECONDS) * state.random().nextDouble();
  }

  private void finish(String outcome, int status, String endpoint) {
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
        .addKeyValue("sends", sends)
        .addKeyValue("first_ms", firstMillis)
        .addKeyValue("expected_ms", expectedMillis)
        .addKeyValue("ms", state.clock().millis() - facts.request().arrivedMillis())
        .addKeyValue("last_event", lastEvent)
        .addKeyValue("config", facts.configVersion())
        .log("request ended");
  }

  private void countUsage() {
    if (!counted && !facts.account().isEmpty()) {
      counted = true;
      state.usage().began(facts.account(), state.time().unixMillis());
    }
  }

  /** One sending of the request to one endpoint. */
  private final class Attempt implements ConnectionPool.Receiver, Exchange, RelayState.Movable {
    private final TrackedEndpoint endpoint;
    private final double baseMillis;
    private final String copy;
    private TrackedEndpoint.Run run;
    private EndpointConnection connection;
    private ScheduledFuture<?> silence;
    private HttpHeaders headers;
    private int status;
    private boolean notExecuted;
    private boolean streaming;
    private EventSplitter splitter;
    private ByteArrayOutputStream body;
    private long sentMillis;
    private long progressMillis;
    private boolean closed;
    private boolean moving;
    private String brokenMeanwhile;

    private Attempt(Choice choice, String copy) {
      this.copy = copy;
      this.endpoint = choice.endpoint();
      this.baseMillis = choice.baseMillis();
      this.run = endpoint.start(facts.work());
      if (engineWork()) {
        state.addWork(
            facts.service(), PACE.workMillis(run.uncachedTokens(), facts.work().answerTokens()));
      }
    }

    private boolean active() {
      return !done && current == this && !closed;
    }

    @Override
    public void connected(EndpointConnection opened) {
      long now = state.clock().millis();
      if (!active()) {
        close();
        opened.unused();
        return;
      }
      boolean expired = leftMillis() <= 0;
      if (expired || !endpoint.usable(now) || (needsKey && !state.trustsKeys())) {
        close();
        opened.unused();
        if (expired) {
          expired();
        } else if (needsKey && !state.trustsKeys()) {
          giveUp(Refusal.KEYS_TOO_OLD);
        } else {
          again(RetryReason.ENDPOINT_LEAVING, Refusal.NO_ENDPOINT);
        }
        return;
      }
      connection = opened;
      if (opened.fresh()) {
        state.crashes().accepted(endpoint);
      }
      sends++;
      mayHaveRun += copy == null ? 1 : 0;
      sentMillis = now;
      progressMillis = now;
      long resumeAfter = begun ? lastEvent : -1;
      connection.send(
          forwarding.request(facts, endpoint.registration(), leftMillis(), resumeAfter, copy),
          facts.id().isEmpty() ? null : facts.id(),
          this);
      watchSilence(firstSilenceMillis());
      if (facts.route().kind() == CallKind.STREAM) {
        state.streaming(endpoint.id(), this);
      }
    }

    @Override
    public void failed(String reason, boolean refused) {
      if (refused) {
        state.crashes().crashed(endpoint);
      }
      boolean wanted = active();
      run.failed(state.clock().millis());
      close();
      if (wanted) {
        note("not-connected", reason);
        again(RetryReason.UNREACHABLE, Refusal.UNREACHABLE);
      }
    }

    // -------------------------------------------------------------------------------------------
    // Silence
    // -------------------------------------------------------------------------------------------

    private long firstSilenceMillis() {
      Route route = facts.route();
      if (!route.repeatable() || mayHaveRun >= route.maxAttempts()) {
        return 0;
      }
      if (route.kind() == CallKind.STREAM) {
        return Math.max(STREAM_SILENCE_MILLIS, (long) (2 * baseMillis));
      }
      long share = (long) (ANSWER_SILENCE_SHARE * leftMillis());
      return Math.max(MIN_ANSWER_SILENCE_MILLIS, share);
    }

    private void watchSilence(long millis) {
      if (silence != null) {
        silence.cancel(false);
        silence = null;
      }
      if (millis > 0) {
        silence = state.loop().schedule(this::silent, millis, TimeUnit.MILLISECONDS);
      }
    }

    private void silent() {
      if (!active() || moving) {
        return;
      }
      long now = state.clock().millis();
      boolean streams = facts.route().kind() == CallKind.STREAM;
      boolean others = now - endpoint.progressMillis() < STREAM_SILENCE_MILLIS;
      long left = progressMillis + STREAM_STARVED_MILLIS - now;
      if (streams && others && left > 0) {
        // The endpoint works on others' prompts; sending this one elsewhere would only add work.
        watchSilence(left);
        return;
      }
      note("silent", "no progress in time");
      run.failed(state.clock().millis());
      abandon();
      again(RetryReason.SILENT, Refusal.EXPIRED);
    }

    // -------------------------------------------------------------------------------------------
    // The answer
    // -------------------------------------------------------------------------------------------

    @Override
    public void head(HttpResponse response) {
      status = response.status().code();
      headers = response.headers();
      notExecuted = headers.contains(names.notExecuted()) || status == MISDIRECTED;
      boolean signed = headers.contains(names.signature());
      if (status >= 200 && status < 300 && !signed) {
        spoilt("success without a signature");
        return;
      }
      streaming = facts.route().kind() == CallKind.STREAM && status == 200;
      if (streaming) {
        splitter = EventSplitter.create(MAX_EVENT_BYTES);
      } else {
        body = new ByteArrayOutputStream();
      }
    }

    @Override
    public void content(ByteBuf bytes) {
      if (!active()) {
        return;
      }
      progressMillis = state.clock().millis();
      endpoint.progressed(progressMillis);
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.getBytes(bytes.readerIndex(), copy);
      if (streaming) {
        boolean fits = splitter.add(copy, this::event);
        if (!fits && active()) {
          spoilt("event too large");
        }
        return;
      }
      body.writeBytes(copy);
      if (body.size() > MAX_ANSWER_BYTES) {
        spoilt("answer too large");
      }
    }

    private void event(byte[] bytes, long id) {
      if (!active()) {
        return;
      }
      if (id >= 0 && lastEvent >= 0 && id != lastEvent + 1) {
        spoilt("event " + id + " after event " + lastEvent);
        return;
      }
      if (!begun) {
        begun = true;
        answer.begin(status, forwarding.answer(headers));
        answer.onWritable(this::callerCaughtUp);
      }
      long now = state.clock().millis();
      if (firstMillis < 0) {
        firstMillis = now - facts.request().arrivedMillis();
      }
      run.answered(now - sentMillis, baseMillis, now);
      countUsage();
      if (id >= 0) {
        lastEvent = id;
      }
      answer.part(bytes);
      if (!answer.writable()) {
        connection.reading(false);
      }
      boolean mayGoOn = facts.route().repeatable() && mayHaveRun < facts.route().maxAttempts();
      watchSilence(mayGoOn ? STREAM_SILENCE_MILLIS : 0);
    }

    private void callerCaughtUp() {
      if (active()) {
        connection.reading(true);
      }
    }

    @Override
    public void end() {
      if (!active()) {
        close();
        return;
      }
      if (streaming) {
        endStream();
        return;
      }
      if (notExecuted) {
        refused();
        return;
      }
      long now = state.clock().millis();
      boolean serverError = status >= 500 || status == 429 || status == 408;
      if (serverError) {
        run.failed(now);
      } else {
        run.answered(now - sentMillis, baseMillis, now);
      }
      close();
      countUsage();
      boolean more = mayHaveRun < facts.route().maxAttempts();
      if (serverError && facts.route().kind() == CallKind.IDEMPOTENT && more) {
        note("error", "status " + status);
        againOr(RetryReason.ENDPOINT_ERROR, this::passOn);
        return;
      }
      passOn();
    }

    /** Repeats the request if allowed; else does what is given. */
    private void againOr(RetryReason reason, Runnable otherwise) {
      boolean time = leftMillis() > MIN_LEFT_MILLIS;
      if (!time || !state.budget(facts.service()).tryRepeat()) {
        otherwise.run();
        return;
      }
      state.metrics().repeated(reason.code());
      attempt();
    }

    private void passOn() {
      boolean claimsNotRun = status == 429 || status == 503 || status == 408;
      if (claimsNotRun) {
        // The endpoint did not state that the request has not run, so neither may the relay.
        note("error", "status " + status);
        giveUp(Refusal.ANSWER_LOST);
        return;
      }
      if (firstMillis < 0) {
        firstMillis = state.clock().millis() - facts.request().arrivedMillis();
      }
      state.metrics().answered(facts.service(), status, firstMillis);
      finish("answered", status, endpoint.id());
      answer.whole(status, forwarding.answer(headers), body.toByteArray());
    }

    private void endStream() {
      if (splitter.midway()) {
        spoilt("stream ended within an event");
        return;
      }
      if (!begun) {
        spoilt("stream without events");
        return;
      }
      close();
      noteLength();
      state.metrics().answered(facts.service(), status, firstMillis);
      finish("answered", status, endpoint.id());
      answer.end();
    }

    private void noteLength() {
      int stated = facts.statedTokens() - facts.work().promptTokens();
      long tokens = lastEvent * state.eventTokens(facts.service());
      if (!facts.request().headers().contains(names.lastEvent())) {
        state.lengths().made(facts.route().name(), stated, tokens);
      }
    }

    // -------------------------------------------------------------------------------------------
    // Moving
    // -------------------------------------------------------------------------------------------

    @Override
    public void move() {
      Optional<EngineMoves> moves = state.moves(facts.service());
      if (!active() || !begun || moving || moves.isEmpty() || facts.id().isEmpty()) {
        return;
      }
      Optional<Choice> target = moveTarget();
      if (target.isEmpty() || !state.budget(facts.service()).tryRepeat()) {
        return;
      }
      moving = true;
      HostPort source = endpoint.registration().address();
      HostPort to = target.get().endpoint().registration().address();
      moves
          .get()
          .move(source, facts.id(), to)
          .whenComplete((moved, failure) -> moved(moves.get(), target.get(), moved, failure));
    }

    private Optional<Choice> moveTarget() {
      return state
          .chooser(facts.service())
          .choose(
              state.endpoints().of(facts.service()),
              facts.work(),
              Set.of(endpoint.id()),
              state.clock().millis(),
              state.random());
    }

    private void moved(
        EngineMoves moves, Choice target, Optional<String> moved, Throwable failure) {
      moving = false;
      boolean done = failure == null && moved.isPresent();
      note(done ? "moved" : "not-moved", "endpoint leaves");
      if (!done) {
        if (brokenMeanwhile != null) {
          broken(brokenMeanwhile);
        }
        return;
      }
      if (!active()) {
        moves.drop(endpoint.registration().address(), moved.get());
        return;
      }
      abandon();
      state.metrics().repeated(RetryReason.ENDPOINT_LEAVING.code());
      send(target, moved.get());
    }

    private void refused() {
      run.end();
      close();
      mayHaveRun -= copy == null ? 1 : 0;
      refusals++;
      note("refused", "status " + status);
      again(RetryReason.REFUSED, Refusal.REFUSED_BY_ENDPOINTS);
    }

    private void spoilt(String reason) {
      connection.abandon();
      broken(reason);
    }

    @Override
    public void broken(String reason) {
      if (moving && active()) {
        // The endpoint stops the run before its memory has been copied.
        brokenMeanwhile = reason;
        watchSilence(0);
        return;
      }
      boolean wanted = active();
      run.failed(state.clock().millis());
      close();
      if (!wanted) {
        return;
      }
      note("broken", reason);
      state.crashes().lost(endpoint, facts);
      if (!facts.route().repeatable()) {
        countUsage();
        giveUp(Refusal.ANSWER_LOST);
        return;
      }
      again(RetryReason.CONNECTION_LOST, Refusal.ANSWER_LOST);
    }

    private void abandon() {
      close();
      if (connection != null) {
        connection.abandon();
      }
    }

    private void close() {
      closed = true;
      run.end();
      state.streamed(endpoint.id(), this);
      if (silence != null) {
        silence.cancel(false);
        silence = null;
      }
    }

    private void note(String outcome, String reason) {
      log.atInfo()
          .addKeyValue("id", facts.id())
          .addKeyValue("endpoint", endpoint.id())
          .addKeyValue("outcome", outcome)
          .addKeyValue("reason", reason)
          .addKeyValue("send", sends)
          .addKeyValue("ms", sentMillis == 0 ? 0 : state.clock().millis() - sentMillis)
          .addKeyValue("left_ms", leftMillis())
          .log("attempt ended");
    }
  }
}
