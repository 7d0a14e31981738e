package org.heatherspread.core.poison;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.heatherspread.core.time.ManualClock;

/**
 * Simulates daemons that exchange evidence instantly, and endpoints that batch requests and are
 * lost by crash, reclaim or network partition in random order.
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
  private final Map<Integer, Integer> incarnations = new HashMap<>();
  private final Map<Integer, List<Attempt>> batches = new HashMap<>();
  private final Set<Integer> poisonRequests;
  private boolean suspectsShareEndpoints;

  private record Attempt(int request, int daemon) {}

  PoisonSimulation(long seed, int daemonCount, Set<Integer> poisonRequests) {
    this.random = new Random(seed);
    this.poisonRequests = poisonRequests;
    ManualClock clock = ManualClock.create();
    for (int i = 0; i < daemonCount; i++) {
      daemons.add(PoisonDetector.create(PoisonPolicy.defaults(), clock));
    }
    for (int i = 0; i < ENDPOINTS; i++) {
      incarnations.put(i, 1);
      batches.put(i, new ArrayList<>());
    }
    for (int i = 0; i < REQUESTS; i++) {
      waiting.add(i);
    }
  }

  /** Injects a fault: suspects run on any endpoint, together with other requests. */
  PoisonSimulation withSuspectsSharingEndpoints() {
    suspectsShareEndpoints = true;
    return this;
  }

  void run() {
    for (int i = 0; i < STEPS; i++) {
      if (random.nextInt(3) > 0) {
        dispatch();
      } else {
        stepEndpoint(random.nextInt(ENDPOINTS));
      }
    }
  }

  int running() {
    return batches.values().stream().mapToInt(List::size).sum();
  }

  private EndpointIncarnation endpointIncarnation(int endpoint) {
    return new EndpointIncarnation("e" + endpoint, incarnations.get(endpoint));
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
    PoisonDetector detector = daemons.get(daemon);
    PoisonStatus status = detector.status(name(request));
    if (status == PoisonStatus.POISONED) {
      waiting.remove(Integer.valueOf(request));
      refused.add(request);
      return;
    }
    List<Integer> freeEndpoints = freeEndpoints(detector, request, status);
    if (freeEndpoints.isEmpty()) {
      return;
    }
    int endpoint = freeEndpoints.get(random.nextInt(freeEndpoints.size()));
    waiting.remove(Integer.valueOf(request));
    detector.attemptDispatched(name(request), endpointIncarnation(endpoint));
    batches.get(endpoint).add(new Attempt(request, daemon));
    reserve(endpoint, daemon, status == PoisonStatus.SUSPECT);
  }

  private List<Integer> freeEndpoints(PoisonDetector detector, int request, PoisonStatus status) {
    List<Integer> freeEndpoints = new ArrayList<>(incarnations.keySet());
    if (suspectsShareEndpoints) {
      return freeEndpoints;
    }
    Set<String> avoidedIds = detector.endpointsToAvoid(name(request));
    freeEndpoints.removeIf(endpoint -> avoidedIds.contains("e" + endpoint));
    if (status == PoisonStatus.SUSPECT) {
      freeEndpoints.removeIf(endpoint -> !batches.get(endpoint).isEmpty());
    }
    return freeEndpoints;
  }

  private void reserve(int endpoint, int daemon, boolean reserved) {
    for (int i = 0; i < daemons.size(); i++) {
      if (i != daemon) {
        daemons.get(i).setReservedElsewhere("e" + endpoint, reserved);
      }
    }
  }

  private void stepEndpoint(int endpoint) {
    List<Attempt> batch = batches.get(endpoint);
    if (batch.isEmpty()) {
      return;
    }
    for (Attempt attempt : batch) {
      if (poisonRequests.contains(attempt.request())) {
        crashes.merge(attempt.request(), 1, Integer::sum);
        loseEndpoint(endpoint, true);
        return;
      }
    }
    if (random.nextInt(8) == 0) {
      loseEndpoint(endpoint, false);
      return;
    }
    Attempt done = batch.remove(random.nextInt(batch.size()));
    answered++;
    daemons
        .get(done.daemon())
        .attemptCompleted(name(done.request()), endpointIncarnation(endpoint))
        .ifPresent(evidence -> distribute(done.daemon(), List.of(evidence)));
    reserve(endpoint, -1, false);
  }

  /** Removes an endpoint with its batch, by a crash or by reclaim or network partition. */
  private void loseEndpoint(int endpoint, boolean crash) {
    EndpointIncarnation endpointIncarnation = endpointIncarnation(endpoint);
    List<Attempt> batch = batches.put(endpoint, new ArrayList<>());
    incarnations.merge(endpoint, 1, Integer::sum);
    for (Attempt attempt : batch) {
      daemons.get(attempt.daemon()).connectionLost(name(attempt.request()), endpointIncarnation);
      waiting.add(attempt.request());
    }
    for (int i = 0; i < daemons.size(); i++) {
      if (crash) {
        distribute(i, daemons.get(i).endpointCrashed(endpointIncarnation));
      } else {
        daemons.get(i).endpointNotCrashed(endpointIncarnation);
      }
    }
    reserve(endpoint, -1, false);
  }

  private void distribute(int from, List<Evidence> evidence) {
    for (Evidence item : evidence) {
      for (int i = 0; i < daemons.size(); i++) {
        if (i != from) {
          distribute(i, daemons.get(i).mergeEvidence(item));
        }
      }
    }
  }
}
