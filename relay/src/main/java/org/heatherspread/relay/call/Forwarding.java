package org.heatherspread.relay.call;

import io.netty.buffer.Unpooled;
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
 * Rewrites heads between callers and endpoints: drops what concerns one connection only and what
 * only the system may set, and adds what endpoints need. Immutable.
 */
final class Forwarding {
  private static final Set<String> CONNECTION_HEADERS =
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

  private final RelayHeaders names;
  private final Set<String> notForwarded;

  private Forwarding(RelayHeaders names, Set<String> notForwarded) {
    this.names = names;
    this.notForwarded = notForwarded;
  }

  static Forwarding create(RelayHeaders names) {
    Set<String> dropped = new HashSet<>(CONNECTION_HEADERS);
    dropped.add("authorization");
    for (String reserved : names.reserved()) {
      dropped.add(reserved.toLowerCase(Locale.ROOT));
    }
    return new Forwarding(names, dropped);
  }

  /**
   * Makes the request for an endpoint.
   *
   * @param lastEvent id after which a stream goes on, -1 to leave the caller's own
   * @param copy memory that the run goes on from, null for none
   */
  FullHttpRequest request(
      CallFacts facts, RegisteredEndpoint endpoint, long leftMillis, long lastEvent, String copy) {
    var sent = facts.request();
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            sent.method(),
            sent.target(),
            Unpooled.wrappedBuffer(sent.body()),
            copy(sent.headers(), notForwarded),
            new DefaultHttpHeaders());
    HttpHeaders headers = request.headers();
    boolean hasBody =
        sent.body().length > 0 || sent.headers().contains(HttpHeaderNames.CONTENT_LENGTH);
    if (hasBody) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, sent.body().length);
    }
    headers.set(names.deadline(), Long.toString(leftMillis));
    headers.set(names.expectedEndpoint(), endpoint.id());
    if (!facts.account().isEmpty()) {
      headers.set(names.account(), facts.account());
    }
    if (!facts.work().segments().isEmpty()) {
      headers.set(names.urgency(), Integer.toString(Math.min(9, facts.urgency())));
    }
    if (copy != null) {
      headers.set(names.continueFrom(), copy);
    }
    if (lastEvent >= 0) {
      headers.set(names.lastEvent(), Long.toString(lastEvent));
    }
    return request;
  }

  /** Returns the headers of an endpoint's answer that the caller gets. */
  HttpHeaders answer(HttpHeaders headers) {
    return copy(headers, CONNECTION_HEADERS);
  }

  private static HttpHeaders copy(HttpHeaders headers, Set<String> dropped) {
    Set<String> named = new HashSet<>();
    for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : value.split(",")) {
        named.add(name.trim().toLowerCase(Locale.ROOT));
      }
    }
    HttpHeaders copy = new DefaultHttpHeaders();
    for (Map.Entry<String, String> header : headers) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!dropped.contains(name) && !named.contains(name)) {
        copy.add(header.getKey(), header.getValue());
      }
    }
    return copy;
  }
}
