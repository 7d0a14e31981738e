package org.heatherspread.daemon.plain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.heatherspread.core.record.CallResponse.Header;

/**
 * Selects the headers that are forwarded. Excluded are hop-by-hop headers (RFC 9110, section
 * 7.6.1), the caller's key and headers that the daemon sets itself. Stateless.
 */
final class HeaderFilter {
  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");
  private static final Set<String> NOT_FORWARDED =
      Set.of(
          "authorization",
          "content-length",
          "content-type",
          "date",
          "expect",
          "host",
          "server",
          "x-attempt",
          "x-deadline-ms",
          "x-execution-permit",
          "x-failure-domain",
          "x-priority",
          "x-request-id");

  private HeaderFilter() {}

  /** Returns the headers of a message that are forwarded, in their original order. */
  static List<Header> forwardable(Iterable<HttpHeader> headers) {
    Set<String> hopByHop = new HashSet<>(HOP_BY_HOP);
    for (HttpHeader header : headers) {
      if (header.is("connection")) {
        for (String name : header.value().split(",")) {
          hopByHop.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> forwarded = new ArrayList<>();
    for (HttpHeader header : headers) {
      boolean rendered = header.renderInRequests() || header.renderInResponses();
      String name = header.lowercaseName();
      if (rendered && !hopByHop.contains(name) && !NOT_FORWARDED.contains(name)) {
        forwarded.add(new Header(header.name(), header.value()));
      }
    }
    return forwarded;
  }
}
