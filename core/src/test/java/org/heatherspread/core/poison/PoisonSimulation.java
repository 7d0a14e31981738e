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
final class PoisonSimulation {
  static final int REQUESTS = 12;
  private static final int STEPS = 400;
  private static final int ENDPOINTS = 5;

  final Map<Integer, Integer> crashes = new HashMap<>();
  final List<Integer> waiting = new ArrayList<>();
  final List<Integer> refused = new ArrayList<>();
  int answered;
  private final Random random;
  private final List<PoisonDetector> daemons = new ArrayList<>();
  private final Map<Integer, Integer> lives = new HashMap<>();
  private final Map<Integer, List<Attempt>> batches = new HashMap<>();
  private final Set<Integer> poisons;
  private boolean suspectsShareEndpoints;

  private record Attempt(int request, int daemon) {}

  PoisonSimulation(long seed, int daemonCount, Set<Integer> poisons) {
    this.random = new Random(seed);
    this.poisons = poisons;
    ManualClock clock = ManualClock.create();
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(PoisonDetector.create(PoisonPolicy.defaults(), clock));
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
  PoisonSimulation withSuspectsSharingEndpoints() {
    suspectsShareEndpoints = true;
    return this;
  }

  void run() {
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

  private EndpointIncarnation life(int endpoint) {
    return new EndpointIncarnation("e" + endpoint, lives.get(endpoint));
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
    PoisonDetector ledger = daemons.get(daemon);
    PoisonStatus standing = ledger.status(name(request));
    if (standing == PoisonStatus.POISONED) {
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
    ledger.attemptDispatched(name(request), life(endpoint));
    batches.get(endpoint).add(new Attempt(request, daemon));
    reserve(endpoint, daemon, standing == PoisonStatus.SUSPECT);
  }

  private List<Integer> free(PoisonDetector ledger, int request, PoisonStatus standing) {
    List<Integer> free = new ArrayList<>(lives.keySet());
    if (suspectsShareEndpoints) {
      return free;
    }
    Set<String> avoided = ledger.endpointsToAvoid(name(request));
    free.removeIf(endpoint -> avoided.contains("e" + endpoint));
    if (standing == PoisonStatus.SUSPECT) {
      free.removeIf(endpoint -> !batches.get(endpoint).isEmpty());
    }
    return free;
  }

  private void reserve(int endpoint, int daemon, boolean reserved) {
    for (int i = 0; i < daemons.size(); i++) {
      if (i != daemon) {
        daemons.get(i).setReservedElsewhere("e" + endpoint, reserved);
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
        .attemptCompleted(name(done.request()), life(endpoint))
        .ifPresent(evidence -> spread(done.daemon(), List.of(evidence)));
    reserve(endpoint, -1, false);
  }

  /** The endpoint is lost with its batch: crashed, or reclaimed or cut off. */
  private void lose(int endpoint, boolean crash) {
    EndpointIncarnation life = life(endpoint);
    List<Attempt> batch = batches.put(endpoint, new ArrayList<>());
    lives.merge(endpoint, 1, Integer::sum);
    for (Attempt attempt : batch) {
      daemons.get(attempt.daemon()).connectionLost(name(attempt.request()), life);
      waiting.add(attempt.request());
    }
    for (int i = 0; i < daemons.size(); i++) {
      if (crash) {
        spread(i, daemons.get(i).endpointCrashed(life));
      } else {
        daemons.get(i).endpointNotCrashed(life);
      }
    }
    reserve(endpoint, -1, false);
  }

  private void spread(int from, List<Evidence> evidence) {
    for (Evidence each : evidence) {
      for (int i = 0; i < daemons.size(); i++) {
        if (i != from) {
          spread(i, daemons.get(i).mergeEvidence(each));
        }
      }
    }
  }
}
