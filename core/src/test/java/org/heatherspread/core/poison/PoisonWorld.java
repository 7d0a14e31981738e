package org.heatherspread.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.heatherspread.core.time.ManualClock;

/**
 * Daemons that hear of each other's evidence at once, and endpoints that batch requests and are
 * lost by crash, reclaim or a cut network, in a random order.
 */
final class PoisonWorld {
  static final int REQUESTS = 12;
  private static final int STEPS = 400;
  private static final int ENDPOINTS = 5;

  final Map<Integer, Integer> crashes = new HashMap<>();
  final List<Integer> waiting = new ArrayList<>();
  final List<Integer> refused = new ArrayList<>();
  int answered;
  private final Random random;
  private final List<PoisonLedger> daemons = new ArrayList<>();
  private final Map<Integer, Integer> lives = new HashMap<>();
  private final Map<Integer, List<Attempt>> batches = new HashMap<>();
  private final Set<Integer> poisons;
  private boolean suspectsShareEndpoints;

  private record Attempt(int request, int daemon) {}

  PoisonWorld(long seed, int daemonCount, Set<Integer> poisons) {
    this.random = new Random(seed);
    this.poisons = poisons;
    ManualClock clock = ManualClock.create();
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(PoisonLedger.create(PoisonLimits.defaults(), clock));
    }
    for (int i = 0; i < ENDPOINTS; i++) {
      lives.put(i, 1);
      batches.put(i, new ArrayList<>());
    }
    for (int i = 0; i < REQUESTS; i++) {
      waiting.add(i);
    }
  }

  /** Puts in a fault on purpose: suspects run on any endpoint, with whatever runs there. */
  PoisonWorld withSuspectsSharingEndpoints() {
    suspectsShareEndpoints = true;
    return this;
  }

  void play() {
    for (int i = 0; i < STEPS; i++) {
      if (random.nextInt(3) > 0) {
        dispatch();
      } else {
        endpointStep(random.nextInt(ENDPOINTS));
      }
    }
  }

  int running() {
    return batches.values().stream().mapToInt(List::size).sum();
  }

  private EndpointLife life(int endpoint) {
    return new EndpointLife("e" + endpoint, lives.get(endpoint));
  }

  private static String name(int request) {
    return "r" + request;
  }

  private void dispatch() {
    if (waiting.isEmpty()) {
      return;
    }
    int request = waiting.get(random.nextInt(waiting.size()));
    int daemon = random.nextInt(daemons.size());
    PoisonLedger ledger = daemons.get(daemon);
    Standing standing = ledger.standing(name(request));
    if (standing == Standing.POISONED) {
      waiting.remove(Integer.valueOf(request));
      refused.add(request);
      return;
    }
    List<Integer> free = free(ledger, request, standing);
    if (free.isEmpty()) {
      return;
    }
    int endpoint = free.get(random.nextInt(free.size()));
    waiting.remove(Integer.valueOf(request));
    ledger.dispatched(name(request), life(endpoint));
    batches.get(endpoint).add(new Attempt(request, daemon));
    reserve(endpoint, daemon, standing == Standing.SUSPECT);
  }

  private List<Integer> free(PoisonLedger ledger, int request, Standing standing) {
    List<Integer> free = new ArrayList<>(lives.keySet());
    if (suspectsShareEndpoints) {
      return free;
    }
    Set<String> avoided = ledger.avoid(name(request));
    free.removeIf(endpoint -> avoided.contains("e" + endpoint));
    if (standing == Standing.SUSPECT) {
      free.removeIf(endpoint -> !batches.get(endpoint).isEmpty());
    }
    return free;
  }

  private void reserve(int endpoint, int daemon, boolean reserved) {
    for (int i = 0; i < daemons.size(); i++) {
      if (i != daemon) {
        daemons.get(i).reservedElsewhere("e" + endpoint, reserved);
      }
    }
  }

  private void endpointStep(int endpoint) {
    List<Attempt> batch = batches.get(endpoint);
    if (batch.isEmpty()) {
      return;
    }
    for (Attempt attempt : batch) {
      if (poisons.contains(attempt.request())) {
        crashes.merge(attempt.request(), 1, Integer::sum);
        lose(endpoint, true);
        return;
      }
    }
    if (random.nextInt(8) == 0) {
      lose(endpoint, false);
      return;
    }
    Attempt done = batch.remove(random.nextInt(batch.size()));
    answered++;
    daemons
        .get(done.daemon())
        .finished(name(done.request()), life(endpoint))
        .ifPresent(evidence -> spread(done.daemon(), List.of(evidence)));
    reserve(endpoint, -1, false);
  }

  /** The endpoint is lost with its batch: crashed, or reclaimed or cut off. */
  private void lose(int endpoint, boolean crash) {
    EndpointLife life = life(endpoint);
    List<Attempt> batch = batches.put(endpoint, new ArrayList<>());
    lives.merge(endpoint, 1, Integer::sum);
    for (Attempt attempt : batch) {
      daemons.get(attempt.daemon()).lost(name(attempt.request()), life);
      waiting.add(attempt.request());
    }
    for (int i = 0; i < daemons.size(); i++) {
      if (crash) {
        spread(i, daemons.get(i).crashed(life));
      } else {
        daemons.get(i).notCrashed(life);
      }
    }
    reserve(endpoint, -1, false);
  }

  private void spread(int from, List<Evidence> evidence) {
    for (Evidence each : evidence) {
      for (int i = 0; i < daemons.size(); i++) {
        if (i != from) {
          spread(i, daemons.get(i).heard(each));
        }
      }
    }
  }
}
