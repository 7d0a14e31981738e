package org.heatherspread.daemon.plain;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.heatherspread.core.record.CallResponse.Header;

/**
 * Chooses the headers that are passed on: not those that end at this hop (RFC 9110, section 7.6.1),
 * not the caller's key, and not those that the daemon writes itself. Stateless.
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
  private static final Set<String> WRITTEN_HERE =
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

  /** Returns the headers of a message to pass on, in order. */
  static List<Header> forwardable(Iterable<HttpHeader> headers) {
    Set<String> dropped = new HashSet<>(HOP_BY_HOP);
    for (HttpHeader header : headers) {
      if (header.is("connection")) {
        for (String name : header.value().split(",")) {
          dropped.add(name.trim().toLowerCase(Locale.ROOT));
        }
      }
    }
    List<Header> passed = new ArrayList<>();
    for (HttpHeader header : headers) {
      boolean wire = header.renderInRequests() || header.renderInResponses();
      String name = header.lowercaseName();
      if (wire && !dropped.contains(name) && !WRITTEN_HERE.contains(name)) {
        passed.add(new Header(header.name(), header.value()));
      }
    }
    return passed;
  }
}
