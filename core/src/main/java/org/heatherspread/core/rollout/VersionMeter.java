package org.heatherspread.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Counts the requests and responses of one daemon by version and route while a service moves to
 * another version, and finds out when several responses of the new version are bad.
 *
 * <p>Invariant: a request that an endpoint did not execute, or whose caller left, counts as sent
 * and has no outcome. Confined to one thread.
 */
public final class VersionMeter {
  /** Ratio to the usual time of a route at versions in force from which a response is slow. */
  private static final double SLOW_FACTOR = 2.2;

  private static final double BASELINE_SMOOTHING = 0.1;

  /** Responses from which the usual time of a route is known. */
  private static final int MIN_BASELINE = 3;

  /** Recent responses of the new version that are examined, and how many bad ones are too many. */
  private static final int RECENT_RESPONSES = 8;

  private static final int MAX_BAD_RESPONSES = 4;

  /** Share of bad responses of the versions in force above which nothing is concluded from them. */
  private static final double MAX_USUAL_BAD_RATIO = 0.3;

  private static final int MAX_BAD_ENDPOINTS = 8;

  private final VersionGate gate;
  private final String process;
  private final Map<String, Baseline> baselines = new HashMap<>();
  private final Map<String, Counts> byService = new HashMap<>();
  private Listener listener = (service, orderId) -> {};
  private Runnable badListener = () -> {};

  private VersionMeter(VersionGate gate, String process) {
    this.gate = gate;
    this.process = process;
  }

  /**
   * Creates a meter without counts.
   *
   * @param process random number of the process
   */
  public static VersionMeter create(VersionGate gate, String process) {
    return new VersionMeter(gate, process);
  }

  /** Learns that several responses of a new version were bad. */
  public interface Listener {
    /** Called when this daemon should send nothing to the version for a while. */
    void onSeveralBad(String service, String orderId);
  }

  /** Sets the listener to several bad responses. */
  public void onSeveralBad(Listener next) {
    listener = next;
  }

  /** Sets a listener to each bad response of a new version, so that it is counted soon. */
  public void onBad(Runnable next) {
    badListener = next;
  }

  /** Records a request that is sent to an endpoint. */
  public Trial begin(String service, String version, String route, String endpoint) {
    RolloutState state = gate.state(service).orElse(null);
    boolean counted = state != null && state.phase().isInProgress();
    if (!counted) {
      byService.remove(service);
      return new Trial(null, null, baseline(service, route), endpoint, false);
    }
    Counts counts = byService.get(service);
    if (counts == null || !counts.orderId.equals(state.orderId())) {
      counts = new Counts(service, state.orderId(), state.endpoints());
      byService.put(service, counts);
    }
    counts.usedEndpoints = state.endpoints();
    Tally tally =
        counts.tallies.computeIfAbsent(version + '\n' + route, name -> new Tally(version, route));
    tally.requests++;
    boolean isNew = version.equals(state.to());
    return new Trial(counts, tally, baseline(service, route), endpoint, isNew);
  }

  /** Returns a trial that counts nothing. */
  public Trial uncounted() {
    return new Trial(null, null, new Baseline(), "", false);
  }

  private Baseline baseline(String service, String route) {
    return baselines.computeIfAbsent(service + '\n' + route, name -> new Baseline());
  }

  /** Returns the counts of the services that move to another version. */
  public List<ServiceCounts> counts() {
    List<ServiceCounts> all = new ArrayList<>();
    for (Counts counts : byService.values()) {
      List<RouteCounts> routes = new ArrayList<>();
      counts.tallies.values().forEach(tally -> routes.add(tally.toCounts()));
      all.add(new ServiceCounts(counts.service, process, counts.orderId, routes));
    }
    return all;
  }

  /** One request at one endpoint. */
  public final class Trial {
    private final Counts counts;
    private final Tally tally;
    private final Baseline baseline;
    private final String endpoint;
    private final boolean isNew;
    private boolean answered;
    private boolean failed;

    private Trial(Counts counts, Tally tally, Baseline baseline, String endpoint, boolean isNew) {
      this.counts = counts;
      this.tally = tally;
      this.baseline = baseline;
      this.endpoint = endpoint;
      this.isNew = isNew;
    }

    /** Records the first event, or the response if it is no stream. */
    public void respond(double observedMillis, double expectedMillis) {
      if (answered || failed) {
        return;
      }
      answered = true;
      double ratio = Math.log(Math.max(1, observedMillis) / Math.max(1, expectedMillis));
      boolean slow =
          baseline.count >= MIN_BASELINE && ratio > baseline.logRatio + Math.log(SLOW_FACTOR);
      if (!isNew) {
        baseline.add(ratio);
      }
      if (tally != null) {
        tally.outcomes++;
        tally.slow += slow ? 1 : 0;
        recordOutcome(slow);
      }
    }

    /** Records that the response failed because of the endpoint. */
    public void fail() {
      if (failed) {
        return;
      }
      failed = true;
      if (tally != null) {
        tally.failures++;
        tally.outcomes += answered ? 0 : 1;
        recordOutcome(true);
      }
    }

    private void recordOutcome(boolean bad) {
      if (bad && tally.badEndpoints.size() < MAX_BAD_ENDPOINTS) {
        tally.badEndpoints.add(endpoint);
      }
      if (bad && isNew) {
        badListener.run();
      }
      if (counts.record(isNew, bad, endpoint)) {
        listener.onSeveralBad(counts.service, counts.orderId);
      }
    }
  }

  private static final class Baseline {
    private double logRatio;
    private int count;

    private void add(double ratio) {
      count++;
      logRatio += Math.max(BASELINE_SMOOTHING, 1.0 / count) * (ratio - logRatio);
    }
  }

  private static final class Tally {
    private final String version;
    private final String route;
    private final Set<String> badEndpoints = new HashSet<>();
    private long requests;
    private long outcomes;
    private long failures;
    private long slow;

    private Tally(String version, String route) {
      this.version = version;
      this.route = route;
    }

    private RouteCounts toCounts() {
      return new RouteCounts(version, route, requests, outcomes, failures, slow, badEndpoints);
    }
  }

  private record Outcome(boolean bad, String endpoint) {}

  private static final class Counts {
    private final String service;
    private final String orderId;
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Deque<Outcome> recent = new ArrayDeque<>();
    private int usedEndpoints;
    private double usualBadRatio;

    private Counts(String service, String orderId, int usedEndpoints) {
      this.service = service;
      this.orderId = orderId;
      this.usedEndpoints = usedEndpoints;
    }

    /** Records an outcome; returns whether several recent ones of the new version are bad. */
    private boolean record(boolean isNew, boolean bad, String endpoint) {
      if (!isNew) {
        usualBadRatio += BASELINE_SMOOTHING * ((bad ? 1 : 0) - usualBadRatio);
        return false;
      }
      recent.addLast(new Outcome(bad, endpoint));
      if (recent.size() > RECENT_RESPONSES) {
        recent.removeFirst();
      }
      Set<String> endpoints = new HashSet<>();
      int count = 0;
      for (Outcome each : recent) {
        if (each.bad) {
          count++;
          endpoints.add(each.endpoint);
        }
      }
      boolean spread = endpoints.size() >= Math.min(2, Math.max(1, usedEndpoints));
      boolean several =
          bad && count >= MAX_BAD_RESPONSES && spread && usualBadRatio < MAX_USUAL_BAD_RATIO;
      if (several) {
        recent.clear();
      }
      return several;
    }
  }
}
