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
 * A call of a plain service as the caller sent it, without headers that end at this hop. Immutable;
 * the body must not be changed.
 *
 * @param account the client account
 * @param service name of the service
 * @param method HTTP method
 * @param path path below the service, with its leading slash
 * @param query raw query, without the question mark
 * @param contentType media type of the body, if there is one
 * @param headers headers to pass on
 * @param body the whole body
 * @param preferredDomain name of the failure domain the caller prefers
 * @param timeout interval in which the answer is useful
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

  /** Returns path and query as they go into the request line. */
  String requestTarget() {
    String fullPath = path.isEmpty() ? "/" : path;
    return query.map(text -> fullPath + "?" + text).orElse(fullPath);
  }

  /** Returns a SHA-256 digest that tells this call from any other. */
  String digest() {
    Hasher hasher = Hashing.sha256().newHasher();
    for (String part : List.of(service, method, requestTarget(), contentType.orElse(""))) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      hasher.putInt(bytes.length).putBytes(bytes);
    }
    return hasher.putBytes(body).hash().toString();
  }
}
