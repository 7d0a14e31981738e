package org.heatherspread.relay.call;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.serving.RegisteredEndpoint;

/**
 * Rewrites message headers between callers and endpoints: removes hop-by-hop headers and, from
 * requests, credentials and reserved headers, and adds those that endpoints require. Immutable.
 */
final class HeaderRewriter {
  /** Hop-by-hop headers, and the content length, which is set anew for each message. */
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-connection",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "expect",
          "content-length");

  /** Headers between daemons, which neither endpoints nor callers get. */
  private static final Set<String> DAEMON_HEADERS =
      Set.of(
          ForwardedRequests.FORWARDED_BY,
          ForwardedRequests.REMAINING_ATTEMPTS,
          ForwardedRequests.ACCEPTED);

  private final RelayHeaderNames headerNames;
  private final Set<String> strippedHeaders;
  private final Set<String> strippedFromResponses;

  private HeaderRewriter(RelayHeaderNames headerNames, Set<String> strippedHeaders) {
    this.headerNames = headerNames;
    this.strippedFromResponses = new HashSet<>(HOP_BY_HOP_HEADERS);
    strippedFromResponses.add(ForwardedRequests.ACCEPTED.toLowerCase(Locale.ROOT));
    this.strippedHeaders = strippedHeaders;
  }

  static HeaderRewriter create(RelayHeaderNames headerNames) {
    Set<String> stripped = new HashSet<>(HOP_BY_HOP_HEADERS);
    stripped.add("authorization");
    DAEMON_HEADERS.forEach(name -> stripped.add(name.toLowerCase(Locale.ROOT)));
    for (String reserved : headerNames.reserved()) {
      stripped.add(reserved.toLowerCase(Locale.ROOT));
    }
    return new HeaderRewriter(headerNames, stripped);
  }

  /**
   * Creates the request to an endpoint.
   *
   * @param lastEventId id of the event after which a stream resumes, -1 to keep the caller's header
   * @param cacheCopy reference to the KV cache from which a migrated run resumes, null for none
   */
  FullHttpRequest endpointRequest(
      CallContext context,
      RegisteredEndpoint endpoint,
      long remainingMillis,
      long lastEventId,
      String cacheCopy) {
    FullHttpRequest request = copyRequest(context, strippedHeaders, remainingMillis);
    HttpHeaders headers = request.headers();
    headers.set(headerNames.expectedEndpoint(), endpoint.id());
    if (!context.account().isEmpty()) {
      headers.set(headerNames.account(), context.account());
    }
    if (!context.work().segments().isEmpty()) {
      headers.set(headerNames.urgency(), Integer.toString(Math.min(9, context.urgency())));
    }
    if (cacheCopy != null) {
      headers.set(headerNames.cacheCopy(), cacheCopy);
    }
    if (lastEventId >= 0) {
      headers.set(headerNames.lastEventId(), Long.toString(lastEventId));
    }
    return request;
  }

  /**
   * Creates the request to another daemon, with the caller's credentials.
   *
   * @param remainingAttempts number of endpoints to which that daemon may send it
   */
  FullHttpRequest daemonRequest(
      CallContext context, String daemon, long remainingMillis, int remainingAttempts) {
    FullHttpRequest request = copyRequest(context, HOP_BY_HOP_HEADERS, remainingMillis);
    request
        .headers()
        .set(ForwardedRequests.FORWARDED_BY, daemon)
        .set(ForwardedRequests.REMAINING_ATTEMPTS, Integer.toString(remainingAttempts));
    return request;
  }

  private FullHttpRequest copyRequest(
      CallContext context, Set<String> excluded, long remainingMillis) {
    var received = context.request();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            received.method(),
            received.target(),
            received.content().retainedDuplicate(),
            copyExcept(received.headers(), excluded),
            new DefaultHttpHeaders());
    int length = received.content().readableBytes();
    if (length > 0 || received.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
    }
    request.headers().set(headerNames.deadline(), Long.toString(remainingMillis));
    return request;
  }

  /** Returns the headers of a response that are passed on to the caller or the other daemon. */
  HttpHeaders responseHeaders(CallContext context, HttpHeaders headers) {
    HttpHeaders result = copyExcept(headers, strippedFromResponses);
    if (context.isForwarded()) {
      result.set(ForwardedRequests.ACCEPTED, "1");
    }
    return result;
  }

  private static HttpHeaders copyExcept(HttpHeaders headers, Set<String> excluded) {
    Set<String> connectionOptions = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        connectionOptions.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders result = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!excluded.contains(name) && !connectionOptions.contains(name)) {
        result.add(header.getKey(), header.getValue());
      }
    }
    return result;
  }
}
