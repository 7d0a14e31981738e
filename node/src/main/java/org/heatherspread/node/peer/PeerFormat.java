package org.heatherspread.node.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.heatherspread.core.fleet.EndpointLoad;
import org.heatherspread.core.limit.LimitOwnerClient;
import org.heatherspread.core.store.SharedReading;
import org.heatherspread.core.store.SharedRow;

/** The form of calls between daemons: short names, as tables are sent often. Stateless. */
final class PeerFormat {
  /** Path on which the keeper of a limit is asked. */
  static final String LIMIT_PATH = "/v1/limit";

  /** Path on which changes of a table are waited for. */
  static final String CHANGES_PATH = "/v1/changes";

  /** Path on which a daemon tells its loads and hears those of all others. */
  static final String LOADS_PATH = "/v1/loads";

  /** Path on which the loads of a failure domain are asked for. */
  static final String DOMAIN_LOADS_PATH = "/v1/domain-loads";

  /** Status of an answer by a daemon that does not read for its failure domain. */
  static final int NOT_READER = 409;

  /** Status of an answer by a daemon that does not know all changes asked for. */
  static final int HISTORY_LOST = 410;

  /** Status where the changes are too large to be passed on. */
  static final int TOO_LARGE = 413;

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private PeerFormat() {}

  // ---------------------------------------------------------------------------------------------
  // Limits
  // ---------------------------------------------------------------------------------------------

  /** A question to the keeper of a limit. */
  record AdmissionRequest(String account, double amount) {}

  static byte[] writeAdmissionRequest(AdmissionRequest question) {
    return bytes(
        MAPPER.createObjectNode().put("account", question.account).put("amount", question.amount));
  }

  static AdmissionRequest readAdmissionRequest(byte[] body) {
    JsonNode node = read(body);
    return new AdmissionRequest(node.path("account").asText(), node.path("amount").asDouble());
  }

  static byte[] writeDecision(LimitOwnerClient.Decision answer) {
    ObjectNode node = MAPPER.createObjectNode().put("keeps", answer.decidedByOwner());
    answer.waitSeconds().ifPresent(wait -> node.put("wait", wait));
    return bytes(node);
  }

  static LimitOwnerClient.Decision readDecision(byte[] body) {
    JsonNode node = read(body);
    JsonNode wait = node.path("wait");
    return new LimitOwnerClient.Decision(
        node.path("keeps").asBoolean(),
        wait.isNumber() ? OptionalDouble.of(wait.asDouble()) : OptionalDouble.empty());
  }

  // ---------------------------------------------------------------------------------------------
  // Tables
  // ---------------------------------------------------------------------------------------------

  static String changesTarget(String table, long after, Duration wait) {
    return CHANGES_PATH
        + "?table="
        + URLEncoder.encode(table, StandardCharsets.UTF_8)
        + "&after="
        + after
        + "&wait="
        + wait.toMillis();
  }

  static byte[] writeChanges(SharedReading reading) {
    ObjectNode node =
        MAPPER
            .createObjectNode()
            .put("version", reading.version())
            .put("store", reading.storeMillis())
            .put("age", reading.ageMillis());
    for (SharedRow row : reading.rows()) {
      node.withArray("rows")
          .addObject()
          .put("k", row.key())
          .put("n", row.version())
          .put("d", row.deleted())
          .put("v", Base64.getEncoder().encodeToString(row.value()));
    }
    return bytes(node);
  }

  static SharedReading readChanges(byte[] body) {
    JsonNode node = read(body);
    List<SharedRow> rows = new ArrayList<>();
    for (JsonNode row : node.path("rows")) {
      rows.add(
          new SharedRow(
              row.path("k").asText(),
              Base64.getDecoder().decode(row.path("v").asText()),
              row.path("n").asLong(),
              row.path("d").asBoolean()));
    }
    return new SharedReading(
        rows,
        node.path("version").asLong(),
        node.path("store").asLong(),
        node.path("age").asLong());
  }

  // ---------------------------------------------------------------------------------------------
  // Loads
  // ---------------------------------------------------------------------------------------------

  /** The loads that a daemon tells. */
  record MemberLoads(String daemon, Map<String, EndpointLoad> loads) {}

  static byte[] writeMemberLoads(MemberLoads told) {
    return bytes(
        MAPPER.createObjectNode().put("daemon", told.daemon).set("loads", tree(told.loads)));
  }

  static MemberLoads readMemberLoads(byte[] body) {
    JsonNode node = read(body);
    return new MemberLoads(node.path("daemon").asText(), loads(node.path("loads")));
  }

  static byte[] writeLoads(Map<String, EndpointLoad> loads) {
    return bytes(tree(loads));
  }

  static Map<String, EndpointLoad> readLoads(byte[] body) {
    return loads(read(body));
  }

  private static ObjectNode tree(Map<String, EndpointLoad> loads) {
    ObjectNode node = MAPPER.createObjectNode();
    loads.forEach(
        (endpoint, load) -> node.putArray(endpoint).add(load.running()).add(load.promptTokens()));
    return node;
  }

  private static Map<String, EndpointLoad> loads(JsonNode node) {
    Map<String, EndpointLoad> loads = new HashMap<>();
    node.fields()
        .forEachRemaining(
            entry -> {
              JsonNode load = entry.getValue();
              loads.put(
                  entry.getKey(), new EndpointLoad(load.path(0).asInt(), load.path(1).asLong()));
            });
    return loads;
  }

  private static JsonNode read(byte[] body) {
    try {
      return MAPPER.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
