package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.heatherspread.standin.http.BadRequestException;
import org.heatherspread.standin.http.JsonHttp;

/**
 * Holds the model versions of an engine and applies the orders that change them. Versions load one
 * after another, each in a fixed time. Orders carry fencing tokens; a token lower than the highest
 * one seen is stale.
 *
 * <p>Thread-safe.
 */
final class ModelRegistry {
  private static final String WILDCARD = "*";

  private final EngineSettings settings;
  private final Map<String, Model> loaded = new LinkedHashMap<>();
  private final Deque<Model> loading = new ArrayDeque<>();
  private String role = "general";
  private long highestFencing;
  private long currentLoadEndsAtMillis;
  private long staleOrderCount;

  ModelRegistry(EngineSettings settings) {
    this.settings = settings;
    for (String name : settings.models()) {
      int at = name.indexOf('@');
      String service = at < 0 ? name : name.substring(0, at);
      String version = at < 0 ? WILDCARD : name.substring(at + 1);
      Model model = new Model(service, version, List.of());
      loaded.put(model.key(), model);
    }
  }

  /** A model version with its adapters. Immutable. */
  record Model(String service, String version, List<String> adapters) {
    Model {
      adapters = adapters == null ? List.of() : List.copyOf(adapters);
      if (service == null || version == null) {
        throw new BadRequestException("a model needs service and version");
      }
    }

    String key() {
      return service + "@" + version;
    }
  }

  /** The response to {@code GET /v1/state}. Immutable. */
  record State(
      String instanceId,
      long incarnation,
      List<Model> models,
      String role,
      long highestFencing,
      List<Model> loading) {}

  /**
   * Returns whether a model is loaded. The name is {@code SERVICE} or {@code SERVICE@VERSION}, each
   * optionally followed by {@code :ADAPTER}.
   */
  synchronized boolean canServe(String name) {
    finishLoads();
    int colon = name.indexOf(':');
    String adapter = colon < 0 ? "" : name.substring(colon + 1);
    String base = colon < 0 ? name : name.substring(0, colon);
    int at = base.indexOf('@');
    String service = at < 0 ? base : base.substring(0, at);
    String version = at < 0 ? "" : base.substring(at + 1);
    for (Model model : loaded.values()) {
      if (matches(model, service, version, adapter)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matches(Model model, String service, String version, String adapter) {
    if (model.service().equals(WILDCARD)) {
      return true;
    }
    boolean sameVersion =
        version.isEmpty() || model.version().equals(WILDCARD) || model.version().equals(version);
    boolean hasAdapter =
        adapter.isEmpty() || model.version().equals(WILDCARD) || model.adapters().contains(adapter);
    return model.service().equals(service) && sameVersion && hasAdapter;
  }

  /** Applies an order; returns false if its fencing token is stale and the engine checks tokens. */
  synchronized boolean applyOrder(JsonNode order) {
    long fencing = order.path("fencing").asLong(-1);
    JsonNode desired = order.path("desired");
    if (fencing < 0 || !desired.isObject()) {
      throw new BadRequestException("an order needs fencing and desired");
    }
    if (fencing < highestFencing) {
      staleOrderCount++;
      if (settings.checksFencing()) {
        return false;
      }
    }
    highestFencing = Math.max(highestFencing, fencing);
    finishLoads();
    role = desired.path("role").asText(role);
    if (desired.path("models").isArray()) {
      setDesiredModels(desired.path("models"));
    }
    return true;
  }

  private void setDesiredModels(JsonNode models) {
    Map<String, Model> desiredModels = new LinkedHashMap<>();
    for (JsonNode node : models) {
      Model model = JsonHttp.fromJson(node, Model.class);
      desiredModels.put(model.key(), model);
    }
    loaded.keySet().retainAll(desiredModels.keySet());
    loading.removeIf(model -> !model.equals(desiredModels.get(model.key())));
    for (Model model : desiredModels.values()) {
      if (loaded.containsKey(model.key())) {
        loaded.put(model.key(), model);
      } else if (!loading.contains(model)) {
        startLoad(model);
      }
    }
    finishLoads();
  }

  private void startLoad(Model model) {
    if (loading.isEmpty()) {
      currentLoadEndsAtMillis = System.currentTimeMillis() + settings.loadMillis();
    }
    loading.add(model);
  }

  private void finishLoads() {
    long now = System.currentTimeMillis();
    while (!loading.isEmpty() && currentLoadEndsAtMillis <= now) {
      Model model = loading.remove();
      loaded.put(model.key(), model);
      currentLoadEndsAtMillis += settings.loadMillis();
    }
  }

  synchronized State state() {
    finishLoads();
    return new State(
        settings.id(),
        settings.incarnation(),
        new ArrayList<>(loaded.values()),
        role,
        highestFencing,
        new ArrayList<>(loading));
  }

  /** Returns the number of orders with a stale fencing token, including those that were applied. */
  synchronized long staleOrderCount() {
    return staleOrderCount;
  }
}
