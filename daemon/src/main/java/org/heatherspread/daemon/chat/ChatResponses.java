package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.record.CallOutcome;
import org.heatherspread.core.request.RequestPhase;
import org.heatherspread.daemon.record.RecordOutcome;
import org.heatherspread.daemon.record.RequestRecord;

/** Builds the HTTP responses of the caller API. Stateless and thread-safe. */
final class ChatResponses {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final ContentType EVENT_STREAM = ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM);

  private ChatResponses() {}

  static HttpResponse stream(String requestId, Source<ByteString, ?> events) {
    return HttpResponse.create()
        .addHeader(requestIdHeader(requestId))
        .addHeader(RawHeader.create("Cache-Control", "no-store"))
        .withEntity(HttpEntities.createChunked(EVENT_STREAM, events));
  }

  static HttpResponse completion(String requestId, byte[] json) {
    return HttpResponse.create()
        .addHeader(requestIdHeader(requestId))
        .withEntity(ContentTypes.APPLICATION_JSON, json);
  }

  static HttpResponse modelList(Configuration configuration, AccountSpec account) {
    ObjectNode body = JSON.createObjectNode();
    body.put("object", "list");
    ArrayNode data = body.putArray("data");
    for (ServiceSpec service : configuration.services().values()) {
      if (service.kind() == ServiceKind.MODEL && account.mayCall(service.name())) {
        addModels(data, service);
      }
    }
    return json(body);
  }

  private static void addModels(ArrayNode data, ServiceSpec service) {
    boolean active = false;
    for (ModelVersion version : service.versions()) {
      if (version.state() != VersionState.ACTIVE) {
        continue;
      }
      active = true;
      addModel(data, service.name() + "@" + version.version());
      for (String adapter : version.adapters()) {
        addModel(data, service.name() + "@" + version.version() + ":" + adapter);
      }
    }
    if (active) {
      addModel(data, service.name());
    }
  }

  private static void addModel(ArrayNode data, String id) {
    data.addObject()
        .put("id", id)
        .put("object", "model")
        .put("created", 0)
        .put("owned_by", "heatherspread");
  }

  static HttpResponse running(String id, RequestPhase phase) {
    ObjectNode body = JSON.createObjectNode();
    body.put("request_id", id);
    body.put("state", "running");
    body.put("phase", phase.name().toLowerCase(Locale.ROOT));
    return json(body).addHeader(requestIdHeader(id));
  }

  static HttpResponse requestOutcome(RequestRecord record) {
    if (record.outcome().isEmpty()) {
      return running(record.requestId(), record.progress().phase());
    }
    RecordOutcome outcome = record.outcome().get();
    ObjectNode body = JSON.createObjectNode();
    body.put("request_id", record.requestId());
    if (outcome.error().isEmpty()) {
      body.put("state", "answered");
    } else {
      body.put("state", outcome.execution().name().toLowerCase(Locale.ROOT));
      body.put("kind", outcome.error().get().code());
    }
    return json(body).addHeader(requestIdHeader(record.requestId()));
  }

  /** Returns the state of a non-repeatable call of a plain service. */
  static HttpResponse callOutcome(String id, CallOutcome outcome) {
    String state =
        switch (outcome.state()) {
          case IN_PROGRESS -> "running";
          case ANSWERED -> "answered";
          case NOT_RUN -> "not_run";
          case UNKNOWN -> "unknown";
          case OTHER_REQUEST, NOT_HELD -> throw ChatService.notFound();
        };
    ObjectNode body = JSON.createObjectNode();
    body.put("request_id", id);
    body.put("state", state);
    return json(body).addHeader(requestIdHeader(id));
  }

  static HttpResponse cancelled(String id) {
    ObjectNode body = JSON.createObjectNode();
    body.put("request_id", id);
    body.put("state", "cancelled");
    return json(body).addHeader(requestIdHeader(id));
  }

  /** Parses the header {@code Last-Event-ID}; returns 0 if it is absent or blank. */
  static long parseLastEventId(HttpRequest request) {
    Optional<HttpHeader> header = request.getHeader("Last-Event-ID");
    if (header.isEmpty() || header.get().value().isBlank()) {
      return 0;
    }
    try {
      return Long.parseUnsignedLong(header.get().value().trim());
    } catch (NumberFormatException e) {
      throw ServingException.of(
          ErrorKind.MALFORMED_REQUEST, "Last-Event-ID must be an unsigned integer");
    }
  }

  private static HttpHeader requestIdHeader(String id) {
    return RawHeader.create("X-Request-Id", id);
  }

  private static HttpResponse json(ObjectNode body) {
    try {
      return HttpResponse.create()
          .withEntity(ContentTypes.APPLICATION_JSON, JSON.writeValueAsBytes(body));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }
}
