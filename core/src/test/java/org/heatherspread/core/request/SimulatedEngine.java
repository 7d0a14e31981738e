package org.heatherspread.core.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Simulated model engine that records every attempt it ran. */
final class SimulatedEngine {
  final String id;
  final Set<Integer> attemptsRun = new HashSet<>();
  boolean alive = true;
  boolean leaving;
  private final Map<Integer, Long> streams = new HashMap<>();
  private final Set<String> caches = new HashSet<>();

  SimulatedEngine(String id) {
    this.id = id;
  }

  void run(int attempt, long offset) {
    attemptsRun.add(attempt);
    streams.put(attempt, offset);
  }

  boolean holdsStream(int attempt) {
    return streams.containsKey(attempt);
  }

  void cancel(int attempt) {
    streams.remove(attempt);
  }

  String export() {
    String kv = "kv-" + id;
    caches.add(kv);
    return kv;
  }

  boolean hasCache(String kv) {
    return caches.contains(kv);
  }

  void crash() {
    alive = false;
    streams.clear();
    caches.clear();
  }

  void restart() {
    alive = true;
    leaving = false;
  }
}
