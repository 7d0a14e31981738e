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
 * Finds out which daemons have a configuration version in force, by asking one daemon in each
 * failure domain for all of its domain.
 *
 * <p>Immutable and safe for use by any thread.
 */
final class RolloutMonitor {
  private static final Duration ROUND_TIMEOUT = Duration.ofMillis(800);
  private static final long ROUND_PAUSE_MILLIS = 150;

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

  /** Returns the ids of daemons without the version, once there are none or the time is up. */
  CompletableFuture<List<String>> awaitRollout(long version, Duration timeout) {
    return round(version, clock.millis() + timeout.toMillis());
  }

  private CompletableFuture<List<String>> round(long version, long endMillis) {
    return ask()
        .thenCompose(
            versions -> {
              List<String> missing = without(version, versions);
              if (missing.isEmpty() || clock.millis() >= endMillis) {
                return CompletableFuture.completedFuture(missing);
              }
              Executor later =
                  CompletableFuture.delayedExecutor(ROUND_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
              return CompletableFuture.supplyAsync(() -> null, later)
                  .thenCompose(nothing -> round(version, endMillis));
            });
  }

  private List<String> without(long version, Map<String, Long> versions) {
    TreeSet<String> missing = new TreeSet<>();
    for (Member daemon : membership.get().daemons()) {
      String id = daemon.instance().id();
      if (daemon.health() != Health.DEAD && versions.getOrDefault(id, -1L) < version) {
        missing.add(id);
      }
    }
    return List.copyOf(missing);
  }

  private CompletableFuture<Map<String, Long>> ask() {
    List<CompletableFuture<Map<String, Long>>> answers = new ArrayList<>();
    for (List<Instance> domain : daemonsByDomain().values()) {
      Instance relay = domain.get(ThreadLocalRandom.current().nextInt(domain.size()));
      answers.add(
          client.fetchVersions(relay, true, ROUND_TIMEOUT).exceptionally(failure -> Map.of()));
    }
    return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
        .thenApply(
            nothing -> {
              Map<String, Long> versions = new HashMap<>();
              answers.forEach(answer -> versions.putAll(answer.join()));
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
