package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.heatherspread.core.config.AccountSpec;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.config.ModelVersion;
import org.heatherspread.core.config.ServiceKind;
import org.heatherspread.core.config.ServiceSpec;
import org.heatherspread.core.config.VersionState;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.routing.PrefixHashes;

/**
 * Parses and validates the headers and body of chat completion requests, so that invalid input
 * never reaches an engine.
 *
 * <p>Immutable and thread-safe.
 */
final class ChatCallParser {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ChatSettings settings;

  private ChatCallParser(ChatSettings settings) {
    this.settings = settings;
  }

  static ChatCallParser create(ChatSettings settings) {
    return new ChatCallParser(settings);
  }

  /**
   * Parses a new request.
   *
   * @throws ServingException if a header or the body is invalid, or the model is unknown or not
   *     allowed for the account
   */
  ChatCall parse(
      HttpRequest request, byte[] body, AccountSpec account, Configuration configuration) {
    int priority =
        Math.min(account.priority(), parseIntHeader(request, "X-Priority", account.priority()));
    int requestedMillis =
        parseIntHeader(request, "X-Deadline-Ms", (int) settings.defaultDeadline().toMillis());
    if (requestedMillis <= 0) {
      throw malformedRequest("X-Deadline-Ms must be positive");
    }
    long millis = Math.min(requestedMillis, settings.maxDeadline().toMillis());
    Optional<String> domain = request.getHeader("X-Failure-Domain").map(HttpHeader::value);
    return parse(body, account, configuration, priority, Duration.ofMillis(millis), domain);
  }

  /** Parses the body stored in a request record. */
  ChatCall parse(
      byte[] body,
      AccountSpec account,
      Configuration configuration,
      int priority,
      Duration remaining,
      Optional<String> domain) {
    ObjectNode tree = parseJson(body);
    String modelName = requireText(tree, "model");
    ModelName name = ModelName.parse(modelName);
    ServiceSpec service = findService(configuration, name, account);
    ModelVersion version = findActiveVersion(service, name);
    final boolean stream = parseFlag(tree, "stream");
    final boolean includeUsage = tree.path("stream_options").path("include_usage").asBoolean(false);
    final byte[] prompt = PrefixHashes.render(parseMessages(tree.path("messages")));
    int maxTokens = parseMaxTokens(tree);
    rewriteForEngine(
        tree, service.name() + "@" + version.version() + name.adapterSuffix(), maxTokens);
    return new ChatCall(
        service.name(),
        version.version(),
        name.adapter(),
        modelName,
        stream,
        includeUsage,
        maxTokens,
        priority,
        remaining,
        domain,
        prompt,
        body,
        tree);
  }

  /**
   * Rewrites the caller's body to an engine request, which always asks for a stream with token
   * counts.
   */
  private static void rewriteForEngine(ObjectNode tree, String model, int maxTokens) {
    tree.put("model", model);
    tree.put("stream", true);
    tree.putObject("stream_options").put("include_usage", true);
    tree.put("max_tokens", maxTokens);
    tree.remove("max_completion_tokens");
    tree.remove("continue_from");
  }

  private static ServiceSpec findService(
      Configuration configuration, ModelName name, AccountSpec account) {
    ServiceSpec service = configuration.services().get(name.service());
    if (service == null || service.kind() != ServiceKind.MODEL) {
      throw ServingException.of(
          ErrorKind.UNKNOWN_MODEL, "no model service is named " + name.service());
    }
    if (!account.mayCall(service.name())) {
      throw ServingException.of(
          ErrorKind.FORBIDDEN, "the client account may not call " + service.name());
    }
    return service;
  }

  private static ModelVersion findActiveVersion(ServiceSpec service, ModelName name) {
    List<ModelVersion> versions = service.versions();
    for (int i = versions.size() - 1; i >= 0; i--) {
      ModelVersion candidate = versions.get(i);
      if (candidate.state() == VersionState.ACTIVE && name.matches(candidate)) {
        return candidate;
      }
    }
    throw ServingException.of(
        ErrorKind.UNKNOWN_MODEL, "the service has no active version and adapter as asked for");
  }

  private static ObjectNode parseJson(byte[] body) {
    try {
      JsonNode tree = JSON.readTree(body);
      if (tree instanceof ObjectNode object) {
        return object;
      }
    } catch (IOException e) {
      throw malformedRequest("the body is not JSON");
    }
    throw malformedRequest("the body must be a JSON object");
  }

  private static String requireText(JsonNode tree, String field) {
    JsonNode value = tree.path(field);
    if (!value.isTextual() || value.textValue().isEmpty()) {
      throw malformedRequest(field + " must be a non-empty string");
    }
    return value.textValue();
  }

  private static boolean parseFlag(JsonNode tree, String field) {
    JsonNode value = tree.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw malformedRequest(field + " must be true or false");
    }
    return value.booleanValue();
  }

  private int parseMaxTokens(JsonNode tree) {
    JsonNode value = tree.path("max_completion_tokens");
    if (value.isMissingNode() || value.isNull()) {
      value = tree.path("max_tokens");
    }
    if (value.isMissingNode() || value.isNull()) {
      return settings.defaultMaxTokens();
    }
    if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 1) {
      throw malformedRequest("max_tokens must be a positive integer");
    }
    return value.intValue();
  }

  private static List<PrefixHashes.Message> parseMessages(JsonNode array) {
    if (!array.isArray() || array.isEmpty()) {
      throw malformedRequest("messages must be a list that is not empty");
    }
    List<PrefixHashes.Message> messages = new ArrayList<>();
    for (JsonNode m : array) {
      if (!m.isObject()) {
        throw malformedRequest("each message must be an object");
      }
      messages.add(
          new PrefixHashes.Message(requireText(m, "role"), parseContent(m.path("content"))));
    }
    return messages;
  }

  private static String parseContent(JsonNode content) {
    if (content.isTextual()) {
      return content.textValue();
    }
    if (content.isMissingNode() || content.isNull()) {
      return "";
    }
    if (!content.isArray()) {
      throw malformedRequest("content must be a string or an array of parts");
    }
    StringBuilder joined = new StringBuilder();
    for (JsonNode part : content) {
      joined.append(part.path("text").asText(""));
    }
    return joined.toString();
  }

  private static int parseIntHeader(HttpRequest request, String header, int fallback) {
    Optional<HttpHeader> found = request.getHeader(header);
    if (found.isEmpty()) {
      return fallback;
    }
    try {
      return Integer.parseInt(found.get().value().trim());
    } catch (NumberFormatException e) {
      throw malformedRequest(header + " must be an integer");
    }
  }

  private static ServingException malformedRequest(String detail) {
    return ServingException.of(ErrorKind.MALFORMED_REQUEST, detail);
  }
}
