package org.heatherspread.core.record;

import java.util.Arrays;
import java.util.List;
import java.util.Objects;

/**
 * The whole answer of a plain service, kept so that a caller that asks again gets the same one.
 * Immutable; the body must not be changed.
 *
 * @param status HTTP status code
 * @param headers headers to pass on, in the endpoint's order
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record CallResponse(int status, List<Header> headers, byte[] body) {
  /**
   * One header of an answer. Immutable.
   *
   * @param name header name as the endpoint wrote it
   * @param value header value
   */
  public record Header(String name, String value) {}

  /** Copies the headers, so that the record stays immutable. */
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
