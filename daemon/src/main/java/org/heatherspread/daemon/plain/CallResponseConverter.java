package org.heatherspread.daemon.plain;

import java.util.ArrayList;
import java.util.List;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.heatherspread.core.record.CallResponse;
import org.heatherspread.core.record.CallResponse.Header;

/** Converts the response of an endpoint to the HTTP response for the caller. Stateless. */
final class CallResponseConverter {
  private static final String CONTENT_TYPE = "Content-Type";

  private CallResponseConverter() {}

  static HttpResponse toHttpResponse(CallResponse response) {
    List<HttpHeader> headers = new ArrayList<>();
    ContentType type = ContentTypes.NO_CONTENT_TYPE;
    for (Header header : response.headers()) {
      if (header.name().equalsIgnoreCase(CONTENT_TYPE)) {
        type = ContentTypes.parse(header.value());
      } else {
        headers.add(RawHeader.create(header.name(), header.value()));
      }
    }
    return HttpResponse.create()
        .withStatus(toStatusCode(response.status()))
        .withHeaders(headers)
        .withEntity(HttpEntities.create(type, response.body()));
  }

  private static StatusCode toStatusCode(int code) {
    return StatusCodes.lookup(code)
        .orElseGet(() -> StatusCodes.custom(code, "", "", code < 400, code != 204 && code != 304));
  }
}
