package org.heatherspread.daemon.plain;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.record.CallResponse.Header;

/**
 * A call of a plain service as sent by the caller, without headers that are not forwarded.
 * Immutable; the body must not be modified.
 *
 * @param account the client account
 * @param service name of the service
 * @param method HTTP method
 * @param path path below the service, with a leading slash
 * @param query raw query without the question mark
 * @param contentType media type of the body, if present
 * @param headers headers to forward
 * @param body complete body
 * @param preferredDomain name of the failure domain that the caller prefers
 * @param timeout time within which a response is useful to the caller
 */
@SuppressWarnings("ArrayRecordComponent")
record PlainCall(
    AccountSpec account,
    String service,
    String method,
    String path,
    Optional<String> query,
    Optional<String> contentType,
    List<Header> headers,
    byte[] body,
    Optional<String> preferredDomain,
    Duration timeout) {

  /** Returns path and query in the form used in the request line. */
  String requestTarget() {
    String fullPath = path.isEmpty() ? "/" : path;
    return query.map(text -> fullPath + "?" + text).orElse(fullPath);
  }

  /** Returns a SHA-256 digest of service, method, request target, content type and body. */
  String digest() {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String field : List.of(service, method, requestTarget(), contentType.orElse(""))) {
      byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.putBytes(body).hash().toString();
  }
}
