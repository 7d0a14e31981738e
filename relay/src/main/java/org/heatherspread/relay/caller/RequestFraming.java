package org.heatherspread.relay.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;

/** Checks how a request is delimited, and estimates what its head takes. Stateless. */
final class RequestFraming {
  /** Heap of a request and its decoded head without fields. */
  private static final int HEAD_BYTES = 512;

  /** Heap of one field beside its text: an entry, two strings and their arrays. */
  static final int FIELD_BYTES = 176;

  private RequestFraming() {}

  /** Returns what is wrong with the framing of a request, null if it is unambiguous. */
  static String findError(HttpRequest request) {
    HttpHeaders headers = request.headers();
    if (!request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      return request.protocolVersion().equals(HttpVersion.HTTP_1_0) ? null : "unknown version";
    }
    if (headers.getAll(HttpHeaderNames.HOST).size() != 1) {
      return "not exactly one Host header";
    }
    if (!request.uri().startsWith("/")) {
      return "target is not a path";
    }
    boolean hasTransferEncoding = headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
    if (hasTransferEncoding && headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      return "both a length and a transfer encoding";
    }
    if (hasTransferEncoding && !isChunkedOnly(headers)) {
      return "unknown transfer encoding";
    }
    return null;
  }

  private static boolean isChunkedOnly(HttpHeaders headers) {
    var values = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    return values.size() == 1
        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(values.get(0).trim());
  }

  /** Returns the estimated heap of a head and of what is parsed from it. */
  static int estimateBytes(HttpRequest request) {
    int bytes = HEAD_BYTES + request.uri().length();
    var fields = request.headers().iteratorCharSequence();
    while (fields.hasNext()) {
      Map.Entry<CharSequence, CharSequence> field = fields.next();
      bytes += FIELD_BYTES + field.getKey().length() + field.getValue().length();
    }
    return bytes;
  }

  /** Returns the estimated heap of a head or trailers that are partly decoded. */
  static int estimateBytes(int receivedBytes, int lineFeeds) {
    return receivedBytes + lineFeeds * FIELD_BYTES;
  }
}
