package org.heatherspread.relay.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import org.heatherspread.core.serving.CallKind;
import org.heatherspread.core.stream.EventSplitter;
import org.heatherspread.relay.buffer.BufferBudget;
import org.heatherspread.relay.endpoint.ConnectionPool;
import org.heatherspread.relay.endpoint.EndpointConnection;
import org.heatherspread.relay.endpoint.ResponseListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One attempt to get the response to a request from another daemon, which chooses the endpoint,
 * retries and counts the usage. This daemon has admitted the request and keeps its deadline.
 *
 * <p>Invariants: the other daemon may send the request to as many endpoints as this one still
 * could, so nothing is retried once it was sent, unless that daemon declines it; a stream is passed
 * on in whole events. Confined to its event loop.
 */
final class ForwardedAttempt
    implements RunningAttempt,
        ConnectionPool.ConnectionListener,
        ResponseListener,
        BufferBudget.Holder {
  private static final Logger log = LoggerFactory.getLogger(ForwardedAttempt.class);

  private final RelayCall call;
  private final RelayState state;
  private final CallContext context;
  private final CallProgress progress;
  private final Forwarding.Target target;
  private final Refusal reason;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final EventSplitter splitter = EventSplitter.create(Attempt.MAX_EVENT_BYTES);
  private EndpointConnection connection;
  private HttpHeaders headers;
  private int status;
  private int executionsBefore;
  private boolean closed;

  /**
   * Creates an attempt that is not started.
   *
   * @param reason why this daemon does not serve the request, told to the caller if no other can
   */
  ForwardedAttempt(RelayCall call, Forwarding.Target target, Refusal reason) {
    this.call = call;
    this.state = call.state();
    this.context = call.context();
    this.progress = call.progress();
    this.target = target;
    this.reason = reason;
  }

  void start() {
    state.forwarding().connections().acquire(target.address(), null, Integer.MAX_VALUE, this);
  }

  private boolean isActive() {
    return call.isCurrent(this) && !closed;
  }

  @Override
  public void onConnected(EndpointConnection acquired) {
    if (!isActive()) {
      acquired.releaseUnused();
      return;
    }
    if (call.remainingMillis() <= 0) {
      acquired.releaseUnused();
      call.onDeadline();
      return;
    }
    connection = acquired;
    executionsBefore = progress.possibleExecutions;
    final int remainingAttempts = context.maxAttempts() - executionsBefore;
    progress.possibleExecutions = context.maxAttempts();
    progress.sendCount++;
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("to", target.daemon())
        .addKeyValue("reason", reason.code())
        .addKeyValue("left_ms", call.remainingMillis())
        .log("request forwarded");
    state.metrics().recordForward(reason);
    connection.send(
        call.headerRewriter()
            .daemonRequest(
                context, state.forwarding().self(), call.remainingMillis(), remainingAttempts),
        null,
        this);
  }

  @Override
  public void onConnectFailed(String failure, boolean refused) {
    if (isActive()) {
      closed = true;
      logFailure("not-connected", failure);
      call.forwardOrFail(reason);
    }
  }

  @Override
  public void onHead(HttpResponse response) {
    status = response.status().code();
    headers = response.headers();
  }

  private boolean isStream() {
    return context.route().kind() == CallKind.STREAM
        && status == 200
        && headers.contains(ForwardedRequests.ACCEPTED);
  }

  @Override
  public void onContent(ByteBuf bytes) {
    if (!isActive()) {
      return;
    }
    byte[] chunk = ByteBufUtil.getBytes(bytes);
    if (isStream()) {
      if (!splitter.add(chunk, (event, id) -> forward(event)) && isActive()) {
        reject("event too large");
      }
      return;
    }
    if (body.size() + chunk.length > Attempt.MAX_BODY_BYTES) {
      reject("response exceeds " + Attempt.MAX_BODY_BYTES + " bytes");
    } else if (!state.buffers().reserve(this, chunk.length)) {
      evict();
    } else {
      body.writeBytes(chunk);
    }
  }

  private void forward(byte[] event) {
    if (!progress.streamStarted) {
      progress.streamStarted = true;
      recordFirstResponse();
      call.responseWriter().start(status, call.headerRewriter().responseHeaders(context, headers));
      call.responseWriter().onWritable(call::onCallerWritable);
    }
    call.responseWriter().write(event);
    if (!call.responseWriter().isWritable()) {
      connection.setReading(false);
    }
  }

  private void recordFirstResponse() {
    progress.firstResponseMillis = state.clock().millis() - context.request().receivedAtMillis();
  }

  @Override
  public void resumeReading() {
    if (isActive() && connection != null) {
      connection.setReading(true);
    }
  }

  @Override
  public void onComplete() {
    if (!isActive()) {
      return;
    }
    close();
    if (!headers.contains(ForwardedRequests.ACCEPTED)) {
      if (!ForwardedRequests.isDecline(status)) {
        logFailure("broken", "status " + status + " without a header of the outcome");
        call.fail(Refusal.ANSWER_LOST);
        return;
      }
      progress.possibleExecutions = executionsBefore;
      logFailure("declined", "status " + status);
      call.forwardOrFail(reason);
      return;
    }
    if (progress.streamStarted) {
      completeStream();
      return;
    }
    if (executionsBefore > 0 && Refusal.promisesNoExecution(status)) {
      // The other daemon does not know that this one had sent the request to an endpoint.
      logFailure("refused", "status " + status);
      call.fail(Refusal.ANSWER_LOST);
      return;
    }
    recordFirstResponse();
    state.metrics().recordResponse(context.service(), status, progress.firstResponseMillis);
    call.finish("answered", status, "");
    call.responseWriter()
        .send(status, call.headerRewriter().responseHeaders(context, headers), body.toByteArray());
  }

  private void completeStream() {
    if (splitter.hasPartialEvent()) {
      call.fail(Refusal.ANSWER_LOST);
      return;
    }
    state.metrics().recordResponse(context.service(), status, progress.firstResponseMillis);
    call.finish("answered", status, "");
    call.responseWriter().complete();
  }

  @Override
  public void evict() {
    reject("responses in progress exceed their buffers");
  }

  private void reject(String failure) {
    connection.abort();
    onFailure(failure);
  }

  @Override
  public void onFailure(String failure) {
    if (isActive()) {
      close();
      logFailure("broken", failure);
      call.fail(Refusal.ANSWER_LOST);
    }
  }

  @Override
  public void abort() {
    close();
    if (connection != null) {
      connection.abort();
    }
  }

  private void close() {
    closed = true;
    state.buffers().release(this);
  }

  @Override
  public String endpointId() {
    return "";
  }

  private void logFailure(String outcome, String failure) {
    log.atInfo()
        .addKeyValue("id", context.id())
        .addKeyValue("to", target.daemon())
        .addKeyValue("outcome", outcome)
        .addKeyValue("reason", failure)
        .addKeyValue("left_ms", call.remainingMillis())
        .log("forwarding ended");
  }
}
