package org.heatherspread.relay.call;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.heatherspread.relay.caller.CallerRequest;
import org.heatherspread.relay.caller.ResponseWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends, logs and counts refusals by the relay. Confined to one event loop. */
final class RefusalResponder {
  private static final Logger log = LoggerFactory.getLogger(RefusalResponder.class);

  private final RelayState state;
  private final String id;
  private final CallerRequest request;
  private final ResponseWriter responseWriter;
  private String account = "";
  private double tokens;
  private String decidedBy = "";

  RefusalResponder(
      RelayState state, String id, CallerRequest request, ResponseWriter responseWriter) {
    this.state = state;
    this.id = id;
    this.request = request;
    this.responseWriter = responseWriter;
  }

  /** Sets the fields of the log line about the account and the decision on its limit. */
  void setLimitDecision(String name, double amount, String decider) {
    account = name;
    tokens = amount;
    decidedBy = decider;
  }

  /** Returns the name of the daemon that decided on the limit, empty if the request has none. */
  String limitDecidedBy() {
    return decidedBy;
  }

  /**
   * Sends a refusal as the response.
   *
   * @param retryAfterSeconds value of the {@code Retry-After} header, 0 to omit it
   */
  void refuse(Refusal reason, double retryAfterSeconds) {
    state.metrics().recordRefusal(reason);
    log.atInfo()
        .addKeyValue("id", id)
        .addKeyValue("reason", reason.code())
        .addKeyValue("status", reason.status())
        .addKeyValue("account", account)
        .addKeyValue("tokens", tokens)
        .addKeyValue("decided_by", decidedBy)
        .addKeyValue("retry_after", retryAfterSeconds)
        .addKeyValue("target", request.target())
        .addKeyValue("config", state.config().map(config -> config.version()).orElse(-1L))
        .addKeyValue("store_age_ms", state.storeFreshness().ageMillis())
        .addKeyValue("ms", state.clock().millis() - request.receivedAtMillis())
        .log("request refused");
    HttpHeaders headers =
        new DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "application/problem+json");
    if (reason == Refusal.ISOLATED) {
      // The caller should connect to another daemon.
      headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    if (!reason.concernsThisDaemonOnly() && ForwardedRequests.isForwarded(request.headers())) {
      headers.set(ForwardedRequests.ACCEPTED, "1");
    }
    if (retryAfterSeconds > 0) {
      headers.set(
          HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterSeconds));
    }
    String problem = "{\"title\":\"" + reason.code() + "\",\"status\":" + reason.status() + '}';
    responseWriter.send(reason.status(), headers, problem.getBytes(StandardCharsets.UTF_8));
  }
}
