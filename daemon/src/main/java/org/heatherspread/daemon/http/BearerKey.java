package org.heatherspread.daemon.http;

import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;

/** Extracts the API key from the {@code Authorization: Bearer} header (RFC 6750). Stateless. */
public final class BearerKey {
  private static final String SCHEME = "Bearer ";

  private BearerKey() {}

  /** Returns the key, or empty if the header is absent or has another scheme. */
  public static Optional<String> of(HttpRequest request) {
    Optional<HttpHeader> header = request.getHeader("Authorization");
    if (header.isEmpty() || !header.get().value().regionMatches(true, 0, SCHEME, 0, 7)) {
      return Optional.empty();
    }
    return Optional.of(header.get().value().substring(SCHEME.length()).trim());
  }
}
