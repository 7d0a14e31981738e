package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Caches the daemon addresses and execution permits that the router issued to one caller. Entries
 * are refreshed when the validity stated in the response ends, and after {@link #invalidate}.
 *
 * <p>Thread-safe. A refresh blocks while holding the lock.
 */
final class AddressCache {
  private static final long MIN_REFRESH_INTERVAL_MILLIS = 200;
  private static final long MIN_PERMIT_VALIDITY_MILLIS = 2_000;

  private final CallerHttpClient httpClient;
  private final List<String> seedUrls;
  private List<Address> addresses = List.of();
  private final Deque<Permit> permits = new ArrayDeque<>();
  private long validUntilMillis;
  private long refreshedAtMillis;
  private int nextSeedIndex;

  AddressCache(CallerHttpClient httpClient, List<String> seedUrls) {
    this.httpClient = httpClient;
    this.seedUrls = List.copyOf(seedUrls);
  }

  /** The id and base URL of a daemon. Immutable. */
  record Address(String id, String url) {}

  /** A permit under which the daemon that owns it runs one call at most once. Immutable. */
  record Permit(String text, String requestId, String owner, long expiresAtMillis) {}

  /**
   * Returns the daemons in the order of preference given by the router, or the seed daemons if none
   * responds.
   */
  synchronized List<Address> addresses() {
    if (System.currentTimeMillis() >= validUntilMillis) {
      refresh();
    }
    if (!addresses.isEmpty()) {
      return addresses;
    }
    return seedUrls.stream().map(url -> new Address(url, url)).toList();
  }

  /** Forces a refresh before the next use, unless the last one has only just been made. */
  synchronized void invalidate() {
    if (System.currentTimeMillis() - refreshedAtMillis > MIN_REFRESH_INTERVAL_MILLIS) {
      validUntilMillis = 0;
    }
  }

  /** Removes and returns an unused permit, or empty if the router issues none. */
  synchronized Optional<Permit> takePermit() {
    for (int i = 0; i < 2; i++) {
      Permit permit = nextUsablePermit();
      if (permit != null) {
        return Optional.of(permit);
      }
      refresh();
    }
    return Optional.empty();
  }

  private Permit nextUsablePermit() {
    long now = System.currentTimeMillis();
    while (!permits.isEmpty()) {
      Permit permit = permits.remove();
      boolean ownerKnown = addresses.stream().anyMatch(a -> a.id().equals(permit.owner()));
      if (ownerKnown && permit.expiresAtMillis() - now > MIN_PERMIT_VALIDITY_MILLIS) {
        return permit;
      }
    }
    return null;
  }

  /** Returns the base URL of the daemon with the given id. */
  synchronized Optional<String> findUrl(String id) {
    return addresses.stream().filter(a -> a.id().equals(id)).map(Address::url).findFirst();
  }

  private void refresh() {
    refreshedAtMillis = System.currentTimeMillis();
    List<String> candidates = new ArrayList<>();
    addresses.forEach(a -> candidates.add(a.url()));
    for (int i = 0; i < seedUrls.size(); i++) {
      candidates.add(seedUrls.get((nextSeedIndex + i) % seedUrls.size()));
    }
    nextSeedIndex++;
    for (String url : candidates) {
      try {
        HttpResponse<String> response = httpClient.get(url + "/v1/addresses");
        if (response.statusCode() == 200) {
          update(CallerHttpClient.parseJson(response.body()));
          return;
        }
      } catch (IOException e) {
        // Try the next daemon.
        continue;
      }
    }
    addresses = List.of();
  }

  private void update(JsonNode json) {
    List<Address> found = new ArrayList<>();
    for (JsonNode a : json.path("addresses")) {
      found.add(new Address(a.path("id").asText(), a.path("url").asText()));
    }
    addresses = List.copyOf(found);
    validUntilMillis = System.currentTimeMillis() + json.path("valid_ms").asLong();
    permits.clear();
    for (JsonNode p : json.path("permits")) {
      permits.add(
          new Permit(
              p.path("permit").asText(),
              p.path("request_id").asText(),
              p.path("owner").asText(),
              p.path("expires_at").asLong()));
    }
  }
}
