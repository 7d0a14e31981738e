package org.heatherspread.daemon.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.heatherspread.core.config.Configuration;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.membership.Member;
import org.heatherspread.core.membership.MembershipSnapshot;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.daemon.membership.MembershipClient;

/**
 * Determines which daemons have applied a configuration version. Queries one random daemon of each
 * failure domain, which in turn queries the other daemons of its domain.
 *
 * <p>Immutable and thread-safe.
 */
final class RolloutMonitor {
  private static final Duration QUERY_TIMEOUT = Duration.ofMillis(800);
  private static final long QUERY_INTERVAL_MILLIS = 150;

  private final Instance self;
  private final Supplier<MembershipSnapshot> membership;
  private final Supplier<Configuration> configuration;
  private final MembershipClient client;
  private final MonotonicClock clock;

  RolloutMonitor(
      Instance self,
      Supplier<MembershipSnapshot> membership,
      Supplier<Configuration> configuration,
      MembershipClient client,
      MonotonicClock clock) {
    this.self = self;
    this.membership = membership;
    this.configuration = configuration;
    this.client = client;
    this.clock = clock;
  }

  /**
   * Waits until all daemons that are not dead have applied a version, or until the timeout.
   *
   * @return the sorted ids of the daemons that have not reported the version; empty if all have
   */
  CompletableFuture<List<String>> awaitRollout(long version, Duration timeout) {
    return pollUntil(version, clock.millis() + timeout.toMillis());
  }

  private CompletableFuture<List<String>> pollUntil(long version, long deadlineMillis) {
    return queryVersions()
        .thenCompose(
            versions -> {
              List<String> missing = daemonsWithout(version, versions);
              if (missing.isEmpty() || clock.millis() >= deadlineMillis) {
                return CompletableFuture.completedFuture(missing);
              }
              Executor delayedExecutor =
                  CompletableFuture.delayedExecutor(QUERY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
              return CompletableFuture.supplyAsync(() -> null, delayedExecutor)
                  .thenCompose(unused -> pollUntil(version, deadlineMillis));
            });
  }

  private List<String> daemonsWithout(long version, Map<String, Long> versions) {
    TreeSet<String> missing = new TreeSet<>();
    for (Member daemon : membership.get().daemons()) {
      String id = daemon.instance().id();
      if (daemon.health() != Health.DEAD && versions.getOrDefault(id, -1L) < version) {
        missing.add(id);
      }
    }
    return List.copyOf(missing);
  }

  private CompletableFuture<Map<String, Long>> queryVersions() {
    List<CompletableFuture<Map<String, Long>>> responses = new ArrayList<>();
    for (List<Instance> domain : daemonsByDomain().values()) {
      Instance contact = domain.get(ThreadLocalRandom.current().nextInt(domain.size()));
      responses.add(
          client.fetchVersions(contact, true, QUERY_TIMEOUT).exceptionally(failure -> Map.of()));
    }
    return CompletableFuture.allOf(responses.toArray(CompletableFuture[]::new))
        .thenApply(
            unused -> {
              Map<String, Long> versions = new HashMap<>();
              responses.forEach(response -> versions.putAll(response.join()));
              versions.put(self.id(), configuration.get().version());
              return versions;
            });
  }

  private Map<String, List<Instance>> daemonsByDomain() {
    Map<String, List<Instance>> domains = new HashMap<>();
    for (Member daemon : membership.get().daemons()) {
      Instance peer = daemon.instance();
      if (daemon.health() != Health.DEAD && !peer.id().equals(self.id())) {
        domains.computeIfAbsent(peer.domain().toString(), key -> new ArrayList<>()).add(peer);
      }
    }
    return domains;
  }
}
