package org.heatherspread.relay.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.heatherspread.core.engine.StreamMigrator;
import org.heatherspread.core.placement.EndpointChooser.Choice;
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
 * One sending of a request to one endpoint: its connection, its answer, its silence, and its move
 * to another endpoint. What it means for the request is decided by {@link RelayCall}.
 *
 * <p>Invariant: once closed, or no longer the call's current attempt, it passes nothing on.
 * Confined to its event loop.
 */
final class Attempt implements ConnectionPool.Receiver, Exchange, RelayState.Movable {
  private static final Logger log = LoggerFactory.getLogger(Attempt.class);

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

  private final RelayCall call;
  private final RelayState state;
  private final CallFacts facts;
  private final CallProgress progress;
  private final CallerAnswer answer;
  private final TrackedEndpoint endpoint;
  private final double baseMillis;
  private final String copy;
  private TrackedEndpoint.TrackedRequest run;
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

  /**
   * Creates an attempt that has no connection yet.
   *
   * @param copy memory that the run goes on from, null for none
   */
  Attempt(RelayCall call, Choice choice, String copy) {
    this.call = call;
    this.state = call.state();
    this.facts = call.facts();
    this.progress = call.progress();
    this.answer = call.answer();
    this.copy = copy;
    this.endpoint = choice.endpoint();
    this.baseMillis = choice.baseMillis();
    this.run = endpoint.startRequest(facts.work());
  }

  String endpointId() {
    return endpoint.id();
  }

  private boolean active() {
    return call.isCurrent(this) && !closed;
  }

  @Override
  public void connected(EndpointConnection opened) {
    long now = state.clock().millis();
    if (!active()) {
      close();
      opened.unused();
      return;
    }
    boolean expired = call.leftMillis() <= 0;
    if (expired || !endpoint.isUsable(now) || (call.needsKey() && !state.trustsKeys())) {
      close();
      opened.unused();
      if (expired) {
        call.expired();
      } else if (call.needsKey() && !state.trustsKeys()) {
        call.giveUp(Refusal.KEYS_TOO_OLD);
      } else {
        call.again(RetryReason.ENDPOINT_LEAVING, Refusal.NO_ENDPOINT);
      }
      return;
    }
    connection = opened;
    if (opened.fresh()) {
      state.crashes().accepted(endpoint);
    }
    progress.sends++;
    progress.mayHaveRun += copy == null ? 1 : 0;
    sentMillis = now;
    progressMillis = now;
    long resumeAfter = progress.begun ? progress.lastEvent : -1;
    connection.send(
        call.forwarding()
            .request(facts, endpoint.registration(), call.leftMillis(), resumeAfter, copy),
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
    run.recordFailure(state.clock().millis());
    close();
    if (wanted) {
      note("not-connected", reason);
      call.again(RetryReason.UNREACHABLE, Refusal.UNREACHABLE);
    }
  }

  // -------------------------------------------------------------------------------------------
  // Silence
  // -------------------------------------------------------------------------------------------

  private long firstSilenceMillis() {
    Route route = facts.route();
    if (!route.isRepeatable() || progress.mayHaveRun >= route.maxAttempts()) {
      return 0;
    }
    if (route.kind() == CallKind.STREAM) {
      return Math.max(STREAM_SILENCE_MILLIS, (long) (2 * baseMillis));
    }
    long share = (long) (ANSWER_SILENCE_SHARE * call.leftMillis());
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
    boolean others = now - endpoint.lastProgressMillis() < STREAM_SILENCE_MILLIS;
    long left = progressMillis + STREAM_STARVED_MILLIS - now;
    if (streams && others && left > 0) {
      // The endpoint works on others' prompts; sending this one elsewhere would only add work.
      watchSilence(left);
      return;
    }
    note("silent", "no progress in time");
    run.recordFailure(state.clock().millis());
    abandon();
    call.again(RetryReason.SILENT, Refusal.EXPIRED);
  }

  // -------------------------------------------------------------------------------------------
  // The answer
  // -------------------------------------------------------------------------------------------

  @Override
  public void head(HttpResponse response) {
    status = response.status().code();
    headers = response.headers();
    notExecuted = headers.contains(call.names().notExecuted()) || status == MISDIRECTED;
    boolean signed = headers.contains(call.names().signature());
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
    endpoint.recordProgress(progressMillis);
    byte[] part = ByteBufUtil.getBytes(bytes);
    if (streaming) {
      boolean fits = splitter.add(part, this::event);
      if (!fits && active()) {
        spoilt("event too large");
      }
      return;
    }
    body.writeBytes(part);
    if (body.size() > MAX_ANSWER_BYTES) {
      spoilt("answer too large");
    }
  }

  private void event(byte[] bytes, long id) {
    if (!active()) {
      return;
    }
    if (id >= 0 && progress.lastEvent >= 0 && id != progress.lastEvent + 1) {
      spoilt("event " + id + " after event " + progress.lastEvent);
      return;
    }
    if (!progress.begun) {
      progress.begun = true;
      answer.begin(status, call.forwarding().answer(headers));
      answer.onWritable(call::callerCaughtUp);
    }
    long now = state.clock().millis();
    if (progress.firstMillis < 0) {
      progress.firstMillis = now - facts.request().arrivedMillis();
    }
    run.recordFirstResponse(now - sentMillis, baseMillis, now);
    call.countUsage();
    if (id >= 0) {
      progress.lastEvent = id;
    }
    answer.part(bytes);
    if (!answer.writable()) {
      connection.reading(false);
    }
    boolean mayGoOn =
        facts.route().isRepeatable() && progress.mayHaveRun < facts.route().maxAttempts();
    watchSilence(mayGoOn ? STREAM_SILENCE_MILLIS : 0);
  }

  /** Reads on, as the caller has taken what was sent. */
  void callerCaughtUp() {
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
      run.recordFailure(now);
    } else {
      run.recordFirstResponse(now - sentMillis, baseMillis, now);
    }
    close();
    call.countUsage();
    boolean more = progress.mayHaveRun < facts.route().maxAttempts();
    if (serverError && facts.route().kind() == CallKind.IDEMPOTENT && more) {
      note("error", "status " + status);
      againOr(RetryReason.ENDPOINT_ERROR, this::passOn);
      return;
    }
    passOn();
  }

  /** Repeats the request if allowed; else does what is given. */
  private void againOr(RetryReason reason, Runnable otherwise) {
    boolean time = call.leftMillis() > RelayCall.MIN_LEFT_MILLIS;
    if (!time || !state.budget(facts.service()).tryRetry()) {
      otherwise.run();
      return;
    }
    state.metrics().repeated(reason.code());
    call.attempt();
  }

  private void passOn() {
    boolean claimsNotRun = status == 429 || status == 503 || status == 408;
    if (claimsNotRun) {
      // The endpoint did not state that the request has not run, so neither may the relay.
      note("error", "status " + status);
      call.giveUp(Refusal.ANSWER_LOST);
      return;
    }
    if (progress.firstMillis < 0) {
      progress.firstMillis = state.clock().millis() - facts.request().arrivedMillis();
    }
    state.metrics().answered(facts.service(), status, progress.firstMillis);
    call.finish("answered", status, endpoint.id());
    answer.whole(status, call.forwarding().answer(headers), body.toByteArray());
  }

  private void endStream() {
    if (splitter.hasPartialEvent()) {
      spoilt("stream ended within an event");
      return;
    }
    if (!progress.begun) {
      spoilt("stream without events");
      return;
    }
    close();
    noteLength();
    state.metrics().answered(facts.service(), status, progress.firstMillis);
    call.finish("answered", status, endpoint.id());
    answer.end();
  }

  private void noteLength() {
    int stated = facts.statedTokens() - facts.work().promptTokens();
    long tokens = progress.lastEvent * state.eventTokens(facts.service());
    if (!facts.request().headers().contains(call.names().lastEvent())) {
      state.lengths().recordAnswer(facts.route().name(), stated, tokens);
    }
  }

  // -------------------------------------------------------------------------------------------
  // Moving
  // -------------------------------------------------------------------------------------------

  @Override
  public void move() {
    Optional<StreamMigrator> moves = state.moves(facts.service());
    if (!active() || !progress.begun || moving || moves.isEmpty() || facts.id().isEmpty()) {
      return;
    }
    Optional<Choice> target = moveTarget();
    if (target.isEmpty() || !state.budget(facts.service()).tryRetry()) {
      return;
    }
    moving = true;
    HostPort source = endpoint.registration().address();
    HostPort to = target.get().endpoint().registration().address();
    moves
        .get()
        .migrate(source, facts.id(), to)
        .whenComplete((moved, failure) -> moved(moves.get(), target.get(), moved, failure));
  }

  private Optional<Choice> moveTarget() {
    return state
        .chooser(facts.service())
        .choose(
            state.endpoints().forService(facts.service()),
            facts.work(),
            Set.of(endpoint.id()),
            state.clock().millis(),
            state.random());
  }

  private void moved(
      StreamMigrator moves, Choice target, Optional<String> moved, Throwable failure) {
    moving = false;
    boolean copied = failure == null && moved.isPresent();
    note(copied ? "moved" : "not-moved", "endpoint leaves");
    if (!copied) {
      if (brokenMeanwhile != null) {
        broken(brokenMeanwhile);
      }
      return;
    }
    if (!active()) {
      moves.discardCopy(endpoint.registration().address(), moved.get());
      return;
    }
    abandon();
    state.metrics().repeated(RetryReason.ENDPOINT_LEAVING.code());
    call.send(target, moved.get());
  }

  private void refused() {
    run.recordRefusal(state.clock().millis());
    close();
    progress.mayHaveRun -= copy == null ? 1 : 0;
    progress.refusals++;
    note("refused", "status " + status);
    call.again(RetryReason.REFUSED, Refusal.REFUSED_BY_ENDPOINTS);
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
    run.recordFailure(state.clock().millis());
    close();
    if (!wanted) {
      return;
    }
    note("broken", reason);
    state.crashes().lost(endpoint, facts);
    if (!facts.route().isRepeatable()) {
      call.countUsage();
      call.giveUp(Refusal.ANSWER_LOST);
      return;
    }
    call.again(RetryReason.CONNECTION_LOST, Refusal.ANSWER_LOST);
  }

  /** Gives the attempt up; the endpoint sees its connection close. */
  void abandon() {
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
        .addKeyValue("send", progress.sends)
        .addKeyValue("ms", sentMillis == 0 ? 0 : state.clock().millis() - sentMillis)
        .addKeyValue("left_ms", call.leftMillis())
        .log("attempt ended");
  }
}
