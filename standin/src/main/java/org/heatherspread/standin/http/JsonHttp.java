package org.heatherspread.standin.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Reads and writes JSON for the HTTP interfaces of the stand-ins. Property names are in snake case.
 *
 * <p>Stateless and thread-safe.
 */
public final class JsonHttp {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(com.fasterxml.jackson.databind.MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .build();
  private static final ObjectReader TREE_READER =
      MAPPER.readerFor(JsonNode.class).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final long MAX_BODY_BYTES = 64L << 20;
  private static final long BODY_TIMEOUT_MILLIS = 10_000;

  private JsonHttp() {}

  /** Creates an empty JSON object. */
  public static ObjectNode newObject() {
    return MAPPER.createObjectNode();
  }

  /** Serializes a value to JSON. */
  public static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("Cannot write as JSON: " + value, e);
    }
  }

  /** Parses a JSON document; fails with {@link BadRequestException} if it is malformed. */
  public static JsonNode parse(byte[] body) {
    try {
      JsonNode node = TREE_READER.readValue(body);
      if (node == null || node.isMissingNode()) {
        throw new BadRequestException("empty body");
      }
      return node;
    } catch (IOException e) {
      throw new BadRequestException(e.getMessage());
    }
  }

  /**
   * Converts JSON to a value of a type; fails with {@link BadRequestException} if it does not
   * match.
   */
  public static <T> T fromJson(JsonNode node, Class<T> type) {
    try {
      return MAPPER.treeToValue(node, type);
    } catch (JsonProcessingException | IllegalArgumentException e) {
      throw new BadRequestException(e.getMessage());
    }
  }

  /**
   * Returns a copy of a value in which the properties of a JSON object are replaced; fails with
   * {@link BadRequestException} if the patch is no object or names an unknown property.
   */
  public static <T> T applyPatch(T value, JsonNode patch, Class<T> type) {
    if (!(patch instanceof ObjectNode changes)) {
      throw new BadRequestException("an object is expected");
    }
    ObjectNode merged = MAPPER.valueToTree(value);
    merged.setAll(changes);
    return fromJson(merged, type);
  }

  /** Creates a response with a JSON body. */
  public static HttpResponse jsonResponse(int status, Object body) {
    return HttpResponse.create()
        .withStatus(status)
        .withEntity(ContentTypes.APPLICATION_JSON, toJson(body));
  }

  /** Creates an error response. */
  public static HttpResponse errorResponse(int status, String reason) {
    return jsonResponse(status, newObject().put("error", reason));
  }

  /** Creates the response of an endpoint that refuses a request before executing it. */
  public static HttpResponse notRunResponse(String reason) {
    return errorResponse(503, reason).addHeader(RawHeader.create("X-Not-Run", "true"));
  }

  /** Reads the complete body of a request. */
  public static CompletionStage<byte[]> readBody(HttpRequest request, ActorSystem<?> system) {
    return request
        .entity()
        .withSizeLimit(MAX_BODY_BYTES)
        .toStrict(BODY_TIMEOUT_MILLIS, system)
        .thenApply(e -> e.getData().toArray());
  }

  /** Returns the value of a request header, or the default if it is absent. */
  public static String header(HttpRequest request, String name, String defaultValue) {
    return request.getHeader(name).map(h -> h.value()).orElse(defaultValue);
  }

  /** Returns the value of a numeric request header, or the default if it is absent. */
  public static long header(HttpRequest request, String name, long defaultValue) {
    return parseNumber(header(request, name, Long.toString(defaultValue)));
  }

  /** Returns the value of a numeric query parameter, or the default if it is absent. */
  public static long queryParameter(HttpRequest request, String name, long defaultValue) {
    return request.getUri().query().get(name).map(JsonHttp::parseNumber).orElse(defaultValue);
  }

  private static long parseNumber(String text) {
    try {
      return Long.parseLong(text.strip());
    } catch (NumberFormatException e) {
      throw new BadRequestException("not a number: " + text);
    }
  }
}
