package org.heatherspread.core.record;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * Complete response of a plain service, kept so that a repeated call receives the same response.
 * Immutable; the body must not be modified.
 *
 * @param status HTTP status code
 * @param headers headers to forward, in the order in which the endpoint sent them
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallResponse(int status, List<Header> headers, byte[] body) {
  /**
   * Header of a response. Immutable.
   *
   * @param name header name as sent by the endpoint
   * @param value header value
   */
  public record Header(String name, String value) {}

  /** Copies the headers. */
  public CallResponse {
    headers = List.copyOf(headers);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof CallResponse that
        && status == that.status
        && headers.equals(that.headers)
        && Arrays.equals(body, that.body);
  }

  @Override
  public int hashCode() {
    return Objects.hash(status, headers, Arrays.hashCode(body));
  }

  @Override
  public String toString() {
    return "CallResponse[status=" + status + ", bytes=" + body.length + "]";
  }
}
