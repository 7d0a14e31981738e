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
 * Holds the items of a table and executes operations in DynamoDB's JSON protocol. The key consists
 * of the strings {@code pk} and {@code sk}; the supported conditions are {@code
 * attribute_not_exists(pk)}, {@code attribute_exists(pk)} and {@code v = :value}.
 *
 * <p>Not thread-safe.
 */
final class TableData {
  private static final Pattern EQUALITY_CONDITION = Pattern.compile("#?(\\w+) *= *(:\\w+)");
  private static final Pattern KEY_CONDITION =
      Pattern.compile("#?pk *= *(:\\w+)( +AND +#?sk *> *(:\\w+))?");
  private static final int MAX_QUERY_ITEMS = 1_000;

  private final NavigableMap<String, ObjectNode> items = new TreeMap<>();

  /** Thrown for a request to which the protocol responds with an error type. Immutable. */
  static final class ProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final String type;

    ProtocolException(String type, String message) {
      super(message);
      this.type = type;
    }

    /** Returns the error type without its namespace. */
    String type() {
      return type;
    }
  }

  ObjectNode get(JsonNode request) {
    ObjectNode response = JsonHttp.newObject();
    ObjectNode item = items.get(itemKey(request.path("Key")));
    if (item != null) {
      response.set("Item", item);
    }
    return response;
  }

  void put(JsonNode request) {
    if (!(request.path("Item") instanceof ObjectNode item)) {
      throw new ProtocolException("ValidationException", "Item is missing");
    }
    String key = itemKey(item);
    checkCondition(request, items.get(key));
    items.put(key, item);
  }

  void delete(JsonNode request) {
    String key = itemKey(request.path("Key"));
    checkCondition(request, items.get(key));
    items.remove(key);
  }

  ObjectNode query(JsonNode request) {
    Matcher matcher = KEY_CONDITION.matcher(request.path("KeyConditionExpression").asText());
    if (!matcher.matches()) {
      throw new ProtocolException("ValidationException", "unsupported key condition");
    }
    JsonNode values = request.path("ExpressionAttributeValues");
    String partitionKey = values.path(matcher.group(1)).path("S").asText();
    String afterSortKey =
        matcher.group(3) == null ? "" : values.path(matcher.group(3)).path("S").asText();
    int limit = Math.min(request.path("Limit").asInt(MAX_QUERY_ITEMS), MAX_QUERY_ITEMS);
    ObjectNode response = JsonHttp.newObject();
    ArrayNode matchingItems = response.putArray("Items");
    for (ObjectNode item : items.tailMap(joinKey(partitionKey, afterSortKey), false).values()) {
      if (!item.path("pk").path("S").asText().equals(partitionKey)
          || matchingItems.size() == limit) {
        break;
      }
      matchingItems.add(item);
    }
    return response.put("Count", matchingItems.size()).put("ScannedCount", matchingItems.size());
  }

  private static void checkCondition(JsonNode request, ObjectNode current) {
    String condition = request.path("ConditionExpression").asText("").strip();
    if (condition.isEmpty() || isConditionMet(condition, request, current)) {
      return;
    }
    throw new ProtocolException(
        "ConditionalCheckFailedException", "The conditional request failed");
  }

  private static boolean isConditionMet(String condition, JsonNode request, ObjectNode current) {
    if (condition.matches("attribute_not_exists *\\(#?pk\\)")) {
      return current == null;
    }
    if (condition.matches("attribute_exists *\\(#?pk\\)")) {
      return current != null;
    }
    Matcher matcher = EQUALITY_CONDITION.matcher(condition);
    if (!matcher.matches()) {
      throw new ProtocolException("ValidationException", "unsupported condition: " + condition);
    }
    JsonNode expected = request.path("ExpressionAttributeValues").path(matcher.group(2));
    return current != null && current.path(matcher.group(1)).equals(expected);
  }

  private static String itemKey(JsonNode item) {
    JsonNode pk = item.path("pk").path("S");
    JsonNode sk = item.path("sk").path("S");
    if (!pk.isTextual() || !sk.isTextual()) {
      throw new ProtocolException("ValidationException", "pk and sk must be strings");
    }
    return joinKey(pk.asText(), sk.asText());
  }

  private static String joinKey(String partitionKey, String sortKey) {
    return partitionKey + '\0' + sortKey;
  }
}
