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
 * The addresses and permits that the system gave to one caller. Kept for the time that the answer
 * states, and asked for again when an address fails.
 *
 * <p>Safe for use by any thread.
 */
final class AddressCache {
  private static final long SHORTEST_ASK_INTERVAL_MILLIS = 200;
  private static final long PERMIT_MARGIN_MILLIS = 2_000;

  private final CallerHttpClient httpClient;
  private final List<String> seeds;
  private List<Address> addresses = List.of();
  private final Deque<Permit> permits = new ArrayDeque<>();
  private long validUntilMillis;
  private long askedAtMillis;
  private int nextSeed;

  AddressCache(CallerHttpClient httpClient, List<String> seeds) {
    this.httpClient = httpClient;
    this.seeds = List.copyOf(seeds);
  }

  /** A daemon to use. Immutable. */
  record Address(String id, String url) {}

  /** The right to have one call run once, by its owner. Immutable. */
  record Permit(String text, String requestId, String owner, long expiresAtMillis) {}

  /** Returns the daemons to use, best first; all known daemons if none answers. */
  synchronized List<Address> addresses() {
    if (System.currentTimeMillis() >= validUntilMillis) {
      ask();
    }
    if (!addresses.isEmpty()) {
      return addresses;
    }
    return seeds.stream().map(url -> new Address(url, url)).toList();
  }

  /** Makes the book ask again before the next use. */
  synchronized void invalidate() {
    if (System.currentTimeMillis() - askedAtMillis > SHORTEST_ASK_INTERVAL_MILLIS) {
      validUntilMillis = 0;
    }
  }

  /** Takes an unused permit and its owner's address; empty if the system gives none. */
  synchronized Optional<Permit> takePermit() {
    for (int i = 0; i < 2; i++) {
      Permit permit = usable();
      if (permit != null) {
        return Optional.of(permit);
      }
      ask();
    }
    return Optional.empty();
  }

  private Permit usable() {
    long now = System.currentTimeMillis();
    while (!permits.isEmpty()) {
      Permit permit = permits.remove();
      boolean known = addresses.stream().anyMatch(a -> a.id().equals(permit.owner()));
      if (known && permit.expiresAtMillis() - now > PERMIT_MARGIN_MILLIS) {
        return permit;
      }
    }
    return null;
  }

  /** Returns the base URL of a daemon. */
  synchronized Optional<String> findUrl(String id) {
    return addresses.stream().filter(a -> a.id().equals(id)).map(Address::url).findFirst();
  }

  private void ask() {
    askedAtMillis = System.currentTimeMillis();
    List<String> candidates = new ArrayList<>();
    addresses.forEach(a -> candidates.add(a.url()));
    for (int i = 0; i < seeds.size(); i++) {
      candidates.add(seeds.get((nextSeed + i) % seeds.size()));
    }
    nextSeed++;
    for (String url : candidates) {
      try {
        HttpResponse<String> answer = httpClient.get(url + "/v1/addresses");
        if (answer.statusCode() == 200) {
          take(CallerHttpClient.parseJson(answer.body()));
          return;
        }
      } catch (IOException e) {
        // The next daemon is asked.
        continue;
      }
    }
    addresses = List.of();
  }

  private void take(JsonNode answer) {
    List<Address> found = new ArrayList<>();
    for (JsonNode a : answer.path("addresses")) {
      found.add(new Address(a.path("id").asText(), a.path("url").asText()));
    }
    addresses = List.copyOf(found);
    validUntilMillis = System.currentTimeMillis() + answer.path("valid_ms").asLong();
    permits.clear();
    for (JsonNode p : answer.path("permits")) {
      permits.add(
          new Permit(
              p.path("permit").asText(),
              p.path("request_id").asText(),
              p.path("owner").asText(),
              p.path("expires_at").asLong()));
    }
  }
}
