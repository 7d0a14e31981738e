package org.heatherspread.standin.table;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.NavigableMap;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.heatherspread.standin.http.JsonHttp;

/**
 * The items of one table and the operations on them, in the terms of DynamoDB's JSON protocol. The
 * key is {@code pk} and {@code sk}, both strings; the conditions understood are {@code
 * attribute_not_exists(pk)}, {@code attribute_exists(pk)} and {@code v = :value}.
 *
 * <p>Not safe for use by several threads.
 */
final class TableData {
  private static final Pattern EQUALS = Pattern.compile("#?(\\w+) *= *(:\\w+)");
  private static final Pattern QUERY =
      Pattern.compile("#?pk *= *(:\\w+)( +AND +#?sk *> *(:\\w+))?");
  private static final int MAX_LIMIT = 1_000;

  private final NavigableMap<String, ObjectNode> items = new TreeMap<>();

  /** A request that the protocol answers with an exception of its own. Immutable. */
  static final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String type;

    ProtocolException(String type, String message) {
      super(message);
      this.type = type;
    }

    /** Returns the short name of the exception in the protocol. */
    String type() {
      return type;
    }
  }

  ObjectNode get(JsonNode request) {
    ObjectNode answer = JsonHttp.object();
    ObjectNode item = items.get(key(request.path("Key")));
    if (item != null) {
      answer.set("Item", item);
    }
    return answer;
  }

  void put(JsonNode request) {
    if (!(request.path("Item") instanceof ObjectNode item)) {
      throw new ProtocolException("ValidationException", "Item is missing");
    }
    String key = key(item);
    check(request, items.get(key));
    items.put(key, item);
  }

  void delete(JsonNode request) {
    String key = key(request.path("Key"));
    check(request, items.get(key));
    items.remove(key);
  }

  ObjectNode query(JsonNode request) {
    Matcher m = QUERY.matcher(request.path("KeyConditionExpression").asText());
    if (!m.matches()) {
      throw new ProtocolException("ValidationException", "unsupported key condition");
    }
    JsonNode values = request.path("ExpressionAttributeValues");
    String partition = values.path(m.group(1)).path("S").asText();
    String after = m.group(3) == null ? "" : values.path(m.group(3)).path("S").asText();
    int limit = Math.min(request.path("Limit").asInt(MAX_LIMIT), MAX_LIMIT);
    ObjectNode answer = JsonHttp.object();
    ArrayNode found = answer.putArray("Items");
    for (ObjectNode item : items.tailMap(join(partition, after), false).values()) {
      if (!item.path("pk").path("S").asText().equals(partition) || found.size() == limit) {
        break;
      }
      found.add(item);
    }
    return answer.put("Count", found.size()).put("ScannedCount", found.size());
  }

  private static void check(JsonNode request, ObjectNode current) {
    String condition = request.path("ConditionExpression").asText("").strip();
    if (condition.isEmpty() || holds(condition, request, current)) {
      return;
    }
    throw new ProtocolException(
        "ConditionalCheckFailedException", "The conditional request failed");
  }

  private static boolean holds(String condition, JsonNode request, ObjectNode current) {
    if (condition.matches("attribute_not_exists *\\(#?pk\\)")) {
      return current == null;
    }
    if (condition.matches("attribute_exists *\\(#?pk\\)")) {
      return current != null;
    }
    Matcher m = EQUALS.matcher(condition);
    if (!m.matches()) {
      throw new ProtocolException("ValidationException", "unsupported condition: " + condition);
    }
    JsonNode expected = request.path("ExpressionAttributeValues").path(m.group(2));
    return current != null && current.path(m.group(1)).equals(expected);
  }

  private static String key(JsonNode item) {
    JsonNode pk = item.path("pk").path("S");
    JsonNode sk = item.path("sk").path("S");
    if (!pk.isTextual() || !sk.isTextual()) {
      throw new ProtocolException("ValidationException", "pk and sk must be strings");
    }
    return join(pk.asText(), sk.asText());
  }

  private static String join(String partition, String sort) {
    return partition + '\0' + sort;
  }
}
