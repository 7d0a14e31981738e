package org.heatherspread.node.peer;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Set;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.fleet.FactLog.Batch;
import org.heatherspread.core.fleet.FactLog.Position;
import org.heatherspread.core.fleet.RecentDemand;
import org.heatherspread.core.fleet.RecentOutcomes;
import org.heatherspread.core.limit.EndpointLimit;
import org.heatherspread.core.limit.LimitObservation;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.RateLimit;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.store.SharedReadResult;
import org.heatherspread.core.store.SharedRow;
import org.heatherspread.core.store.StorePosition;
import org.heatherspread.core.stream.StreamOrigin;

/**
 * Paths, status codes and JSON format of calls between daemons. Field names are short, as tables
 * are sent often; missing fields are read as empty or zero. Stateless.
 */
final class PeerFormat {
  /** Path of admission requests to a limit owner. */
  static final String LIMIT_PATH = "/v1/limit";

  /** Path on which a new limit owner asks the previous one to release a limit. */
  static final String LIMIT_RELEASE_PATH = "/v1/limit-release";

  /** Path of admission requests to the owner of an endpoint's limit. */
  static final String ENDPOINT_LIMIT_PATH = "/v1/endpoint-limit";

  /** Path on which a new owner asks the previous one to release an endpoint's limit. */
  static final String ENDPOINT_LIMIT_RELEASE_PATH = "/v1/endpoint-limit-release";

  /** Path on which daemons of earlier versions send newly observed limits of endpoints. */
  static final String LIMIT_OBSERVATIONS_PATH = "/v1/endpoint-limit-observations";

  /** Path on which daemons of earlier versions send new evidence on what crashes endpoints. */
  static final String CRASH_EVIDENCE_PATH = "/v1/crash-evidence";

  /** Path of long polls for changes of a table. */
  static final String CHANGES_PATH = "/v1/changes";

  /** Path on which a daemon sends its loads and facts and receives those of all others. */
  static final String LOADS_PATH = "/v1/loads";

  /** Path of the summed loads and the facts of a group of daemons. */
  static final String DOMAIN_LOADS_PATH = "/v1/domain-loads";

  /** Path on which a daemon sends origins of streams for which the receiver keeps a copy. */
  static final String STREAM_ORIGINS_PATH = "/v1/stream-origins";

  /** Path of lookups of the origin of a stream. */
  static final String STREAM_ORIGIN_PATH = "/v1/stream-origin";

  /** Status returned by a daemon that does not read for its failure domain. */
  static final int NOT_READER = 409;

  /** Status returned by a daemon that no longer has all requested changes. */
  static final int HISTORY_LOST = 410;

  /** Status returned if the changes exceed the size limit of a response. */
  static final int TOO_LARGE = 413;

  private static final ObjectMapper MAPPER =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  private static final TypeReference<List<CrashEvidence>> CRASH_EVIDENCE = new TypeReference<>() {};
  private static final TypeReference<LimitObservations> LIMIT_OBSERVATIONS =
      new TypeReference<>() {};

  /** Steps in which weights are written, as each digit is sent several times a second. */
  private static final double ROUNDING = 100;

  private static final String KNOWN = "known";
  private static final String INFERRED = "inferred";
  private static final String URGENCY = "urgency";
  private static final String MAX_WAIT = "max-wait";
  private static final String CLAIMED = "claimed";
  private static final String AMPLE = "ample";

  private static final TypeReference<List<SharedStreamOrigins.AttemptOrigin>> STREAM_ORIGINS =
      new TypeReference<>() {};

  private PeerFormat() {}

  /**
   * A request for admission under a limit.
   *
   * @param limit name of the account, empty if the limit is that of an endpoint
   * @param endpointLimit limit of the endpoint as the sender knows it, empty for an account
   * @param unreported amount that the sender has admitted without the owner
   */
  record AdmissionRequest(
      String limit,
      Optional<EndpointLimit> endpointLimit,
      LimitRequest request,
      double unreported) {
    static AdmissionRequest of(RateLimit limit, LimitRequest request, double unreported) {
      return limit instanceof EndpointLimit endpointLimit
          ? new AdmissionRequest("", Optional.of(endpointLimit), request, unreported)
          : new AdmissionRequest(limit.name(), Optional.empty(), request, unreported);
    }
  }

  static byte[] writeAdmissionRequest(AdmissionRequest request) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("amount", request.request.amount())
            .put("unreported", request.unreported);
    request.request.urgency().ifPresent(urgency -> node.put(URGENCY, urgency));
    if (request.request.maxWaitSeconds() > 0) {
      node.put(MAX_WAIT, request.request.maxWaitSeconds());
    }
    if (request.endpointLimit.isPresent()) {
      node.set("endpoint", MAPPER.valueToTree(request.endpointLimit.get()));
    } else {
      node.put("account", request.limit);
    }
    return serialize(node);
  }

  static AdmissionRequest readAdmissionRequest(byte[] body) {
    JsonNode node = parse(body);
    JsonNode endpoint = node.path("endpoint");
    Optional<EndpointLimit> endpointLimit =
        endpoint.isObject()
            ? Optional.of(MAPPER.convertValue(endpoint, EndpointLimit.class))
            : Optional.empty();
    return new AdmissionRequest(
        node.path("account").asText(),
        endpointLimit,
        readLimitRequest(node),
        node.path("unreported").asDouble());
  }

  /** Reads a request; daemons of earlier versions state neither urgency nor time. */
  private static LimitRequest readLimitRequest(JsonNode node) {
    JsonNode urgency = node.path(URGENCY);
    return new LimitRequest(
        node.path("amount").asDouble(),
        urgency.isInt() ? OptionalInt.of(urgency.asInt()) : OptionalInt.empty(),
        node.path(MAX_WAIT).asDouble());
  }

  /** A request to release a limit to its new owner. */
  record ReleaseRequest(String limit, String owner) {}

  static byte[] writeReleaseRequest(ReleaseRequest request) {
    return serialize(
        MAPPER.createObjectNode().put("account", request.limit).put("owner", request.owner));
  }

  static ReleaseRequest readReleaseRequest(byte[] body) {
    JsonNode node = parse(body);
    return new ReleaseRequest(node.path("account").asText(), node.path("owner").asText());
  }

  /** Writes the daemon that holds a limit, empty if it was released. */
  static byte[] writeHolder(Optional<String> holder) {
    ObjectNode node = MAPPER.createObjectNode();
    holder.ifPresent(daemon -> node.put("owner", daemon));
    return serialize(node);
  }

  static Optional<String> readHolder(byte[] body) {
    return readOwner(parse(body));
  }

  private static Optional<String> readOwner(JsonNode node) {
    JsonNode owner = node.path("owner");
    return owner.isTextual() ? Optional.of(owner.asText()) : Optional.empty();
  }

  static byte[] writeDecision(LimitOwnerClient.Decision decision) {
    ObjectNode node = MAPPER.createObjectNode().put("keeps", decision.decidedByOwner());
    decision.waitSeconds().ifPresent(wait -> node.put("wait", wait));
    if (decision.claimed()) {
      node.put(CLAIMED, true);
    }
    decision.owner().ifPresent(owner -> node.put("owner", owner));
    if (decision.ample()) {
      node.put(AMPLE, true);
    }
    return serialize(node);
  }

  static LimitOwnerClient.Decision readDecision(byte[] body) {
    JsonNode node = parse(body);
    JsonNode wait = node.path("wait");
    return new LimitOwnerClient.Decision(
        node.path("keeps").asBoolean(),
        wait.isNumber() ? OptionalDouble.of(wait.asDouble()) : OptionalDouble.empty(),
        node.path(CLAIMED).asBoolean(),
        readOwner(node),
        node.path(AMPLE).asBoolean());
  }

  static String changesTarget(String table, StorePosition after, Duration wait) {
    return CHANGES_PATH
        + "?table="
        + URLEncoder.encode(table, StandardCharsets.UTF_8)
        + "&after="
        + after.version()
        + "&era="
        + after.era()
        + "&wait="
        + wait.toMillis();
  }

  static byte[] writeChanges(SharedReadResult result) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("version", result.version())
            .put("era", result.position().era())
            .put("store", result.storeMillis())
            .put("age", result.ageMillis());
    for (SharedRow row : result.rows()) {
      node.withArray("rows")
          .addObject()
          .put("k", row.key())
          .put("n", row.version())
          .put("d", row.deleted())
          .put("v", Base64.getEncoder().encodeToString(row.value()));
    }
    return serialize(node);
  }

  static SharedReadResult readChanges(byte[] body) {
    JsonNode node = parse(body);
    List<SharedRow> rows = new ArrayList<>();
    for (JsonNode row : node.path("rows")) {
      rows.add(
          new SharedRow(
              row.path("k").asText(),
              Base64.getDecoder().decode(row.path("v").asText()),
              row.path("n").asLong(),
              row.path("d").asBoolean()));
    }
    return new SharedReadResult(
        rows,
        new StorePosition(node.path("era").asLong(), node.path("version").asLong()),
        node.path("store").asLong(),
        node.path("age").asLong());
  }

  static byte[] writeMemberUpdate(MemberUpdate update) {
    ObjectNode node = MAPPER.createObjectNode().put("daemon", update.daemon());
    node.set("loads", toJson(update.loads()));
    node.set("facts", MAPPER.valueToTree(update.facts()));
    node.set("received", MAPPER.valueToTree(update.received()));
    return serialize(node);
  }

  static MemberUpdate readMemberUpdate(byte[] body) {
    JsonNode node = parse(body);
    return new MemberUpdate(
        node.path("daemon").asText(),
        parseLoads(node.path("loads")),
        parseFacts(node.path("facts")),
        parsePosition(node.path("received")));
  }

  static byte[] writePosition(Position position) {
    return serialize(MAPPER.valueToTree(position));
  }

  static Position readPosition(byte[] body) {
    return parsePosition(parse(body));
  }

  static byte[] writeLoads(ExchangedLoads exchanged) {
    ObjectNode node = MAPPER.createObjectNode();
    node.set("loads", toJson(exchanged.loads()));
    exchanged.silentDaemons().forEach(node.putArray("silent")::add);
    node.set("facts", MAPPER.valueToTree(exchanged.facts()));
    return serialize(node);
  }

  static ExchangedLoads readLoads(byte[] body) {
    JsonNode node = parse(body);
    Set<String> silent = new HashSet<>();
    node.path("silent").forEach(daemon -> silent.add(daemon.asText()));
    return new ExchangedLoads(
        parseLoads(node.path("loads")), silent, parseFacts(node.path("facts")));
  }

  /** Reads facts; daemons of earlier versions send none. */
  private static Batch parseFacts(JsonNode node) {
    return node.isObject()
        ? MAPPER.convertValue(node, Batch.class)
        : new Batch(Position.START, List.of());
  }

  private static Position parsePosition(JsonNode node) {
    return node.isObject() ? MAPPER.convertValue(node, Position.class) : Position.START;
  }

  private static ObjectNode toJson(Map<String, EndpointLoad> loads) {
    ObjectNode node = MAPPER.createObjectNode();
    loads.forEach((endpoint, load) -> addLoad(node.putArray(endpoint), load));
    return node;
  }

  /** Adds the optional elements last; daemons of earlier versions read the first two. */
  private static void addLoad(ArrayNode array, EndpointLoad load) {
    array.add(load.running()).add(load.promptTokens());
    RecentOutcomes outcomes = load.outcomes();
    RecentDemand demand = load.demand();
    if (outcomes.isEmpty() && demand.tokens() == 0 && load.heldTokens() == 0) {
      return;
    }
    array
        .add(rounded(outcomes.responses()))
        .add(rounded(outcomes.logSlowness()))
        .add(rounded(outcomes.failures()))
        .add(demand.tokens())
        .add(demand.longTokens())
        .add(load.heldTokens());
  }

  private static double rounded(double value) {
    return Math.round(value * ROUNDING) / ROUNDING;
  }

  private static EndpointLoad parseLoad(JsonNode load) {
    RecentOutcomes outcomes =
        new RecentOutcomes(
            load.path(2).asDouble(), load.path(3).asDouble(), load.path(4).asDouble());
    RecentDemand demand = new RecentDemand(load.path(5).asLong(), load.path(6).asLong());
    return new EndpointLoad(
        load.path(0).asInt(), load.path(1).asLong(), outcomes, demand, load.path(7).asLong());
  }

  private static Map<String, EndpointLoad> parseLoads(JsonNode node) {
    Map<String, EndpointLoad> loads = new HashMap<>();
    node.fields().forEachRemaining(entry -> loads.put(entry.getKey(), parseLoad(entry.getValue())));
    return loads;
  }

  static List<CrashEvidence> readCrashEvidence(byte[] body) {
    return read(body, CRASH_EVIDENCE);
  }

  /**
   * Newly observed limits.
   *
   * @param daemon name of the observer
   */
  record LimitObservations(String daemon, List<LimitObservation> observations) {}

  static LimitObservations readObservations(byte[] body) {
    return read(body, LIMIT_OBSERVATIONS);
  }

  static byte[] writeStreamOrigins(List<SharedStreamOrigins.AttemptOrigin> origins) {
    return serialize(MAPPER.valueToTree(origins));
  }

  static List<SharedStreamOrigins.AttemptOrigin> readStreamOrigins(byte[] body) {
    return read(body, STREAM_ORIGINS);
  }

  /**
   * A lookup of the origin of a stream.
   *
   * @param attempt id of the attempt that began it, empty if its caller does not name it
   * @param service service at which it is to be resumed, null in requests of earlier versions
   * @param waitMillis time for which its caller still waits
   */
  record OriginQuery(String attempt, String service, long waitMillis) {}

  static byte[] writeOriginQuery(OriginQuery query) {
    return serialize(MAPPER.valueToTree(query));
  }

  static OriginQuery readOriginQuery(byte[] body) {
    return MAPPER.convertValue(parse(body), OriginQuery.class);
  }

  /**
   * Writes the reply to a lookup. Daemons of earlier versions state no service and expect only the
   * origin, an empty object if it is not known.
   */
  static byte[] writeOriginReply(OriginQuery query, OriginReply reply) {
    if (query.service() == null) {
      return serialize(
          reply.known().<JsonNode>map(MAPPER::valueToTree).orElseGet(MAPPER::createObjectNode));
    }
    ObjectNode node = MAPPER.createObjectNode();
    node.set(KNOWN, MAPPER.valueToTree(reply.known().orElse(null)));
    node.set(INFERRED, MAPPER.valueToTree(reply.inferred().orElse(null)));
    return serialize(node);
  }

  static OriginReply readOriginReply(byte[] body) {
    JsonNode node = parse(body);
    if (!node.has(INFERRED)) {
      return new OriginReply(readOrigin(node), Optional.empty());
    }
    return new OriginReply(readOrigin(node.path(KNOWN)), readOrigin(node.path(INFERRED)));
  }

  private static Optional<StreamOrigin> readOrigin(JsonNode node) {
    return node.isEmpty()
        ? Optional.empty()
        : Optional.of(MAPPER.convertValue(node, StreamOrigin.class));
  }

  private static <T> T read(byte[] body, TypeReference<T> type) {
    try {
      return MAPPER.readValue(body, type);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static JsonNode parse(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] serialize(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
